// Arrival of requests: checks before any call, the parts of a request, and the start of its calls.

#include "Libraries/zinnialedge/forwarding/request_engine.h"

#include "Libraries/zinnialedge/forwarding/retry_after.h"
#include "Libraries/zinnialedge/limits/weak_shards.h"

#include <algorithm>
#include <utility>

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

route const* request_engine::findRoute(caller_request const& request) const
{
    return m_routes->find(request.host, std::string_view { request.target }.substr(0, request.target.find('?')));
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
    auto const* const to = findRoute(request);
    if (!to) {
        reject(token, request, makeRejection(errors::error_kind::unknown_route, "no_route", {}));
        return;
    }
    if (!resolveAccess(token, request, *to))
        return;
    if (!to->hasService()) {
        reject(token, request, makeRejection(errors::error_kind::no_live_target, "no_service", noLeafRetryAfter), to);
        return;
    }
    if (auto const conflict = m_stop.isUnderWay() ? m_stop.findConflict(estimateServingTime(request, *to, now), now) : std::nullopt) {
        ++m_counters.rejectionsForStop;
        reject(token, request, makeStopRejection(), to, conflict);
        return;
    }
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
    if (holdForLinkCheck(*created, now))
        return;
    bool const isDetoured = created->request->detoured.has_value();
    startRequest(*created, now);
    // The request itself is accepted: its calls tell of the links as well, and probes must not take the room that its calls need.
    if (isDetoured)
        checkQuietLinks(now);
}

void request_engine::startRequest(active_request& request, time_point now)
{
    if (areLinksLost() && handleWithoutLinks(request, now))
        return;
    countRequest(request, now);
    if (!skipPartsWithoutLeafs(request, now) || !skipLimitedShards(request, now))
        return;
    if (!request.matchedRoute->isGather() || request.isRelayed() || admitOrEnqueue(request, now))
        startCalls(request, now);
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

kernel::duration request_engine::ageOf(caller_request const& request, route const& to) const
{
    // Another daemon has already taken the age into account.
    if (!request.timeLimit || request.relayed || request.detoured)
        return kernel::duration::zero();
    auto const known = m_routeStates.find(to.name);
    // The answer to a request older than half of the objective can hardly meet it, so it is given the complete objective to be whole.
    return known == m_routeStates.end() ? kernel::duration::zero() : known->second.timeLimit.ageOf(*request.timeLimit, to.objective / 2);
}

active_request* request_engine::createRequest(request_token token, caller_request request, route const& to, time_point now)
{
    if (request.timeLimit && !request.relayed && !request.detoured)
        stateOf(to).timeLimit.record(*request.timeLimit);
    auto& created = m_requests[token];
    created.token = token;
    describeRequest(created, std::move(request), to, now);
    makeParts(created, now);
    m_timers.push({ created.endAt, timer_kind::end, token });
    return &created;
}

void request_engine::describeRequest(active_request& created, caller_request request, route const& to, time_point now) const
{
    created.table = m_routes;
    created.matchedRoute = &to;
    created.matchedTenant = request.tenant.empty() ? nullptr : m_routes->tenantNamed(request.tenant);
    created.arrivedAt = now;
    created.startedAt = now;
    created.lastReplyAt = now;
    auto const transit = request.roundTripTime.value_or(m_settings.defaultRoundTripTime);
    auto const objectiveMargin = std::max(transit, ageOf(request, to) + transit / 2) + answerReserve + std::chrono::duration_cast<kernel::duration>(to.objective * answerReserveShare);
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
    if (auto const& answersDueAt = m_stop.answersDueAt())
        created.endAt = std::min(created.endAt, *answersDueAt);
    created.request = std::make_shared<caller_request const>(std::move(request));
    created.evidence = std::make_shared<quarantine::request_evidence>([request = created.request] { return digestsOf(*request); });
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
        request.addAllShards();
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

limits::shard_skip_input request_engine::describeSlowShards(active_request const& request, time_point now) const
{
    limits::shard_skip_input skipInput { {}, request.objectiveAt - now, request.allowedMissingParts() };
    if (skipInput.allowedMissingShards == 0)
        return skipInput;
    skipInput.recentCallDurations.reserve(request.parts.size());
    for (auto const& part : request.parts)
        skipInput.recentCallDurations.push_back(part.isMissing ? kernel::duration::zero() : m_leafs.recentCallDuration(*part.service, now).value_or(kernel::duration::zero()));
    return skipInput;
}

void request_engine::skipSlowShards(active_request& request, time_point now)
{
    for (auto const partIndex : limits::chooseSkippedShards(describeSlowShards(request, now), m_random)) {
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

}
