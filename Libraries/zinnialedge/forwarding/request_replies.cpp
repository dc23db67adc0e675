// Ends of calls: what a reply or a failure means for the leaf and for the request, and whether another leaf is called.

#include "Libraries/zinnialedge/forwarding/record_merge.h"
#include "Libraries/zinnialedge/forwarding/request_engine.h"

#include <algorithm>
#include <array>

namespace zinnialedge::forwarding {

using kernel::time_point;

/// Minimum remaining time for a retry; a retry with less time left could not be answered in time.
static constexpr std::chrono::milliseconds minimumRetryTime { 5 };
/// Larger replies are reduced to the records that the answer may hold, since they take memory until the last shard has replied.
static constexpr std::size_t untrimmedPartBytes = 65'536;

/// Returns true for statuses that callers accept as a guarantee that the request has not run and will not run.
static bool guaranteesNotRun(int status)
{
    static constexpr std::array statuses { 408, 421, 429, 503 };
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

void request_engine::reportBrokenCall(call_context const& context, time_point now)
{
    auto const& record = m_leafs.at(context.leaf);
    ++m_counters.brokenCalls;
    m_counters.brokenCallsAmongOthers += record.inFlight() > 0 ? 1 : 0;
    if (m_hooks.logBrokenCall)
        m_hooks.logBrokenCall({ context.request->attemptId, context.evidence->digests().front(), record.registration().id, record.inFlight(), now - context.sentAt });
}

void request_engine::recordLeafResult(call_context const& context, call_result const& result, time_point now)
{
    auto& record = m_leafs.at(context.leaf);
    if (result && result->load)
        record.recordLoad(*result->load, now);
    adaptPace(context, result, now);
    if (!result) {
        record.recordFailure(result.error(), context.sentAt, now);
        if (result.error() == call_failure::broken) {
            reportBrokenCall(context, now);
            recordLoss(context, now);
        } else if (result.error() == call_failure::timed_out || result.error() == call_failure::cancelled) {
            recordUnanswered(context, now);
        } else if (result.error() == call_failure::not_sent || result.error() == call_failure::withheld) {
            m_quarantine.recordUnsentTrial(*context.evidence);
        }
        return;
    }
    if (!result->isMisdirected)
        recordLife(context.leaf, context.sentAt, now);
    if (result->isMisdirected)
        record.markMisdirected();
    static std::string const noRequest;
    auto const* const request = findRequest(context.requestToken);
    applyLeafNotices(context.leaf, *result, request ? request->request->attemptId : noRequest, now);
    applyLeafLimit(context.leaf, *result, context.sentAt, now);
    applyLeafWarmup(context.leaf, *result, context.sentAt, now);
    if (result->wasNotRun || result->isMisdirected) {
        record.recordShed(context.sentAt, now);
    } else if (result->isSuccess()) {
        record.recordSuccess(context.sentAt, now);
        m_leafs.recordCallDuration(now - context.sentAt);
        recordRun(*context.evidence, now);
    } else {
        record.recordError(context.sentAt, now);
    }
}

void request_engine::applyLeafNotices(leaf_handle leaf, leaf_reply const& reply, std::string const& attemptId, time_point now)
{
    // A misdirected reply comes from another leaf, whose notices do not concern the called leaf.
    if (reply.isMisdirected)
        return;
    auto& record = m_leafs.at(leaf);
    auto const log = [&](std::string_view event, kernel::duration length) {
        if (m_hooks.logLeafEvent)
            m_hooks.logLeafEvent(attemptId, record.registration().id, event, length);
    };
    if (reply.isLeaving && record.markLeaving()) {
        ++m_counters.leafsLeaving;
        log("leaf_leaving", {});
    }
    if (!reply.pauseSeconds)
        return;
    auto const length = validPauseLength(*reply.pauseSeconds, m_settings.maximumLeafPause);
    if (!length) {
        ++m_counters.leafPausesIgnored;
        log("leaf_pause_ignored", {});
        return;
    }
    ++m_counters.leafPauses;
    m_leafs.pauseLeaf(leaf, *length, now);
    log("leaf_paused", *length);
}

void request_engine::applyLeafLimit(leaf_handle leaf, leaf_reply const& reply, time_point sentAt, time_point now)
{
    if (reply.isMisdirected)
        return;
    auto& record = m_leafs.at(leaf);
    auto const log = [&, limit = record.rateLimit()](std::string_view event) {
        if (m_hooks.logLeafLimit)
            m_hooks.logLeafLimit(record.registration().id, event, limit);
    };
    if (!reply.requestLimit) {
        // Only a reply with a seal is known to come from the leaf itself.
        if (reply.isSuccess() && record.clearRateLimit(sentAt)) {
            ++m_counters.leafLimitsEnded;
            log("leaf_limit_ended");
        }
        return;
    }
    if (!leaf_rate_limit::isValid(*reply.requestLimit)) {
        ++m_counters.leafLimitsIgnored;
        log("leaf_limit_ignored");
        return;
    }
    setLeafLimit(leaf, *reply.requestLimit, now);
}

void request_engine::setLeafLimit(leaf_handle leaf, double requestsPerSecond, time_point now)
{
    if (!m_leafs.limitLeaf(leaf, requestsPerSecond, now))
        return;
    ++m_counters.leafLimits;
    auto const& record = m_leafs.at(leaf);
    if (m_hooks.logLeafLimit)
        m_hooks.logLeafLimit(record.registration().id, "leaf_limit_named", record.rateLimit());
}

void request_engine::handleUnmatchedReply(leaf_handle leaf, leaf_reply const& reply, time_point now)
{
    static std::string const noRequest;
    if (!m_leafs.contains(leaf))
        return;
    applyLeafNotices(leaf, reply, noRequest, now);
    // The reply may be old, so it can't shorten the warm-up, and a missing limit in it ends none.
    applyLeafWarmup(leaf, reply, {}, now);
    if (reply.requestLimit)
        applyLeafLimit(leaf, reply, now, now);
    dispatchQueuedParts(m_leafs.at(leaf).registration().service, now);
}

void request_engine::logLeafEvent(active_request const& request, call_context const& context, std::string_view event, time_point now)
{
    if (m_hooks.logLeafEvent)
        m_hooks.logLeafEvent(request.request->attemptId, m_leafs.at(context.leaf).registration().id, event, now - context.sentAt);
}

void request_engine::handleCallEnd(call_number number, call_result result, time_point now)
{
    if (auto const relayed = m_relayCalls.find(number); relayed != m_relayCalls.end()) {
        auto const context = std::move(relayed->second);
        m_relayCalls.erase(relayed);
        handleRelayEnd(number, context, std::move(result), now);
        return;
    }
    if (auto const detoured = m_detourCalls.extract(number)) {
        handleDetourEnd(detoured.mapped(), std::move(result), now);
        return;
    }
    if (auto const probe = m_probes.extract(number)) {
        handleProbeEnd(probe.mapped(), result, now);
        return;
    }
    if (auto const probe = m_lossProbes.extract(number)) {
        handleLossProbeEnd(probe.mapped(), result, now);
        return;
    }
    auto const found = m_calls.find(number);
    if (found == m_calls.end())
        return;
    auto const context = found->second;
    m_calls.erase(found);
    recordLinkSign(context.leaf, result, now);
    recordLeafResult(context, result, now);
    auto const service = m_leafs.at(context.leaf).registration().service;
    auto* const request = findRequest(context.requestToken);
    if (!request) {
        ++m_counters.lateReplies;
    } else {
        if (result)
            request->lastReplyAt = now;
        if (result && request->doHedgesAwaitReply)
            m_timers.push({ now, timer_kind::hedge, request->token });
        if (result && result->isSuccess())
            stateOf(*request->matchedRoute).callDurationQuantile.add(std::chrono::duration_cast<std::chrono::microseconds>(now - context.sentAt));
        std::erase_if(request->parts[context.partIndex].calls, [&](auto const& call) { return call.number == number; });
        if (request->detour) {
            bool const wasNotSent = !result && (result.error() == call_failure::not_sent || result.error() == call_failure::withheld);
            if (wasNotSent || (result && result->wasNotRun))
                --request->parts[context.partIndex].callsThatMayHaveRun;
            dispatchQueuedParts(service, now);
            return;
        }
        if (request->parts[context.partIndex].isSettled())
            ++m_counters.lateReplies;
        else if (result)
            handleReply(*request, context, std::move(*result), now);
        else
            handleFailure(*request, context, result.error(), now);
        if (context.evidence->hasSucceeded())
            releaseHeldParts(context.requestToken, now);
    }
    dispatchQueuedParts(service, now);
}

void request_engine::handleReply(active_request& request, call_context const& context, leaf_reply reply, time_point now)
{
    auto& part = request.parts[context.partIndex];
    // The requesting daemon calls these leafs too, and learns which of them are leaving.
    if (reply.isLeaving && request.isFromDaemon())
        request.leavingLeafIds.push_back(m_leafs.at(context.leaf).registration().id);
    if (auto const& limit = m_leafs.at(context.leaf).rateLimit(); limit.isInForce() && request.isFromDaemon())
        request.leafLimits.push_back({ m_leafs.at(context.leaf).registration().id, limit.requestsPerSecond() });
    if (reply.isSuccess()) {
        if (request.matchedRoute->isGather() && reply.body.size() > untrimmedPartBytes)
            reply.body = mergeGreatestRecords(std::array<std::string const*, 1> { &reply.body }, request.matchedRoute->gather.recordLimit);
        part.reply = std::move(reply);
        ++request.answeredPartCount;
        settleIfDecided(request, now);
        return;
    }
    if (reply.wasNotRun || reply.isMisdirected) {
        logLeafEvent(request, context, reply.isMisdirected ? "leaf_misdirected" : "leaf_shed", now);
        --part.callsThatMayHaveRun;
        retryOrMarkMissing(request, context.partIndex, true, now);
        return;
    }
    logLeafEvent(request, context, "leaf_error", now);
    // A success without a seal is not accepted as a reply, and some error statuses would guarantee that the call has not run.
    if (reply.status < 300 || guaranteesNotRun(reply.status)) {
        retryOrMarkMissing(request, context.partIndex, true, now);
        return;
    }
    bool const isFinal = !request.matchedRoute->isGather() && (!request.matchedRoute->isRepeatable || reply.status < 500);
    part.errorReply = std::move(reply);
    if (isFinal)
        markMissing(request, context.partIndex, now);
    else
        retryOrMarkMissing(request, context.partIndex, true, now);
}

static std::string_view failureEvent(call_failure failure)
{
    switch (failure) {
    case call_failure::not_sent:
        return "call_not_sent";
    case call_failure::withheld:
        return "call_withheld";
    case call_failure::broken:
        return "call_broken";
    case call_failure::malformed:
        return "reply_malformed";
    case call_failure::timed_out:
    case call_failure::cancelled:
        break;
    }
    return "call_timed_out";
}

void request_engine::handleFailure(active_request& request, call_context const& context, call_failure failure, time_point now)
{
    auto& part = request.parts[context.partIndex];
    bool const wasSent = failure != call_failure::not_sent && failure != call_failure::withheld;
    if (failure == call_failure::withheld)
        ++m_counters.callsWithheld;
    // A broken call has been logged by itself, because its request may have ended before.
    if (failure != call_failure::broken)
        logLeafEvent(request, context, failureEvent(failure), now);
    if (!wasSent)
        --part.callsThatMayHaveRun;
    retryOrMarkMissing(request, context.partIndex, wasSent, now);
}

bool request_engine::canRetry(active_request const& request, std::size_t partIndex, time_point now) const
{
    auto const& part = request.parts[partIndex];
    if (request.isCallerDisconnected || request.isRelayed() || part.attemptCount() >= request.maximumAttempts() || now + minimumRetryTime >= request.endAt)
        return false;
    return request.matchedRoute->isRepeatable || !part.mayHaveRun();
}

void request_engine::retryOrMarkMissing(active_request& request, std::size_t partIndex, bool hasReachedLeaf, time_point now)
{
    auto& part = request.parts[partIndex];
    if (!part.calls.empty() || part.isQueued)
        return;
    if (areLinksLost() && switchToDetour(request, now))
        return;
    auto const callsAhead = stateOf(*part.service).queuedParts.size();
    auto const nextCallAt = m_leafs.nextCallTime(*part.service, part.calledLeafs, callsAhead, now);
    bool const isPossible = canRetry(request, partIndex, now) && nextCallAt && *nextCallAt + minimumRetryTime < request.endAt;
    if (isPossible && !mayCallLeaf(request, partIndex, now)) {
        holdPart(request, partIndex);
        settleIfDecided(request, now);
        return;
    }
    // A call that reached no leaf caused no load, so its replacement is not charged to the extra-call budget.
    bool const isAllowed = isPossible && (!hasReachedLeaf || consumeExtraCall(request, partIndex, now));
    if (!isAllowed) {
        markMissing(request, partIndex, now);
        return;
    }
    ++m_counters.retries;
    ++request.retryCount;
    callPart(request, partIndex, now);
    if (part.isMissing)
        settleIfDecided(request, now);
}

void request_engine::markMissing(active_request& request, std::size_t partIndex, time_point now)
{
    request.parts[partIndex].isMissing = true;
    ++request.missingPartCount;
    settleIfDecided(request, now);
}

}
