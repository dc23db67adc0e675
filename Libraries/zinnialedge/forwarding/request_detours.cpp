// Detours: while this daemon reaches no leafs, it passes complete requests on to daemons that do. The other daemon handles a request
// like one of its own callers, with its own admission, limits, hedges and budget, and passes it on to no further daemon.

#include "Libraries/zinnialedge/forwarding/request_engine.h"
#include "Libraries/zinnialedge/forwarding/retry_after.h"

#include <algorithm>

namespace zinnialedge::forwarding {

using errors::error_kind;
using kernel::time_point;

/// Minimum remaining time for another detour; with less time left, its answer would be late.
static constexpr std::chrono::milliseconds minimumDetourTime { 10 };
/// Minimum time after which an answer of another daemon is late, for requests whose objective is near.
static constexpr std::chrono::milliseconds minimumLateTime { 250 };
/// A daemon of another data centre gets a request when those of this one have this many times as many in flight.
static constexpr std::size_t remoteDetourFactor = 2;
/// A daemon in back-off gets a request only when there is no other.
static constexpr std::size_t backoffFactor = 1'000'000;

bool request_engine::handleWithoutLinks(active_request& request, time_point now)
{
    if (!request.isFromDaemon() && sendDetour(request, false, now))
        return true;
    // A daemon that passes requests on asks another one. Requests of callers are tried while it is not sure that they can't be served,
    // but a call that is to tell whether a request ends leafs needs links that work.
    bool const isTrial = judge(*request.evidence, now) == quarantine::verdict::trial;
    if (!request.isFromDaemon() && !m_links.isSurelyLost(now) && !isTrial)
        return false;
    countRequest(request, now);
    settleWithoutLinks(request, now);
    return true;
}

void request_engine::markWithoutLeafs(relay const& daemon, time_point now)
{
    auto& until = m_relayStates[daemon].withoutLeafsUntil;
    bool const isNew = now >= until;
    until = now + withoutLeafsTime;
    if (!isNew)
        return;
    ++m_counters.daemonsMarked;
    if (m_hooks.reportDaemonWithoutLeafs)
        m_hooks.reportDaemonWithoutLeafs(daemon.endpoint);
}

void request_engine::clearMarksOfReturned(std::vector<relay> const& detours)
{
    for (auto const& each : detours) {
        if (std::find(m_fleetShare.detours.begin(), m_fleetShare.detours.end(), each) != m_fleetShare.detours.end())
            continue;
        if (auto const found = m_relayStates.find(each); found != m_relayStates.end())
            found->second.withoutLeafsUntil = {};
    }
}

std::optional<relay> request_engine::chooseDetour(active_request const& request, time_point now)
{
    return chooseDetour(request, m_fleetShare.detours.empty() ? 0 : m_random() % m_fleetShare.detours.size(), now);
}

std::optional<relay> request_engine::chooseDetour(active_request const& request, std::size_t offset, time_point now) const
{
    std::optional<relay> best;
    std::size_t lowestScore = 0;
    auto const& candidates = m_fleetShare.detours;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        auto const& each = candidates[(index + offset) % candidates.size()];
        auto const state = stateOf(each);
        bool const wasCalled = request.detour && std::find(request.detour->calledDaemons.begin(), request.detour->calledDaemons.end(), each.endpoint) != request.detour->calledDaemons.end();
        auto const score = (state.inFlight + 1) * (each.dataCentre == m_leafs.localDataCentre() ? 1 : remoteDetourFactor) * (now < state.backoffUntil ? backoffFactor : 1);
        if (wasCalled || now < state.withoutLeafsUntil || (best && score >= lowestScore))
            continue;
        best = each;
        lowestScore = score;
    }
    return best;
}

bool request_engine::sendDetour(active_request& request, bool isCounted, time_point now)
{
    auto const to = chooseDetour(request, now);
    if (!to || request.isCallerDisconnected || now + minimumDetourTime >= request.endAt)
        return false;
    sendDetourTo(*to, request, isCounted, now);
    return true;
}

