#include "Libraries/zinnialedge/forwarding/request_engine.h"

#include <algorithm>

namespace zinnialedge::forwarding {

using kernel::time_point;

/// Delay before the request of a disconnected caller is abandoned. The platform requires that such work ends within 0.5 s.
static constexpr std::chrono::milliseconds abandonDelay { 250 };
static constexpr std::int64_t jitterSteps = 1000;
/// Typical duration of a relay call before the first one has ended. Its connections are cold, so the first calls are slow.
static constexpr std::chrono::milliseconds initialRelayDuration { 25 };

request_engine::request_engine(engine_settings settings, engine_hooks hooks, kernel::random_hook random, time_point startedAt)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_random(random)
    , m_startedAt(startedAt)
    , m_leafs(m_settings.dataCentre, std::move(random), m_settings.leafStarts)
    // What daemons that leave have consumed counts in each window that contains their calls.
    , m_slackSharers(1, m_settings.extraCalls.window)
    , m_typicalRelayDuration(initialRelayDuration)
    , m_quarantine(m_settings.daemonSeed)
    , m_quotas(startedAt)
{
    m_quotas.setTolerance(m_settings.quotaTolerance);
}

void request_engine::setRoutes(route_table_pointer routes, time_point now)
{
    // The configuration version never decreases within a process, regardless of the source of the configuration.
    if (m_routes && routes->version() <= m_routes->version())
        return;
    m_routes = std::move(routes);
    setTenantQuotas(now);
    setShareWeights();
    m_leafs.setConnectionSharing(m_routes, m_fleetShare.daemonsSharingConnections, now);
    m_tenantCounts.removeUndeclared([this](std::string const& name) { return m_routes->tenantNamed(name) != nullptr; });
    dispatchAllQueuedParts(now);
}

void request_engine::setLeafs(std::vector<leaf_registration> const& registrations, time_point now)
{
    m_leafs.replaceRegistrations(registrations, now);
    reviewLeafs(now);
    m_links.setLeafCount(m_leafs.availableCount(), now);
    scheduleLinkCheck(now);
    dispatchAllQueuedParts(now);
}

void request_engine::setFleetShare(fleet_share share, time_point now)
{
    clearMarksOfReturned(share.detours);
    m_fleetShare = std::move(share);
    m_leafs.setLimitSharers(m_fleetShare.daemonsSharingLeafLimits, m_fleetShare.limitPhase, now);
    if (m_fleetShare.daemonsSharingSlack > 0)
        m_slackSharers.set(static_cast<double>(m_fleetShare.daemonsSharingSlack), now);
    m_leafs.setConnectionSharing(m_routes, m_fleetShare.daemonsSharingConnections, now);
    m_quotas.setMembers(m_fleetShare.quotaMemberName, m_fleetShare.isServingCallers, m_fleetShare.quotaMembers, now);
    scheduleUsageReport();
}

void request_engine::setExtraCalls(extra_call_limits limits, time_point now)
{
    m_settings.extraCalls = limits;
    for (auto& [service, history] : m_serviceStates)
        history.extraCallBudget.setLimits(limits, now);
}

route_state& request_engine::stateOf(route const& to)
{
    auto const found = m_routeStates.find(to.name);
    if (found != m_routeStates.end())
        return found->second;
    static constexpr double typicalQuantile = 0.9;
    static constexpr double servingQuantile = 0.98;
    return m_routeStates.emplace(to.name, route_state { limits::moving_quantile { typicalQuantile, initialCallDuration(to) }, limits::moving_quantile { servingQuantile, to.objective } }).first->second;
}

std::chrono::microseconds initialCallDuration(route const& to)
{
    static constexpr int initialCallTimeDivisor = 8;
    return to.objective / initialCallTimeDivisor;
}

relay_state request_engine::stateOf(relay const& daemon) const
{
    auto const found = m_relayStates.find(daemon);
    return found == m_relayStates.end() ? relay_state {} : found->second;
}

service_state& request_engine::stateOf(std::string const& service)
{
    auto const found = m_serviceStates.find(service);
    if (found != m_serviceStates.end())
        return found->second;
    return m_serviceStates.emplace(service, service_state { extra_call_budget { m_settings.extraCalls, m_startedAt }, {} }).first->second;
}

active_request* request_engine::findRequest(request_token token)
{
    auto const found = m_requests.find(token);
    return found == m_requests.end() ? nullptr : &found->second;
}

final_answer request_engine::makeRejection(errors::error_kind kind, std::string reason, kernel::duration retryAfter)
{
    final_answer answer;
    answer.status = errors::propertiesOf(kind).httpStatus;
    answer.error = errors::error { kind, std::string { errors::propertiesOf(kind).description }, std::nullopt };
    answer.reason = std::move(reason);
    answer.version = m_routes ? m_routes->version() : 0;
    // Jitter of up to the retry-after itself spreads the retries of callers that were rejected at once.
    if (retryAfter > kernel::duration::zero())
        answer.error->retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter + retryAfter * static_cast<std::int64_t>(m_random() % jitterSteps) / jitterSteps);
    return answer;
}

void request_engine::handleCallerDisconnect(request_token token, time_point now)
{
    auto* const request = findRequest(token);
    if (!request || request->isCallerDisconnected)
        return;
    ++m_counters.callersDisconnected;
    request->isCallerDisconnected = true;
    releaseAdmission(*request, now);
    // The daemon that sent the request has already applied the delay.
    m_timers.push({ request->isFromDaemon() ? now : now + abandonDelay, timer_kind::abandon, token });
}

