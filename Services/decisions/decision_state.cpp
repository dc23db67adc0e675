// State and metrics reports of the decision service.

#include "Kernel/metrics_text.h"
#include "Services/decisions/decision_service.h"

#include <array>
#include <boost/json.hpp>

namespace zinnialedge::services::decisions {

namespace json = boost::json;

static json::object describe(routing::leaf const& leaf)
{
    json::array versions(leaf.versions().begin(), leaf.versions().end());
    json::array epochs(leaf.epochs().begin(), leaf.epochs().end());
    return {
        { "service", leaf.service() },
        { "name", leaf.name() },
        { "at", toString(leaf.endpoint()) },
        { "state", routing::toString(leaf.state()) },
        { "in_flight", leaf.inFlight() },
        { "limit", leaf.limit() },
        { "connections", leaf.connectionShare() },
        { "latency_us", leaf.latency().count() },
        { "reported_load", leaf.reportedLoad() },
        { "epochs", std::move(epochs) },
        { "versions", std::move(versions) },
    };
}

static json::object describe(membership::member_update const& member)
{
    return {
        { "name", member.record.name },
        { "incarnation", member.record.incarnation },
        { "version", member.version },
        { "status", membership::toString(member.status) },
    };
}

struct named_counter {
    char const* name;
    std::uint64_t value;
};

static std::array<named_counter, 15> listCounters(queries::engine_counters const& counters)
{
    return { {
        { "queries", counters.queries },
        { "answers", counters.answers },
        { "partial_answers", counters.partialAnswers },
        { "refusals", counters.refusals },
        { "leaf_calls", counters.leafCalls },
        { "hedges", counters.hedges },
        { "retries", counters.retries },
        { "repins", counters.repins },
        { "abandoned", counters.abandonedQueries },
        { "relays", counters.relays },
        { "relays_without_answer", counters.unansweredRelays },
        { "late_replies", counters.lateReplies },
        { "mismatched_replies", counters.mismatchedReplies },
        { "requests_quarantined", counters.requestsQuarantined },
        { "refusals_for_quarantine", counters.rejectionsForQuarantine },
    } };
}

std::string decision_service::describeState() const
{
    json::object counters;
    for (auto const& [name, value] : listCounters(m_engine.counters()))
        counters[name] = value;
    json::array leafs;
    for (routing::leaf_handle handle = 0; handle < m_engine.leafs().size(); ++handle)
        leafs.push_back(describe(m_engine.leafs().at(handle)));
    json::object objects;
    m_objects.forEachWithPrefix("", [&](configuration::stored_object const& object) { objects[object.key] = object.version; });
    json::array members;
    json::value self = nullptr;
    if (m_membership) {
        self = describe(m_membership->self());
        for (auto const& [name, member] : m_membership->members().members())
            members.push_back(describe(member));
    }
    return json::serialize(json::object {
        { "member", std::move(self) },
        { "members", std::move(members) },
        { "cut_off", m_isCutOff },
        { "store_reachable", m_isStoreReachable },
        { "queries_in_flight", m_engine.queriesInFlight() },
        { "tickets_remembered", m_engine.retainedTicketCount() },
        { "daemons_known", m_directory.size() },
        { "counters", std::move(counters) },
        { "objects", std::move(objects) },
        { "leafs", std::move(leafs) },
    });
}

std::string decision_service::describeMetrics() const
{
    kernel::metrics_text metrics;
    for (auto const& [name, value] : listCounters(m_engine.counters()))
        metrics.counter(std::string { name } + "_total", value);
    metrics.gauge("queries_in_flight", m_engine.queriesInFlight());
    return metrics.text();
}

}