void request_engine::sendDetourTo(relay const& to, active_request& request, bool isCounted, time_point now)
{
    bool const mayHaveRun = request.mayHaveRun();
    if (!request.detour)
        request.detour = request_detour { .attemptsUsed = request.hasUsedAttempts() ? 1U : 0U, .isCounted = isCounted };
    auto& detour = *request.detour;
    detour.callNumber = ++m_lastCallNumber;
    detour.calledDaemons.push_back(to.endpoint);
    detour.mayHaveRunBefore = mayHaveRun;
    detour.mayHaveRun = true;
    ++m_counters.detours;
    ++m_relayStates[to].inFlight;
    m_detourCalls[detour.callNumber] = { request.token, to, now };
    m_timers.push({ std::max(request.objectiveAt, now + minimumLateTime), timer_kind::detour_timeout, detour.callNumber });
    m_timers.push({ request.endAt, timer_kind::abandon_call, detour.callNumber });
    detoured_request passedOn {
        .minimumVersion = std::max(request.table->version(), m_detourVersion),
        .objectiveLeft = std::chrono::duration_cast<std::chrono::milliseconds>(std::max(request.objectiveAt - now, kernel::duration::zero())),
        .attemptsUsed = detour.attemptsUsed,
        .isCounted = detour.isCounted,
    };
    // The other daemon may not have heard yet of the latest losses.
    if (auto const* const known = m_quarantine.isEmpty() ? nullptr : m_quarantine.find(request.evidence->digests().back()))
        passedOn.known = quarantine::makeNotice(*known, now);
    m_hooks.sendCall({ detour.callNumber, 0, {}, to.endpoint, request.endAt, request.endAt, request.matchedRoute->isRepeatable, request.request, std::nullopt, std::move(passedOn), false });
}

bool request_engine::mayHaveReachedLeaf(request_part const& part) const
{
    auto const unsentCalls = std::count_if(part.calls.begin(), part.calls.end(), [&](auto const& call) {
        auto const found = m_calls.find(call.number);
        return found != m_calls.end() && !found->second.isConnected;
    });
    return part.callsThatMayHaveRun > static_cast<std::size_t>(unsentCalls);
}

bool request_engine::consumeExtraCalls(active_request& request, time_point now)
{
    bool isAllowed = true;
    for (std::size_t partIndex = 0; partIndex < request.parts.size() && isAllowed; ++partIndex) {
        if (mayHaveReachedLeaf(request.parts[partIndex]))
            isAllowed = consumeExtraCall(request, partIndex, now);
    }
    return isAllowed;
}

void request_engine::withdrawCalls(active_request& request, time_point now)
{
    if (request.admission == admission_state::admitted) {
        auto& admission = admissionOf(*request.matchedRoute);
        admission.queue.releaseAbandoned(now, request.shareHolder());
        m_timers.push({ now, timer_kind::admit, admission.number });
        request.admission = admission_state::none;
    }
    releaseAdmission(request, now);
    for (auto& part : request.parts) {
        for (auto const& call : part.calls)
            m_hooks.cancelCall(call.number, call_failure::cancelled);
        if (part.relayCallNumber != 0)
            m_hooks.cancelCall(part.relayCallNumber, call_failure::cancelled);
        part.isQueued = false;
        part.isHeld = false;
    }
    request.heldPartCount = 0;
}

bool request_engine::switchToDetour(active_request& request, time_point now)
{
    if (request.detour || request.isFromDaemon() || request.isCallerDisconnected)
        return false;
    bool const mayRunAgain = request.matchedRoute->isRepeatable && (!request.hasUsedAttempts() || request.matchedRoute->maximumAttempts > 1);
    if (request.mayHaveRun() && !mayRunAgain)
        return false;
    if (!chooseDetour(request, now) || !consumeExtraCalls(request, now) || !sendDetour(request, true, now))
        return false;
    withdrawCalls(request, now);
    return true;
}

void request_engine::switchAllToDetours(time_point now)
{
    std::vector<request_token> tokens;
    tokens.reserve(m_requests.size());
    for (auto const& [token, request] : m_requests)
        tokens.push_back(token);
    for (auto const token : tokens) {
        auto* const request = findRequest(token);
        if (!request || request->isCallerDisconnected || request->detour)
            continue;
        if (request->isFromDaemon()) {
            settleWithoutLinks(*request, now);
            continue;
        }
        if (request->matchedRoute->isGather() && request->hasMinimumCoverage())
            continue;
        if (switchToDetour(*request, now) || request->matchedRoute->isRepeatable)
            continue;
        // A call whose connection has not opened ends as not sent, and the request can go another way then.
        for (auto const& part : request->parts) {
            for (auto const& call : part.calls) {
                if (!m_calls.at(call.number).isConnected)
                    m_hooks.cancelCall(call.number, call_failure::cancelled);
            }
        }
    }
}

