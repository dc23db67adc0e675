// Shards of other data centres: another daemon calls its leafs and sends the greatest of their records, which spares most
// of the bytes between data centres. It makes first calls only; copies are made here, so that a shard is asked of no more
// leafs than the route allows, whatever becomes of the other daemon.

#include "Libraries/zinnialedge/forwarding/relay_plan.h"
#include "Libraries/zinnialedge/forwarding/request_engine.h"

#include <algorithm>

namespace zinnialedge::forwarding {

using kernel::time_point;

/// The way to another data centre and back, and the other daemon's work.
static constexpr std::chrono::milliseconds relayMargin { 5 };
/// Share of the copies that the budget denies above which copies can't be counted on.
static constexpr double scarceShare = 0.6;
/// A daemon that failed is not asked for this long; membership finds its death in about this time.
static constexpr std::chrono::milliseconds relayPause { 1000 };

std::optional<relay> request_engine::chooseRelay(std::string const& dataCentre, time_point now)
{
    std::optional<relay> best;
    std::size_t fewest = 0;
    auto const offset = m_share.relays.empty() ? 0 : m_random() % m_share.relays.size();
    for (std::size_t index = 0; index < m_share.relays.size(); ++index) {
        auto const& each = m_share.relays[(index + offset) % m_share.relays.size()];
        if (each.dataCentre != dataCentre)
            continue;
        auto const& state = m_relays[each];
        if (now < state.avoidedUntil || (best && state.inFlight >= fewest))
            continue;
        best = each;
        fewest = state.inFlight;
    }
    return best;
}

void request_engine::sendRelays(active_request& request, time_point now)
{
    if (m_share.relays.empty() || !request.to->isRepeatable)
        return;
    auto const patience = copyDelayOf(*request.to);
    std::vector<std::size_t> far;
    for (std::size_t place = 0; place < request.parts.size(); ++place) {
        auto const& part = request.parts[place];
        if (!part.isMissing && !m_leafs.hasSoundLeafIn(*part.service, m_leafs.ownDataCentre(), patience, now))
            far.push_back(place);
    }
    if (far.size() < leastRelayedShards)
        return;
    std::vector<std::string> dataCentres;
    for (auto const& each : m_share.relays) {
        if (std::find(dataCentres.begin(), dataCentres.end(), each.dataCentre) == dataCentres.end() && chooseRelay(each.dataCentre, now))
            dataCentres.push_back(each.dataCentre);
    }
    auto const plan = planRelays(std::move(far), dataCentres, [&](std::size_t place, std::string const& dataCentre) {
        return m_leafs.hasSoundLeafIn(*request.parts[place].service, dataCentre, patience, now);
    });
    for (auto const& each : plan) {
        if (auto const to = chooseRelay(each.dataCentre, now))
            sendRelay(request, *to, each.places, now);
    }
}

std::chrono::milliseconds request_engine::relayTime(active_request const& request, time_point now)
{
    auto const usual = std::chrono::duration_cast<std::chrono::milliseconds>(copyDelayOf(*request.to)) + std::chrono::milliseconds { 1 };
    // What the other daemon leaves out must be copied. Without a budget for copies it is better to wait for its slow leafs.
    if (m_deniedShare < scarceShare)
        return usual;
    auto const longest = std::chrono::duration_cast<std::chrono::milliseconds>(request.objectiveAt - now) - relayMargin - relayMargin;
    return std::max(usual, longest);
}

void request_engine::sendRelay(active_request& request, relay const& to, std::vector<std::size_t> places, time_point now)
{
    auto const number = ++m_lastCall;
    auto const answerWithin = relayTime(request, now);
    for (auto const place : places) {
        request.parts[place].relayCall = number;
        request.parts[place].relayedTo = to.dataCentre;
        ++request.parts[place].unaccountedCalls;
    }
    ++m_counters.relays;
    ++m_relays[to].inFlight;
    m_relayCalls[number] = { request.token, places, to, now };
    m_timers.push({ now + answerWithin + relayMargin, timer_kind::relay_late, number });
    m_timers.push({ request.endAt, timer_kind::call_given_up, number });
    m_hooks.send({ number, 0, {}, to.place, request.callerDeadline, request.endAt, true, request.request, relayed_request { request.table->version(), std::move(places), answerWithin } });
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
        state.avoidedUntil = now + relayPause;
    auto* const request = find(owner.request);
    if (!request || request->hasCallerLeft)
        return;
    for (auto const place : owner.places) {
        auto& part = request->parts[place];
        if (part.relayCall == number)
            part.relayCall = 0;
    }
    if (isAnswer) {
        acceptRelayed(*request, owner, std::move(*result), now);
        return;
    }
    // A refusal was given before any leaf was called.
    bool const hasReachedLeafs = !result && result.error() != call_failure::not_sent;
    if (m_hooks.note)
        m_hooks.note(request->request->attemptId, toString(owner.to.place), result ? "relay_refused" : "relay_failed", now - owner.sentAt);
    replaceRelay(*request, owner, hasReachedLeafs, now);
}

void request_engine::acceptRelayed(active_request& request, relay_owner const& owner, leaf_reply reply, time_point now)
{
    for (std::size_t index = 0; index < reply.relayedPlaces.size(); ++index) {
        auto const place = reply.relayedPlaces[index];
        bool const isAsked = std::find(owner.places.begin(), owner.places.end(), place) != owner.places.end();
        // The records of all these shards are in one body, so that all or none of them count.
        if (!isAsked || reply.relayedSeals[index].empty())
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
        // What a leaf has said directly meanwhile is in that body, too.
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
    for (auto const place : owner.places) {
        auto& part = request.parts[place];
        if (part.isSettled() || !part.calls.empty() || part.isWaiting || !part.relayedTo)
            continue;
        ++m_counters.relaysReplaced;
        if (!hasReachedLeafs) {
            part.relayedTo.reset();
            --part.unaccountedCalls;
            startPart(request, place, now);
            continue;
        }
        if (replaceRelayedPart(request, place, now))
            continue;
        // A daemon that is late may still answer.
        if (part.relayCall != 0)
            continue;
        part.isMissing = true;
        ++request.missing;
    }
    if (auto* const left = find(token))
        settleIfDecided(*left, now);
}

bool request_engine::replaceRelayedPart(active_request& request, std::size_t place, time_point now)
{
    auto& part = request.parts[place];
    if (part.attemptsMade() >= request.to->attempts)
        return false;
    auto const excluded = m_leafs.leafsIn(*part.service, *part.relayedTo);
    auto const pick = m_leafs.pick(*part.service, excluded, copyDelayOf(*request.to), now);
    return pick && sendCopyTo(request, place, pick->leaf, now);
}

void request_engine::endLateRelay(call_number number, time_point now)
{
    auto const found = m_relayCalls.find(number);
    if (found == m_relayCalls.end())
        return;
    auto const owner = found->second;
    auto& state = m_relays[owner.to];
    // One late answer may be a busy moment; several calls without any mean that the daemon stands still.
    if (state.lastAnswerAt < owner.sentAt && state.inFlight > 1)
        state.avoidedUntil = now + relayPause;
    auto* const request = find(owner.request);
    if (!request || request->hasCallerLeft)
        return;
    // Its answer is still taken if it comes before those of the leafs.
    replaceRelay(*request, owner, true, now);
}

}