void request_engine::abandon(active_request& request, time_point now)
{
    static std::string const reason = "caller_left";
    reportOutcome(request, 0, reason, std::nullopt, now);
    releaseAdmission(request, now);
    refundQuota(request, now);
    // Calls of a non-repeatable request continue: the leaf may have started, and cancellation would leave the outcome unknown.
    if (request.matchedRoute->isRepeatable) {
        for (auto const& part : request.parts) {
            for (auto const& call : part.calls)
                m_hooks.cancelCall(call.number, call_failure::cancelled);
            if (part.relayCallNumber != 0)
                m_hooks.cancelCall(part.relayCallNumber, call_failure::cancelled);
        }
        if (request.detour && request.detour->callNumber != 0)
            m_hooks.cancelCall(request.detour->callNumber, call_failure::cancelled);
    }
    m_requests.erase(request.token);
}

std::vector<open_request> request_engine::openRequests(time_point now) const
{
    std::vector<open_request> open;
    for (auto const& [token, each] : m_requests) {
        if (!each.isCallerDisconnected)
            open.push_back({ each.request->attemptId, now - each.arrivedAt, each.mayHaveRun(), each.matchedRoute->isRepeatable });
    }
    return open;
}

std::optional<time_point> request_engine::nextTimerTime() const
{
    if (m_timers.empty())
        return std::nullopt;
    return m_timers.top().dueAt;
}

void request_engine::runTimers(time_point now)
{
    // Timers that are set meanwhile run in a later turn of the event loop, even if they are due at once, so that input and output get their turn.
    std::vector<timer> dueTimers;
    while (!m_timers.empty() && m_timers.top().dueAt <= now) {
        dueTimers.push_back(m_timers.top());
        m_timers.pop();
    }
    for (auto const& due : dueTimers) {
        if (due.kind == timer_kind::abandon_call) {
            if (m_calls.contains(due.subject) || m_relayCalls.contains(due.subject) || m_detourCalls.contains(due.subject) || m_probes.contains(due.subject) || m_lossProbes.contains(due.subject))
                m_hooks.cancelCall(due.subject, call_failure::timed_out);
            continue;
        }
        if (due.kind == timer_kind::end_undelivered_call) {
            if (auto const call = m_calls.find(due.subject); call != m_calls.end() && isEvacuated(call->second.leaf) && m_hooks.cancelUndeliveredCall)
                m_hooks.cancelUndeliveredCall(due.subject);
            continue;
        }
        if (due.kind == timer_kind::admit) {
            admitQueued(due.subject, now);
            continue;
        }
        if (due.kind == timer_kind::dispatch) {
            if (m_nextDispatchAt && *m_nextDispatchAt <= due.dueAt)
                m_nextDispatchAt.reset();
            dispatchAllQueuedParts(now);
            continue;
        }
        if (due.kind == timer_kind::share_suspects) {
            m_isSharingScheduled = false;
            shareSuspects(now);
            continue;
        }
        if (due.kind == timer_kind::share_usage) {
            m_nextUsageReportAt.reset();
            shareUsage(now);
            continue;
        }
        if (due.kind == timer_kind::relay_timeout) {
            handleLateRelay(due.subject, now);
            continue;
        }
        if (due.kind == timer_kind::detour_timeout) {
            handleLateDetour(due.subject, now);
            continue;
        }
        if (due.kind == timer_kind::check_losses) {
            m_nextLossCheckAt.reset();
            checkLosses(now);
            continue;
        }
        if (due.kind == timer_kind::check_links) {
            if (m_nextLinkCheckAt && *m_nextLinkCheckAt <= due.dueAt)
                m_nextLinkCheckAt.reset();
            checkLinks(now);
            continue;
        }
        auto* const request = findRequest(due.subject);
        if (!request || (request->isCallerDisconnected && due.kind != timer_kind::abandon))
            continue;
        // The parts of a request that another daemon handles are no longer called here, and those of one that waits are not called yet.
        if ((request->detour || request->awaitsLinkCheck) && due.kind != timer_kind::end && due.kind != timer_kind::abandon)
            continue;
        switch (due.kind) {
        case timer_kind::hedge:
            sendDueHedges(*request, due.dueAt, now);
            break;
        case timer_kind::objective:
            if (request->isRelayed()) {
                settleRelayedAtLimit(*request, due.dueAt, now);
                break;
            }
            request->wasCongested = request->lacksManyReplies();
            if (request->hasMinimumCoverage())
                settleMerged(*request, "objective", now);
            break;
        case timer_kind::accept_minimum_coverage:
            request->acceptsMinimumCoverage = true;
            settleIfDecided(*request, now);
            break;
        case timer_kind::end:
            settleAtEnd(*request, now);
            break;
        case timer_kind::abandon:
            abandon(*request, now);
            break;
        case timer_kind::abandon_call:
        case timer_kind::relay_timeout:
        case timer_kind::admit:
        case timer_kind::dispatch:
        case timer_kind::share_suspects:
        case timer_kind::check_losses:
        case timer_kind::check_links:
        case timer_kind::detour_timeout:
        case timer_kind::share_usage:
        case timer_kind::end_undelivered_call:
            break;
        }
    }
}

}