void request_engine::settleWithoutLinks(active_request& request, time_point now)
{
    if (request.isRelayed() && request.hasSentCalls()) {
        settleMerged(request, std::string { linksLostReason }, now);
        return;
    }
    if (request.mayHaveRun()) {
        settleWithError(request, error_kind::leaf_failed, std::string { linksLostReason }, now);
        return;
    }
    ++m_counters.rejections;
    ++m_counters.rejectionsForLostLinks;
    settle(request, makeRejection(error_kind::no_live_target, std::string { linksLostReason }, linksLostRetryAfter), now);
}

void request_engine::handleLateDetour(call_number number, time_point now)
{
    auto const found = m_detourCalls.find(number);
    if (found == m_detourCalls.end())
        return;
    // A single late answer may have a slow leaf as its cause; several unanswered requests show that the daemon is stalled.
    auto& state = m_relayStates[found->second.remoteDaemon];
    if (state.lastAnswerAt < found->second.sentAt && state.inFlight > 1)
        state.backoffUntil = now + relayBackoff;
}

void request_engine::handleDetourEnd(detour_call_context const& context, call_result result, time_point now)
{
    auto& state = m_relayStates[context.remoteDaemon];
    state.inFlight -= std::min<std::size_t>(state.inFlight, 1);
    // An answer without the marks of a detour does not come from the other daemon's engine.
    bool const isAnswer = result && result->detour;
    bool const wasCancelled = !result && result.error() == call_failure::cancelled;
    if (isAnswer) {
        state.lastAnswerAt = now;
        applyForwardedNotices(*result, now);
    }
    auto* const request = findRequest(context.requestToken);
    if (isAnswer && request && !result->losses.empty())
        mergeSuspects({ quarantine::readNotice({ .request = request->evidence->digests().back(), .losses = result->losses }, now) }, now);
    if (isAnswer && result->detour->reason == linksLostReason)
        markWithoutLeafs(context.remoteDaemon, now);
    bool const canServe = isAnswer && result->detour->reason != linksLostReason && result->detour->error != error_kind::not_configured && result->detour->error != error_kind::leaving;
    if (!canServe && !wasCancelled) {
        state.backoffUntil = now + relayBackoff;
        ++m_counters.detoursFailed;
    }
    if (!request || request->isCallerDisconnected || !request->detour)
        return;
    request->detour->callNumber = 0;
    if (canServe) {
        settleDetour(*request, std::move(*result), now);
        return;
    }
    if (m_hooks.logLeafEvent)
        m_hooks.logLeafEvent(request->request->attemptId, toString(context.remoteDaemon.endpoint), result ? "detour_refused" : "detour_failed", now - context.sentAt);
    bool const wasRefused = isAnswer && result->detour->error && errors::propertiesOf(*result->detour->error).executionState == errors::execution_state::no;
    bool const wasNotSent = !result && (result.error() == call_failure::not_sent || result.error() == call_failure::withheld);
    auto& detour = *request->detour;
    if (wasRefused || wasNotSent)
        detour.mayHaveRun = detour.mayHaveRunBefore;
    if (detour.isTrial) {
        settleQuarantined(*request, now);
        return;
    }
    // Otherwise the other daemon may have called as many leafs as the route allows, so that no further daemon may call any.
    if ((wasRefused || wasNotSent) && sendDetour(*request, detour.isCounted, now))
        return;
    settleWithoutLinks(*request, now);
}

void request_engine::settleDetour(active_request& request, leaf_reply reply, time_point now)
{
    auto const& outcome = *reply.detour;
    m_detourVersion = std::max(m_detourVersion, outcome.version);
    final_answer answer;
    answer.status = reply.status;
    answer.reason = outcome.reason;
    answer.version = outcome.version;
    answer.missingParts = outcome.missingParts;
    if (outcome.error) {
        answer.error = errors::error { *outcome.error, std::string { errors::propertiesOf(*outcome.error).description }, outcome.retryAfter };
        bool const hasRun = errors::propertiesOf(*outcome.error).executionState != errors::execution_state::no;
        // An earlier daemon may have let a leaf run the request, so that a later rejection says too much.
        if (!hasRun && request.detour->mayHaveRunBefore) {
            settleWithError(request, error_kind::leaf_failed, outcome.reason, now);
            return;
        }
        ++(hasRun ? m_counters.failures : m_counters.rejections);
    } else {
        answer.headers = std::move(reply.headers);
        answer.body = std::move(reply.body);
        answer.seal = std::move(reply.seal);
        answer.isMerged = !reply.relayedSeals.empty();
        answer.partSeals = std::move(reply.relayedSeals);
        answer.attemptId = request.request->attemptId;
    }
    settle(request, std::move(answer), now);
}

}
