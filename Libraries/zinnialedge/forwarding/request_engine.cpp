#include "Libraries/zinnialedge/forwarding/request_engine.h"

#include "Libraries/zinnialedge/limits/weak_shards.h"

#include <algorithm>

namespace zinnialedge::forwarding {

using kernel::time_point;

/// Time reserved before the objective, in addition to the caller's round trip, for late timers and other work of the daemon
/// before the answer is sent.
static constexpr std::chrono::milliseconds answerReserve { 5 };
static constexpr double answerReserveShare = 0.06;
/// Minimum time reserved before the end of the caller's time limit and of the route's timeout.
static constexpr std::chrono::milliseconds minimumEndMargin { 12 };
/// Number of objectives after which an answer with the minimum coverage is preferred to a later complete answer.
static constexpr int objectivesUntilLate = 2;
/// Delay before the request of a disconnected caller is abandoned. The platform requires that such work ends within 0.5 s.
static constexpr std::chrono::milliseconds abandonDelay { 250 };
/// Retry-after when the daemon is at capacity: about the time in which other requests end.
static constexpr std::chrono::milliseconds atCapacityRetryAfter { 120 };
/// Retry-after while no configuration is loaded: about the time in which a starting daemon reads its configuration.
static constexpr std::chrono::milliseconds noConfigurationRetryAfter { 300 };
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

request_engine::route_state& request_engine::stateOf(route const& to)
{
    auto const found = m_routeStates.find(to.name);
    if (found != m_routeStates.end())
        return found->second;
    static constexpr double typicalQuantile = 0.9;
    static constexpr int initialCallTimeDivisor = 8;
    return m_routeStates.emplace(to.name, route_state { limits::moving_quantile { typicalQuantile, to.objective / initialCallTimeDivisor } }).first->second;
}

request_engine::service_state& request_engine::stateOf(std::string const& service)
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

static std::string_view requestPath(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

void request_engine::handleRequest(request_token token, caller_request request, time_point now)
{
    ++m_counters.requests;
    reviewLeafs(now);
    if (!m_routes) {
        reject(token, request, makeRejection(errors::error_kind::not_configured, "no_configuration", noConfigurationRetryAfter));
        return;
    }
    if (request.relayed && request.relayed->version != m_routes->version()) {
        reject(token, request, makeRejection(errors::error_kind::not_configured, "other_version", {}));
        return;
    }
    if (request.detoured) {
        ++m_counters.detouredRequests;
        // Under an older version the request could go where the other daemon's configuration no longer lets it.
        if (request.detoured->minimumVersion > m_routes->version()) {
            reject(token, request, makeRejection(errors::error_kind::not_configured, "other_version", noConfigurationRetryAfter));
            return;
        }
    }
    auto const* const to = m_routes->find(request.host, requestPath(request.target));
    if (!to) {
        reject(token, request, makeRejection(errors::error_kind::unknown_route, "no_route", {}));
        return;
    }
    if (!resolveAccess(token, request, *to))
        return;
    if (m_requests.size() >= m_settings.capacity) {
        reject(token, request, makeRejection(errors::error_kind::overloaded, "at_capacity", atCapacityRetryAfter), to);
        return;
    }
    bool const isCountedForQuota = hasQuota(request);
    if (isCountedForQuota && !consumeQuota(token, request, *to, now))
        return;
    auto* const created = createRequest(token, std::move(request), *to, now);
    created->isCountedForQuota = isCountedForQuota;
    m_quarantine.removeExpired(now);
    mergeDetouredKnowledge(*created, now);
    auto const verdict = judge(*created->evidence, now);
    if (verdict == quarantine::verdict::quarantined || (verdict == quarantine::verdict::trial && created->isRelayed())) {
        if (passTrialOn(*created, now))
            return;
        countRequest(*created, now);
        settleQuarantined(*created, now);
        return;
    }
    if (areLinksLost() && handleWithoutLinks(*created, now))
        return;
    countRequest(*created, now);
    if (!skipPartsWithoutLeafs(*created, now) || !skipLimitedShards(*created, now))
        return;
    if (!to->isGather() || created->isRelayed() || admitOrEnqueue(*created, now))
        startCalls(*created, now);
}

void request_engine::startCalls(active_request& request, time_point now)
{
    if (request.matchedRoute->isGather() && !request.isRelayed()) {
        skipSlowShards(request, now);
        if (judge(*request.evidence, now) != quarantine::verdict::trial)
            sendRelays(request, now);
    }
    if (request.matchedRoute->isRepeatable && request.matchedRoute->maximumAttempts > 1 && !request.isRelayed())
        m_timers.push({ now + hedgeDelayOf(*request.matchedRoute), timer_kind::hedge, request.token });
    // The only call of a request that is tried again goes to another shard each time.
    auto const firstIndex = judge(*request.evidence, now) == quarantine::verdict::trial ? m_random() % request.parts.size() : 0;
    for (std::size_t count = 0; count < request.parts.size(); ++count) {
        auto const partIndex = (firstIndex + count) % request.parts.size();
        auto const& part = request.parts[partIndex];
        if (!part.isMissing && part.relayCallNumber == 0)
            callPart(request, partIndex, now);
    }
    settleIfDecided(request, now);
}

std::string const& request_engine::chooseService(route const& to)
{
    double total = 0;
    for (auto const& each : to.services)
        total += each.weight;
    auto remainingWeight = total * static_cast<double>(m_random() % (1U << 30U)) / static_cast<double>(1U << 30U);
    for (auto const& each : to.services) {
        remainingWeight -= each.weight;
        if (remainingWeight < 0)
            return each.service;
    }
    return to.services.back().service;
}

active_request* request_engine::createRequest(request_token token, caller_request request, route const& to, time_point now)
{
    auto& created = m_requests[token];
    created.token = token;
    created.table = m_routes;
    created.matchedRoute = &to;
    created.matchedTenant = request.tenant.empty() ? nullptr : m_routes->tenantNamed(request.tenant);
    created.arrivedAt = now;
    created.startedAt = now;
    created.lastReplyAt = now;
    auto const transit = request.roundTripTime.value_or(m_settings.defaultRoundTripTime);
    auto const objectiveMargin = transit + answerReserve + std::chrono::duration_cast<kernel::duration>(to.objective * answerReserveShare);
    created.objectiveAt = now + std::max<kernel::duration>(to.objective - objectiveMargin, to.objective / 2);
    auto timeLimit = to.timeout;
    if (request.timeLimit) {
        created.callerDeadline = now + *request.timeLimit;
        timeLimit = std::min(timeLimit, *request.timeLimit);
    }
    // The other daemon needs time to pass the answer on.
    if (request.detoured)
        created.objectiveAt = now + std::max<kernel::duration>(request.detoured->objectiveLeft - transit - answerReserve, kernel::duration::zero());
    auto const endMargin = std::max<kernel::duration>(minimumEndMargin, transit + answerReserve);
    created.endAt = now + std::max<kernel::duration>(timeLimit - endMargin, timeLimit / 2);
    created.request = std::make_shared<caller_request const>(std::move(request));
    created.evidence = std::make_shared<quarantine::request_evidence>([request = created.request] { return digestsOf(*request); });
    makeParts(created, now);
    m_timers.push({ created.endAt, timer_kind::end, token });
    return &created;
}

void request_engine::makeParts(active_request& request, time_point now)
{
    auto const& to = *request.matchedRoute;
    if (!to.isGather()) {
        request.parts.resize(1);
        request.parts[0].service = &chooseService(to);
    } else if (request.isRelayed()) {
        for (auto const shard : request.request->relayed->shardIndices) {
            if (shard < to.gather.shards.size())
                request.parts.push_back({ .service = &to.gather.shards[shard], .shardIndex = shard });
        }
        request.objectiveAt = now + request.request->relayed->answerTimeLimit;
        m_timers.push({ request.objectiveAt, timer_kind::objective, request.token });
        return;
    } else {
        request.parts.resize(to.gather.shards.size());
        for (std::size_t partIndex = 0; partIndex < request.parts.size(); ++partIndex) {
            request.parts[partIndex].service = &to.gather.shards[partIndex];
            request.parts[partIndex].shardIndex = partIndex;
        }
        m_timers.push({ request.objectiveAt, timer_kind::objective, request.token });
        m_timers.push({ now + to.objective * objectivesUntilLate, timer_kind::accept_minimum_coverage, request.token });
    }
}

void request_engine::countRequest(active_request const& request, time_point now)
{
    // The daemon that relays a request counts it, because it also sends the extra calls.
    if (request.isRelayed() || (request.request->detoured && request.request->detoured->isCounted))
        return;
    for (auto const& part : request.parts)
        stateOf(*part.service).extraCallBudget.recordRequest(now);
}

void request_engine::skipSlowShards(active_request& request, time_point now)
{
    limits::shard_skip_input skipInput { {}, request.objectiveAt - now, request.allowedMissingParts() };
    if (skipInput.allowedMissingShards == 0)
        return;
    skipInput.recentCallDurations.reserve(request.parts.size());
    for (auto const& part : request.parts)
        skipInput.recentCallDurations.push_back(part.isMissing ? kernel::duration::zero() : m_leafs.recentCallDuration(*part.service, now).value_or(kernel::duration::zero()));
    for (auto const partIndex : limits::chooseSkippedShards(skipInput, m_random)) {
        request.parts[partIndex].isMissing = true;
        request.parts[partIndex].isSkipped = true;
        ++request.missingPartCount;
        ++request.skippedPartCount;
        ++m_counters.shardsSkipped;
    }
}

void request_engine::callSkippedShards(active_request& request, time_point now)
{
    for (std::size_t partIndex = 0; partIndex < request.parts.size() && request.skippedPartCount > 0 && !request.canReachMinimumCoverage(); ++partIndex) {
        auto& part = request.parts[partIndex];
        if (!part.isSkipped)
            continue;
        part.isSkipped = false;
        part.isMissing = false;
        --request.skippedPartCount;
        --request.missingPartCount;
        callPart(request, partIndex, now);
    }
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

std::optional<time_point> request_engine::nextTimerTime() const
{
    if (m_timers.empty())
        return std::nullopt;
    return m_timers.top().dueAt;
}

void request_engine::runTimers(time_point now)
{
    while (!m_timers.empty() && m_timers.top().dueAt <= now) {
        auto const due = m_timers.top();
        m_timers.pop();
        if (due.kind == timer_kind::abandon_call) {
            if (m_calls.contains(due.subject) || m_relayCalls.contains(due.subject) || m_detourCalls.contains(due.subject) || m_probes.contains(due.subject))
                m_hooks.cancelCall(due.subject, call_failure::timed_out);
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
        if (due.kind == timer_kind::check_links) {
            if (m_nextLinkCheckAt && *m_nextLinkCheckAt <= due.dueAt)
                m_nextLinkCheckAt.reset();
            checkLinks(now);
            continue;
        }
        auto* const request = findRequest(due.subject);
        if (!request || (request->isCallerDisconnected && due.kind != timer_kind::abandon))
            continue;
        // The parts of a request that another daemon handles are no longer called here.
        if (request->detour && due.kind != timer_kind::end && due.kind != timer_kind::abandon)
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
        case timer_kind::check_links:
        case timer_kind::detour_timeout:
        case timer_kind::share_usage:
            break;
        }
    }
}

}
