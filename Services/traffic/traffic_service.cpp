#include "Services/traffic/traffic_service.h"

#include "Kernel/event_log.h"
#include "Services/traffic/traffic_implementation.h"

namespace zinnialedge::services::traffic {

using kernel::log_level;
using kernel::logEvent;

static constexpr std::size_t inboxCapacity = 256;

void traffic_service::implementation::handleEvent(traffic_event&& event)
{
    std::visit([this](auto& each) { apply(std::move(each)); }, event);
    armTimer();
}

void traffic_service::implementation::apply(forwarding::route_table_pointer&& routes)
{
    auto const before = m_engine.routes() ? m_engine.routes()->version() : 0;
    m_engine.setRoutes(std::move(routes), now());
    auto const after = m_engine.routes()->version();
    if (after != before)
        logEvent(log_level::info, "configuration_in_force", { { "version", after }, { "before", before }, { "routes", m_engine.routes()->routes().size() }, { "tenants", m_engine.routes()->tenants().size() } });
}

void traffic_service::implementation::apply(leafs_changed&& changed)
{
    m_engine.setLeafs(changed.leafs, now());
}

void traffic_service::implementation::apply(evacuations_changed&& changed)
{
    m_engine.setEvacuations(std::move(changed.dataCentres), now());
}

void traffic_service::implementation::apply(fleet_share_changed&& changed)
{
    logEvent(log_level::info, "fleet_share_changed", { { "connection_holders", changed.share.daemonsSharingConnections }, { "slack_holders", changed.share.daemonsSharingSlack }, { "limit_shares", changed.share.daemonsSharingLeafLimits }, { "limit_phase", changed.share.limitPhase }, { "relays", changed.share.relays.size() }, { "detours", changed.share.detours.size() } });
    m_engine.setFleetShare(std::move(changed.share), now());
}

void traffic_service::implementation::apply(extra_calls_changed&& changed)
{
    m_engine.setExtraCalls(changed.limits, now());
}

void traffic_service::implementation::apply(suspects_told&& told)
{
    m_engine.mergeSuspects(told.suspects, now());
    armTimer();
}

void traffic_service::implementation::apply(quota_tolerance_changed&& changed)
{
    m_engine.setQuotaTolerance(changed.tolerance);
}

void traffic_service::implementation::apply(usage_told&& told)
{
    m_engine.mergeUsage(told.report, now());
}

void traffic_service::implementation::apply(link_loss_told&& told)
{
    m_engine.handleLinkLossNews(told.daemonCount, now());
    armTimer();
}

void traffic_service::implementation::announceLeaving(kernel::time_point answersDueAt)
{
    m_isLeaving = true;
    m_engine.setLeaving(answersDueAt, now());
    armTimer();
}

errors::error_or<std::shared_ptr<traffic_service>> traffic_service::create(traffic_settings settings, forwarding::edge_protocol protocol, kernel::random_hook random)
{
    std::shared_ptr<traffic_service> created { new traffic_service(std::move(settings), std::move(protocol), std::move(random)) };
    if (auto listening = created->m_implementation->listen(); !listening)
        return tl::unexpected(listening.error());
    return created;
}

traffic_service::traffic_service(traffic_settings settings, forwarding::edge_protocol protocol, kernel::random_hook random)
    : m_workerThread(serviceName)
    , m_implementation(std::make_unique<implementation>(m_workerThread.context(), std::move(settings), std::move(protocol), std::move(random), m_requestsInFlight))
    , m_inbox(m_workerThread.createInbox<traffic_event>(inboxCapacity, [this](traffic_event&& event) { m_implementation->handleEvent(std::move(event)); }))
{
}

traffic_service::~traffic_service() = default;

void traffic_service::setSuspectsReceiver(std::function<void(std::vector<quarantine::suspect>)> receiver)
{
    m_implementation->setSuspectsReceiver(std::move(receiver));
}

void traffic_service::setUsageReceiver(std::function<void(std::vector<allowances::addressed_report>)> receiver)
{
    m_implementation->setUsageReceiver(std::move(receiver));
}

void traffic_service::setLeafReachReceiver(std::function<void(bool)> receiver)
{
    m_implementation->setLeafReachReceiver(std::move(receiver));
}

void traffic_service::setDaemonWithoutLeafsReceiver(std::function<void(model::endpoint const&)> receiver)
{
    m_implementation->setDaemonWithoutLeafsReceiver(std::move(receiver));
}

std::uint16_t traffic_service::port() const
{
    return m_implementation->port();
}

bool traffic_service::announceLeaving(kernel::time_point answersDueAt)
{
    return m_workerThread.post([this, answersDueAt] { m_implementation->announceLeaving(answersDueAt); });
}

bool traffic_service::rejectNewRequests()
{
    return m_workerThread.post([this] { m_implementation->rejectNewRequests(); });
}

bool traffic_service::stopAccepting()
{
    return m_workerThread.post([this] { m_implementation->stopAccepting(); });
}

bool traffic_service::drainConnections(std::function<void(std::size_t)> receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] { receiver(m_implementation->drainConnections()); });
}

bool traffic_service::reportInterruptedRequests(std::function<void(std::size_t)> receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] { receiver(m_implementation->reportInterruptedRequests()); });
}

bool traffic_service::requestExplanation(std::map<std::string, std::string> const& parameters, std::function<void(errors::error_or<std::string>)> receiver)
{
    return m_workerThread.post([this, parameters, receiver = std::move(receiver)] { receiver(m_implementation->explain(parameters)); });
}

bool traffic_service::requestState(kernel::text_receiver receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] { receiver(m_implementation->describeState()); });
}

bool traffic_service::requestMetrics(kernel::text_receiver receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] { receiver(m_implementation->describeMetrics()); });
}

}
