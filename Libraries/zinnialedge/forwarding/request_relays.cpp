// Relays for shards in other data centres: a remote daemon calls its local leafs and returns only the greatest of their
// records, which saves most of the traffic between data centres. The remote daemon sends first calls only. Hedges are sent
// here, so that the number of leafs called for a shard stays within the route's limit even if the remote daemon fails.

#include "Libraries/zinnialedge/forwarding/relay_plan.h"
#include "Libraries/zinnialedge/forwarding/request_engine.h"

#include <algorithm>

namespace zinnialedge::forwarding {

using kernel::time_point;

/// Time reserved for the round trip to another data centre and the remote daemon's processing.
static constexpr std::chrono::milliseconds relayMargin { 5 };
/// Share of denied extra calls from which on hedges are considered unavailable.
static constexpr double scarceBudgetDeniedShare = 0.6;
/// Back-off after a relay call failed: about the time in which the membership detects a dead daemon.
static constexpr std::chrono::milliseconds relayBackoff { 1000 };

std::optional<relay> request_engine::chooseRelay(std::string const& dataCentre, time_point now)
{
    std::optional<relay> best;
    std::size_t fewestInFlight = 0;
    auto const offset = m_share.relays.empty() ? 0 : m_random() % m_share.relays.size();
    for (std::size_t index = 0; index < m_share.relays.size(); ++index) {
        auto const& each = m_share.relays[(index + offset) % m_share.relays.size()];
        if (each.dataCentre != dataCentre)
            continue;
        auto const& state = m_relays[each];
        if (now < state.avoidedUntil || (best && state.inFlight >= fewestInFlight))
            continue;
        best = each;
        fewestInFlight = state.inFlight;
    }
    return best;
}

void request_engine::sendRelays(active_request& request, time_point now)
{
    if (m_share.relays.empty() || !request.to->isRepeatable)
        return;
    auto const timeLimit = copyDelayOf(*request.to);
    std::vector<std::size_t> remoteShards;
    for (std::size_t partIndex = 0; partIndex < request.parts.size(); ++partIndex) {
        auto const& part = request.parts[partIndex];
        if (!part.isMissing && !m_leafs.hasSoundLeafIn(*part.service, m_leafs.ownDataCentre(), timeLimit, now))
            remoteShards.push_back(partIndex);
    }
    if (remoteShards.size() < leastRelayedShards)
        return;
    std::vector<std::string> dataCentres;
    for (auto const& each : m_share.relays) {
        if (std::find(dataCentres.begin(), dataCentres.end(), each.dataCentre) == dataCentres.end() && chooseRelay(each.dataCentre, now))
            dataCentres.push_back(each.dataCentre);
    }
    auto const plan = planRelays(std::move(remoteShards), dataCentres, [&](std::size_t partIndex, std::string const& dataCentre) {
        return m_leafs.hasSoundLeafIn(*request.parts[partIndex].service, dataCentre, timeLimit, now);
    });
    for (auto const& each : plan) {
        if (auto const to = chooseRelay(each.dataCentre, now))
            sendRelay(request, *to, each.places, now);
    }
}

std::chrono::milliseconds request_engine::relayTime(active_request const& request, time_point now)
{
    auto const defaultTime = std::chrono::duration_cast<std::chrono::milliseconds>(copyDelayOf(*request.to)) + std::chrono::milliseconds { 1 };
    // Shards missing from the remote daemon's answer need hedges. Without a hedge budget, waiting for slow leafs is better.
    if (m_deniedShare < scarceBudgetDeniedShare)
        return defaultTime;
    auto const longestTime = std::chrono::duration_cast<std::chrono::milliseconds>(request.objectiveAt - now) - relayMargin - relayMargin;
    return std::max(defaultTime, longestTime);
}

void request_engine::sendRelay(active_request& request, relay const& to, std::vector<std::size_t> partIndices, time_point now)
{
    auto const number = ++m_lastCall;
    auto const answerWithin = relayTime(request, now);
    for (auto const partIndex : partIndices) {
        request.parts[partIndex].relayCall = number;
        request.parts[partIndex].relayedTo = to.dataCentre;
        ++request.parts[partIndex].unaccountedCalls;
    }
    ++m_counters.relays;
    ++m_relays[to].inFlight;
    m_relayCalls[number] = { request.token, partIndices, to, now };
    m_timers.push({ now + answerWithin + relayMargin, timer_kind::relay_late, number });
    m_timers.push({ request.endAt, timer_kind::call_given_up, number });
    m_hooks.send({ number, 0, {}, to.place, request.callerDeadline, request.endAt, true, request.request, relayed_request { request.table->version(), std::move(partIndices), answerWithin } });
}

void request_engine::relayEnded(call_number number, relay_owner const& owner, call_result result, time_point now)
{
    static constexpr int statusOk = 200;
    auto& state = m_relays[owner.to];
    state.inFlight -= std::min<std::size_t>(state.inFlight, 1);
    bool const isAnswer = result && result->status == statusOk && result->relayedPlaces.size() == result->relayedSeals.size();
    if (isAnswer)
        state.lastAnswerAt = now;
    else if (!result && result.error() != call_failure::cancelled)
        state.avoidedUntil = now + relayBackoff;
    auto* const request = find(owner.request);
    if (!request || request->hasCallerLeft)
        return;
    for (auto const partIndex : owner.places) {
        auto& part = request->parts[partIndex];
        if (part.relayCall == number)
            part.relayCall = 0;
    }
    if (isAnswer) {
        acceptRelayed(*request, owner, std::move(*result), now);
        return;
    }
    // A rejection is sent before any leaf is called.
    bool const hasReachedLeafs = !result && result.error() != call_failure::not_sent;
    if (m_hooks.note)
        m_hooks.note(request->request->attemptId, toString(owner.to.place), result ? "relay_refused" : "relay_failed", now - owner.sentAt);
    replaceRelay(*request, owner, hasReachedLeafs, now);
}

void request_engine::acceptRelayed(active_request& request, relay_owner const& owner, leaf_reply reply, time_point now)
{
    for (std::size_t index = 0; index < reply.relayedPlaces.size(); ++index) {
        auto const partIndex = reply.relayedPlaces[index];
        bool const wasRequested = std::find(owner.places.begin(), owner.places.end(), partIndex) != owner.places.end();
        // One body contains the records of all relayed shards, so the answer is accepted or rejected as a unit.
        if (!wasRequested || reply.relayedSeals[index].empty())
            return replaceRelay(request, owner, true, now);
    }
    for (std::size_t index = 0; index < reply.relayedPlaces.size(); ++index) {
        auto& part = request.parts[reply.relayedPlaces[index]];
        if (!part.isAnswered())
            ++request.answered;
        if (part.isMissing) {
            part.isMissing = false;
            --request.missing;
        }
        // A direct reply is dropped, since the relayed body already contains the records of the shard.
        part.reply.reset();
        part.relayedSeal = std::move(reply.relayedSeals[index]);
    }
    if (!reply.relayedPlaces.empty())
        request.relayedBodies.push_back(std::move(reply.body));
    replaceRelay(request, owner, true, now);
}

void request_engine::replaceRelay(active_request& request, relay_owner const& owner, bool hasReachedLeafs, time_point now)
{
    auto const token = request.token;
    for (auto const partIndex : owner.places) {
        auto& part = request.parts[partIndex];
        if (part.isSettled() || !part.calls.empty() || part.isWaiting || !part.relayedTo)
            continue;
        ++m_counters.relaysReplaced;
        if (!hasReachedLeafs) {
            part.relayedTo.reset();
            --part.unaccountedCalls;
            startPart(request, partIndex, now);
            continue;
        }
        if (replaceRelayedPart(request, partIndex, now))
            continue;
        // The pending relay call may still return this shard.
        if (part.relayCall != 0)
            continue;
        part.isMissing = true;
        ++request.missing;
    }
    if (auto* const pendingRequest = find(token))
        settleIfDecided(*pendingRequest, now);
}

bool request_engine::replaceRelayedPart(active_request& request, std::size_t partIndex, time_point now)
{
    auto& part = request.parts[partIndex];
    if (part.attemptsMade() >= request.to->attempts)
        return false;
    auto const excluded = m_leafs.leafsIn(*part.service, *part.relayedTo);
    auto const pick = m_leafs.pick(*part.service, excluded, copyDelayOf(*request.to), now);
    return pick && sendCopyTo(request, partIndex, pick->leaf, now);
}

void request_engine::endLateRelay(call_number number, time_point now)
{
    auto const found = m_relayCalls.find(number);
    if (found == m_relayCalls.end())
        return;
    auto const owner = found->second;
    auto& state = m_relays[owner.to];
    // A single late answer may be a short load spike; several unanswered calls indicate that the daemon is stalled.
    if (state.lastAnswerAt < owner.sentAt && state.inFlight > 1)
        state.avoidedUntil = now + relayBackoff;
    auto* const request = find(owner.request);
    if (!request || request->hasCallerLeft)
        return;
    // The late answer is still accepted when it arrives before the replies of the leafs.
    replaceRelay(*request, owner, true, now);
}

}
