// Relays for shards in other data centres: a remote daemon calls its local leafs and returns only the greatest of their
// records, which saves most of the traffic between data centres. The remote daemon sends first calls only. Hedges are sent
// here, so that the number of leafs called for a shard stays within the route's limit even if the remote daemon fails.

#include "Libraries/zinnialedge/forwarding/request_engine.h"
#include "Libraries/zinnialedge/limits/hedge_hold.h"

#include <algorithm>

namespace zinnialedge::forwarding {

using kernel::time_point;

/// Time reserved for the round trip to another data centre and the remote daemon's processing.
static constexpr std::chrono::milliseconds relayMargin { 5 };
/// Share of denied extra calls from which on hedges are considered unavailable.
static constexpr double scarceBudgetDeniedShare = 0.6;
/// Share of the time to the objective after which the remote daemon answers in any case, so that missing shards can be called
/// directly.
static constexpr double latestAnswerShare = 0.6;
/// A relay call is late when it takes this many times the typical duration.
static constexpr int relayLateFactor = 2;
static constexpr int relayDurationWeightDivisor = 8;
std::optional<relay> request_engine::chooseRelay(std::string const& dataCentre, time_point now)
{
    return chooseRelay(dataCentre, m_fleetShare.relays.empty() ? 0 : m_random() % m_fleetShare.relays.size(), now);
}

std::optional<relay> request_engine::chooseRelay(std::string const& dataCentre, std::size_t offset, time_point now) const
{
    std::optional<relay> best;
    std::size_t fewestInFlight = 0;
    for (std::size_t index = 0; index < m_fleetShare.relays.size(); ++index) {
        auto const& each = m_fleetShare.relays[(index + offset) % m_fleetShare.relays.size()];
        if (each.dataCentre != dataCentre)
            continue;
        auto const state = stateOf(each);
        if (now < state.backoffUntil || (best && state.inFlight >= fewestInFlight))
            continue;
        best = each;
        fewestInFlight = state.inFlight;
    }
    return best;
}

void request_engine::sendRelays(active_request& request, time_point now)
{
    for (auto const& each : planShardRelays(request, [&](auto const& dataCentre) { return chooseRelay(dataCentre, now).has_value(); }, now)) {
        if (auto const to = chooseRelay(each.dataCentre, now))
            sendRelay(request, *to, each.shardIndices, now);
    }
}

std::vector<relayed_shards> request_engine::planShardRelays(active_request const& request, std::function<bool(std::string const&)> const& hasRelay, time_point now) const
{
    if (m_fleetShare.relays.empty() || !request.matchedRoute->isRepeatable)
        return {};
    auto const timeLimit = hedgeDelayOf(*request.matchedRoute);
    std::vector<std::size_t> remoteShards;
    for (std::size_t partIndex = 0; partIndex < request.parts.size(); ++partIndex) {
        auto const& part = request.parts[partIndex];
        if (!part.isMissing && !m_leafs.hasHealthyLeafIn(*part.service, m_leafs.localDataCentre(), timeLimit, now))
            remoteShards.push_back(partIndex);
    }
    if (remoteShards.size() < minimumRelayedShards)
        return {};
    std::vector<std::string> dataCentres;
    for (auto const& each : m_fleetShare.relays) {
        if (std::find(dataCentres.begin(), dataCentres.end(), each.dataCentre) == dataCentres.end() && hasRelay(each.dataCentre))
            dataCentres.push_back(each.dataCentre);
    }
    return planRelays(std::move(remoteShards), dataCentres, [&](std::size_t partIndex, std::string const& dataCentre) {
        return m_leafs.hasHealthyLeafIn(*request.parts[partIndex].service, dataCentre, timeLimit, now);
    });
}

std::chrono::milliseconds request_engine::relayTimeLimit(active_request const& request, time_point now)
{
    auto const defaultTime = std::chrono::duration_cast<std::chrono::milliseconds>(hedgeDelayOf(*request.matchedRoute)) + std::chrono::milliseconds { 1 };
    // Shards missing from the remote daemon's answer need hedges. Without a hedge budget, waiting for slow leafs is better.
    if (m_deniedExtraCallShare < scarceBudgetDeniedShare)
        return defaultTime;
    auto const longestTime = std::chrono::duration_cast<std::chrono::milliseconds>(request.objectiveAt - now) - relayMargin - relayMargin;
    return std::max(defaultTime, longestTime);
}

kernel::duration request_engine::relayLateTime(std::chrono::milliseconds answerTimeLimit, std::chrono::milliseconds latestAnswerTimeLimit) const
{
    return std::clamp<kernel::duration>(m_typicalRelayDuration * relayLateFactor, answerTimeLimit + relayMargin, latestAnswerTimeLimit + relayMargin);
}

void request_engine::settleRelayedAtLimit(active_request& request, time_point dueAt, time_point now)
{
    auto const hold = limits::hedgeHoldTime(request.callProgress(now - dueAt, now), longestHedgeHold(*request.matchedRoute));
    auto const latest = request.arrivedAt + request.request->relayed->latestAnswerTimeLimit;
    if (hold > kernel::duration::zero() && now < latest)
        m_timers.push({ std::min(now + hold, latest), timer_kind::objective, request.token });
    else
        settleMerged(request, "objective", now);
}

void request_engine::sendRelay(active_request& request, relay const& to, std::vector<std::size_t> partIndices, time_point now)
{
    auto const number = ++m_lastCallNumber;
    auto const answerTimeLimit = relayTimeLimit(request, now);
    auto const latestAnswerTimeLimit = std::max(answerTimeLimit, std::chrono::duration_cast<std::chrono::milliseconds>((request.objectiveAt - now) * latestAnswerShare));
    for (auto const partIndex : partIndices) {
        request.parts[partIndex].relayCallNumber = number;
        request.parts[partIndex].relayDataCentre = to.dataCentre;
        ++request.parts[partIndex].callsThatMayHaveRun;
    }
    ++m_counters.relays;
    ++m_relayStates[to].inFlight;
    m_relayCalls[number] = { request.token, partIndices, to, now, request.evidence };
    m_timers.push({ now + relayLateTime(answerTimeLimit, latestAnswerTimeLimit), timer_kind::relay_timeout, number });
    m_timers.push({ request.endAt, timer_kind::abandon_call, number });
    m_hooks.sendCall({ number, 0, {}, to.endpoint, request.callerDeadline, request.endAt, true, request.request, relayed_request { request.table->version(), std::move(partIndices), answerTimeLimit, latestAnswerTimeLimit }, std::nullopt, false });
}

void request_engine::applyForwardedNotices(leaf_reply const& reply, time_point now)
{
    for (auto const& leafId : reply.leavingLeafIds)
        m_counters.leafsLeaving += m_leafs.markLeaving(leafId) ? 1 : 0;
    for (auto const& each : reply.leafLimits) {
        if (auto const leaf = m_leafs.findLeaf(each.leafId))
            setLeafLimit(*leaf, each.requestsPerSecond, now);
    }
}

void request_engine::handleRelayEnd(call_number number, relay_call_context const& context, call_result result, time_point now)
{
    static constexpr int statusOk = 200;
    auto& state = m_relayStates[context.remoteDaemon];
    state.inFlight -= std::min<std::size_t>(state.inFlight, 1);
    bool const isAnswer = result && result->status == statusOk && result->relayedShards.size() == result->relayedSeals.size();
    if (isAnswer) {
        state.lastAnswerAt = now;
        m_typicalRelayDuration += (now - context.sentAt - m_typicalRelayDuration) / relayDurationWeightDivisor;
    }
    bool const hasLostLinks = result && result->detour && result->detour->reason == linksLostReason;
    if ((!result && result.error() != call_failure::cancelled) || hasLostLinks)
        state.backoffUntil = now + relayBackoff;
    if (result) {
        applyForwardedNotices(*result, now);
        if (!result->losses.empty())
            mergeSuspects({ quarantine::readNotice({ .request = context.evidence->digests().back(), .losses = result->losses }, now) }, now);
        if (isAnswer && !result->relayedShards.empty())
            recordRun(*context.evidence, now);
    }
    auto* const request = findRequest(context.requestToken);
    if (!request || request->isCallerDisconnected || request->detour)
        return;
    for (auto const partIndex : context.partIndices) {
        auto& part = request->parts[partIndex];
        if (part.relayCallNumber == number)
            part.relayCallNumber = 0;
    }
    if (isAnswer) {
        acceptRelayedAnswer(*request, context, std::move(*result), now);
        if (context.evidence->hasSucceeded())
            releaseHeldParts(context.requestToken, now);
        return;
    }
    // A rejection is sent before any leaf is called.
    bool const hasReachedLeafs = !result && result.error() != call_failure::not_sent;
    if (m_hooks.logLeafEvent)
        m_hooks.logLeafEvent(request->request->attemptId, toString(context.remoteDaemon.endpoint), result ? "relay_refused" : "relay_failed", now - context.sentAt);
    replaceUnansweredParts(*request, context, hasReachedLeafs, now);
}

void request_engine::acceptRelayedAnswer(active_request& request, relay_call_context const& context, leaf_reply reply, time_point now)
{
    for (std::size_t index = 0; index < reply.relayedShards.size(); ++index) {
        auto const partIndex = reply.relayedShards[index];
        bool const wasRequested = std::find(context.partIndices.begin(), context.partIndices.end(), partIndex) != context.partIndices.end();
        // One body contains the records of all relayed shards, so the answer is accepted or rejected as a unit.
        if (!wasRequested || reply.relayedSeals[index].empty())
            return replaceUnansweredParts(request, context, true, now);
    }
    for (std::size_t index = 0; index < reply.relayedShards.size(); ++index) {
        auto& part = request.parts[reply.relayedShards[index]];
        if (!part.isAnswered())
            ++request.answeredPartCount;
        if (part.isMissing) {
            part.isMissing = false;
            --request.missingPartCount;
        }
        // A direct reply is dropped, since the relayed body already contains the records of the shard.
        part.reply.reset();
        part.relayedSeal = std::move(reply.relayedSeals[index]);
    }
    if (!reply.relayedShards.empty())
        request.relayedBodies.push_back(std::move(reply.body));
    replaceUnansweredParts(request, context, true, now);
}

void request_engine::replaceUnansweredParts(active_request& request, relay_call_context const& context, bool hasReachedLeafs, time_point now)
{
    auto const token = request.token;
    for (auto const partIndex : context.partIndices) {
        auto& part = request.parts[partIndex];
        if (part.isSettled() || !part.calls.empty() || part.isQueued || !part.relayDataCentre)
            continue;
        ++m_counters.relayedPartsReplaced;
        if (!hasReachedLeafs) {
            part.relayDataCentre.reset();
            --part.callsThatMayHaveRun;
            callPart(request, partIndex, now);
            continue;
        }
        if (!part.isHeld && !mayCallLeaf(request, partIndex, now))
            holdPart(request, partIndex);
        if (part.isHeld || hedgeRelayedPart(request, partIndex, now))
            continue;
        // The pending relay call may still return this shard.
        if (part.relayCallNumber != 0)
            continue;
        part.isMissing = true;
        ++request.missingPartCount;
    }
    if (auto* const pendingRequest = findRequest(token))
        settleIfDecided(*pendingRequest, now);
}

bool request_engine::hedgeRelayedPart(active_request& request, std::size_t partIndex, time_point now)
{
    auto& part = request.parts[partIndex];
    if (part.attemptCount() >= request.maximumAttempts())
        return false;
    auto const excluded = m_leafs.leafsIn(*part.service, *part.relayDataCentre);
    auto const pick = m_leafs.pickLeaf(*part.service, excluded, hedgeDelayOf(*request.matchedRoute), now);
    return pick && sendHedgeTo(request, partIndex, pick->leaf, now);
}

void request_engine::handleLateRelay(call_number number, time_point now)
{
    auto const found = m_relayCalls.find(number);
    if (found == m_relayCalls.end())
        return;
    auto const context = found->second;
    auto& state = m_relayStates[context.remoteDaemon];
    // A single late answer may be a short load spike; several unanswered calls indicate that the daemon is stalled.
    if (state.lastAnswerAt < context.sentAt && state.inFlight > 1)
        state.backoffUntil = now + relayBackoff;
    auto* const request = findRequest(context.requestToken);
    if (!request || request->isCallerDisconnected || request->detour)
        return;
    // The late answer is still accepted when it arrives before the replies of the leafs.
    replaceUnansweredParts(*request, context, true, now);
}

}
