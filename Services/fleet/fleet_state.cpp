#include "Services/fleet/fleet_service.h"

#include "Kernel/event_log.h"
#include "Kernel/metrics_text.h"
#include <algorithm>
#include <boost/json.hpp>

namespace zinnialedge::services::fleet {

using kernel::log_level;
using kernel::logEvent;
using zinnialedge::fleet::toString;

/// Numbers of one configuration beyond their bounds that get a line each.
static constexpr std::size_t maximumLoggedNumbers = 20;

// State.

bool fleet_service::requestState(kernel::text_receiver receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] {
        auto const& roles = m_readerLink.roles();
        boost::json::array members;
        for (auto const& [name, member] : m_membershipLink.engine().members().members())
            members.push_back({ { "name", name }, { "status", membership::toString(member.status) }, { "reaches_leafs", member.reachesLeafs }, { "strength", member.strength.value_or(0) }, { "callers", toString(member.record.callerEndpoint) } });
        std::uint64_t storeCalls = m_registrationLink.callCount() + m_storeProbe.callCount();
        for (auto const* const link : storeLinks())
            storeCalls += link->counters().callCount;
        boost::json::array evacuations;
        for (auto const& each : m_evacuationLink.dataCentres())
            evacuations.emplace_back(each);
        boost::json::object const state {
            { "serving", m_isServing },
            { "leaving", m_isLeaving },
            { "reaches_leafs", m_reachesLeafs },
            { "configuration_version", m_routeTable ? m_routeTable->version() : 0 },
            { "configuration_numbers_held", m_routeTable ? m_routeTable->heldNumbers().size() : 0 },
            { "leafs", m_leafRegistrations.size() },
            { "store_reached", isStoreConnected() || m_readerLink.hasReader() },
            { "store_role", toString(roles.role()) },
            { "reads_store", roles.readsStore() },
            { "reader", roles.reader() ? toString(*roles.reader()) : std::string {} },
            { "subscribers", m_pollServer.heldPollCount() },
            { "store_era", m_storeEra },
            { "evacuations", std::move(evacuations) },
            { "store_calls", storeCalls },
            { "store_reads_paid", m_storeBudget.reads().taken() },
            { "store_writes_paid", m_storeBudget.writes().taken() },
            { "store_calls_put_off", m_storeBudget.reads().refused() + m_storeBudget.writes().refused() },
            { "members", std::move(members) },
        };
        receiver(boost::json::serialize(state));
    });
}

bool fleet_service::requestMetrics(kernel::text_receiver receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] {
        kernel::metrics_text metrics;
        std::vector<std::pair<std::string_view, std::uint64_t>> calls;
        std::vector<std::pair<std::string_view, std::uint64_t>> failures;
        std::vector<std::pair<std::string_view, std::uint64_t>> lostReplies;
        for (auto const* const link : storeLinks()) {
            calls.emplace_back(objectKindName(link->kind()), link->counters().callCount);
            failures.emplace_back(objectKindName(link->kind()), link->counters().failureCount);
            lostReplies.emplace_back(objectKindName(link->kind()), link->counters().lostReplyCount);
        }
        metrics.counter("store_calls_total", "kind", calls);
        metrics.counter("store_probes_total", m_storeProbe.callCount());
        metrics.counter("store_replies_lost_total", "kind", lostReplies);
        metrics.counter("store_call_failures_total", "kind", failures);
        metrics.counter("store_calls_put_off_total", m_storeBudget.reads().refused() + m_storeBudget.writes().refused());
        metrics.gauge("store_era", m_storeEra);
        metrics.counter("store_returns_total", m_storeReturnCount);
        metrics.counter("registration_rewrites_total", m_registrationLink.repeatedWriteCount());
        metrics.gauge("store_reached", m_leafLink.mirror().isConnected() || m_readerLink.hasReader() ? 1 : 0);
        auto const& roles = m_readerLink.roles();
        metrics.gauge("store_reader", roles.readsStore() ? 1 : 0);
        metrics.gauge("store_subscribers", m_pollServer.heldPollCount());
        metrics.counter("store_role_changes_total", roles.counters().roleChangeCount);
        metrics.counter("reader_polls_sent_total", m_readerLink.pollCount());
        metrics.counter("reader_polls_received_total", m_pollServer.pollCount());
        metrics.counter("reader_changes_total", roles.counters().readerChangeCount);
        metrics.counter("reader_substitutions_total", roles.counters().ownReadingCount);
        metrics.gauge("members_living", m_liveDaemonCount);
        metrics.counter("directory_answers_total", m_directoryAnswerCount);
        metrics.counter("malformed_objects_total", m_malformedObjectCount);
        metrics.gauge("configuration_numbers_held", m_routeTable ? m_routeTable->heldNumbers().size() : 0);
        receiver(metrics.text());
    });
}

void fleet_service::logHeldNumbers() const
{
    auto const& held = m_routeTable->heldNumbers();
    for (std::size_t index = 0; index < std::min(held.size(), maximumLoggedNumbers); ++index)
        logEvent(log_level::warn, "configuration_number_held", { { "field", held[index].field }, { "declared", held[index].declared }, { "bound", held[index].bound }, { "version", m_routeTable->version() }, { "held", held.size() } });
}

}
