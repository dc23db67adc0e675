// Answers to callers: when a request is decided, and what its caller gets.

#include "Libraries/zinnialedge/forwarding/request_engine.h"
#include "Libraries/zinnialedge/forwarding/retry_after.h"

#include "Libraries/zinnialedge/forwarding/record_merge.h"

#include <algorithm>
#include <utility>

namespace zinnialedge::forwarding {

using kernel::time_point;

/// Time after the answer at which losing calls are cancelled. The platform requires that work for a disconnected caller ends
/// within 0.5 s, and a caller may disconnect as soon as the answer arrives.
static constexpr std::chrono::milliseconds losingCallGrace { 250 };
/// Retry-after when all leafs are full: about the time in which a full leaf drains its queue.
static constexpr std::chrono::milliseconds fullLeafRetryAfter { 120 };

void request_engine::settleIfDecided(active_request& request, time_point now)
{
    // A disconnected caller needs no answer; the abandon timer ends the open calls together.
    if (request.isCallerDisconnected || request.detour)
        return;
    if (request.matchedRoute->isGather())
        callSkippedShards(request, now);
    if (request.isHeldForNothing()) {
        if (!tryHeldPart(request, now) && !passTrialOn(request, now))
            settleQuarantined(request, now);
        return;
    }
    if (!request.matchedRoute->isGather()) {
        if (request.settledPartCount() == 1)
            settleSingle(request, now);
        return;
    }
    if (!request.canReachMinimumCoverage() && request.mayHaveRun())
        settleWithError(request, errors::error_kind::leaf_failed, "too_few_shards", now);
    else if (!request.canReachMinimumCoverage())
        settleUnavailable(request, errors::error_kind::no_live_target, "too_few_shards", now);
    else if (request.settledPartCount() == request.parts.size())
        settleMerged(request, request.missingPartCount == 0 ? "whole" : "rest_missing", now);
    else if (request.acceptsMinimumCoverage && request.hasMinimumCoverage())
        settleMerged(request, "late", now);
}

void request_engine::settleMerged(active_request& request, std::string reason, time_point now)
{
    final_answer answer;
    answer.status = 200;
    answer.isMerged = true;
    answer.reason = std::move(reason);
    answer.attemptId = request.request->attemptId;
    std::vector<std::string const*> bodies;
    for (auto const& part : request.parts) {
        if (!part.isAnswered())
            continue;
        answer.partSeals.push_back(part.reply ? part.reply->seal : part.relayedSeal);
        answer.partShards.push_back(part.shardIndex);
        if (part.reply)
            bodies.push_back(&part.reply->body);
    }
    for (auto const& body : request.relayedBodies)
        bodies.push_back(&body);
    answer.missingParts = request.parts.size() - answer.partSeals.size();
    answer.body = mergeGreatestRecords(bodies, request.matchedRoute->gather.recordLimit);
    m_counters.partialAnswers += answer.missingParts > 0 && !request.isRelayed() ? 1 : 0;
    settle(request, std::move(answer), now);
}

void request_engine::settleSingle(active_request& request, time_point now)
{
    auto& part = request.parts.front();
    auto& reply = part.reply ? part.reply : part.errorReply;
    if (!reply) {
        if (part.mayHaveRun())
            settleWithError(request, errors::error_kind::leaf_failed, "leaf_failed", now);
        else
            settleUnavailable(request, errors::error_kind::overloaded, "leafs_full", now);
        return;
    }
    final_answer answer;
    answer.status = reply->status;
    answer.headers = std::move(reply->headers);
    answer.body = std::move(reply->body);
    answer.seal = std::move(reply->seal);
    answer.reason = part.reply ? "answered" : "leaf_error";
    settle(request, std::move(answer), now);
}

void request_engine::settleAtEnd(active_request& request, time_point now)
{
    if (request.matchedRoute->isGather() && request.hasMinimumCoverage()) {
        settleMerged(request, "end", now);
        return;
    }
    if (!request.matchedRoute->isGather() && request.parts.front().errorReply) {
        settleSingle(request, now);
        return;
    }
    if (m_stop.areAnswersDue(now))
        settleAtStop(request, now);
    else if (request.mayHaveRun())
        settleWithError(request, errors::error_kind::deadline_exceeded, "timed_out", now);
    else
        settleUnavailable(request, errors::error_kind::overloaded, "no_room", now);
}

void request_engine::settleWithError(active_request& request, errors::error_kind kind, std::string reason, time_point now)
{
    bool const hasRun = errors::propertiesOf(kind).executionState != errors::execution_state::no;
    auto answer = makeRejection(kind, std::move(reason), hasRun ? kernel::duration::zero() : kernel::duration { kind == errors::error_kind::no_live_target ? noLeafRetryAfter : fullLeafRetryAfter });
    if (!hasRun)
        ++m_counters.rejections;
    else
        ++m_counters.failures;
    settle(request, std::move(answer), now);
}

std::optional<service_wait> request_engine::findPauseWait(active_request const& request, time_point now) const
{
    if (!m_leafs.hasPausedLeafs(now))
        return std::nullopt;
    std::vector<service_wait> waits;
    std::size_t availableParts = 0;
    for (auto const& part : request.parts) {
        if (part.isAnswered() || m_leafs.hasAcceptingLeaf(*part.service, {}, now))
            ++availableParts;
        else if (auto const end = m_leafs.firstPauseEnd(*part.service, now))
            waits.push_back({ part.service, *end });
    }
    std::size_t neededParts = request.parts.size();
    if (request.matchedRoute->isGather())
        neededParts = request.minimumPartCount();
    if (availableParts >= neededParts || waits.size() < neededParts - availableParts)
        return std::nullopt;
    // The request can be served when as many of its services as it lacks have a leaf without a pause.
    auto const last = waits.begin() + static_cast<std::ptrdiff_t>(neededParts - availableParts - 1);
    std::nth_element(waits.begin(), last, waits.end(), [](auto const& left, auto const& right) { return left.endsAt < right.endsAt; });
    return *last;
}

void request_engine::settleUnavailable(active_request& request, errors::error_kind kind, std::string reason, time_point now)
{
    auto const wait = findPauseWait(request, now);
    if (!wait && isPreventedByEvacuation(request, now)) {
        settleEvacuated(request, now);
        return;
    }
    if (!wait) {
        settleWithError(request, kind, std::move(reason), now);
        return;
    }
    ++m_counters.rejectionsForPauses;
    settleUntil(request, *wait, "leafs_paused", pausedCallInterval(*wait->service), now);
}

kernel::duration request_engine::pausedCallInterval(std::string const& service) const
{
    // All daemons that share the leafs send their requests back, each for its share of the leafs' slots.
    auto const slots = std::max<std::size_t>(m_leafs.slotCount(service), 1);
    return m_leafs.typicalCallDuration() * static_cast<std::int64_t>(m_fleetShare.daemonsSharingConnections) / static_cast<std::int64_t>(slots);
}

void request_engine::settleUntil(active_request& request, service_wait const& wait, std::string reason, kernel::duration interval, time_point now)
{
    auto answer = makeRejection(errors::error_kind::overloaded, std::move(reason), {});
    answer.error->retryAfter = std::chrono::ceil<std::chrono::milliseconds>(stateOf(*wait.service).returnSchedule.nextRetryAfter(wait.endsAt, interval, m_random, now));
    ++m_counters.rejections;
    settle(request, std::move(answer), now);
}

/// Maximum number of missing shards listed by name in a log line; further shards are only counted.
static constexpr std::size_t maximumNamedShards = 5;

void request_engine::reportOutcome(active_request const& request, int status, std::string const& reason, std::optional<std::chrono::milliseconds> retryAfter, time_point now)
{
    // The requesting daemon reports the complete request.
    if (!m_hooks.reportRequest || request.isRelayed())
        return;
    std::string missing;
    std::size_t namedCount = 0;
    for (auto const& part : request.parts) {
        if (part.isAnswered() || namedCount++ >= maximumNamedShards)
            continue;
        missing += (missing.empty() ? "" : ",") + *part.service;
    }
    auto const* const admission = request.matchedRoute->isGather() ? &admissionOf(*request.matchedRoute).queue : nullptr;
    m_hooks.reportRequest({
        .attemptId = request.request->attemptId,
        .route = request.matchedRoute->name,
        .version = request.table->version(),
        .status = status,
        .parts = request.parts.size(),
        .missingPartCount = request.parts.size() - request.answeredPartCount,
        .skippedPartCount = request.skippedPartCount,
        .hedgeCount = request.hedgeCount,
        .retryCount = request.retryCount,
        .deniedExtraCallCount = request.deniedExtraCallCount,
        .elapsed = now - request.arrivedAt,
        .objective = request.matchedRoute->objective,
        .reason = reason,
        .isCallerDisconnected = request.isCallerDisconnected,
        .missingShards = std::move(missing),
        .retryAfter = retryAfter,
        .admittedInFlight = admission ? admission->inFlight() : 0,
        .admissionLimit = admission ? admission->limit() : 0,
        .detour = request.detour ? toString(request.detour->calledDaemons.back()) : std::string {},
        .isForOtherDaemon = request.request->detoured.has_value(),
        .tenant = request.request->tenant,
    });
}

void request_engine::settle(active_request& request, final_answer answer, time_point now)
{
    m_counters.answers += answer.error ? 0 : 1;
    answer.isForDetour = request.request->detoured.has_value();
    if (request.isFromDaemon())
        answer.attemptId = request.request->attemptId;
    answer.version = std::max(answer.version, request.table->version());
    answer.leavingLeafIds = request.leavingLeafIds;
    answer.leafLimits = request.leafLimits;
    if (request.isFromDaemon() && !m_quarantine.isEmpty()) {
        if (auto const* const known = m_quarantine.find(request.evidence->digests().back()))
            answer.losses = quarantine::makeNotice(*known, now).losses;
    }
    if (answer.status >= 200 && answer.status < 300 && !request.isRelayed() && !request.detour)
        stateOf(*request.matchedRoute).servingTimeQuantile.add(std::chrono::duration_cast<std::chrono::microseconds>(now - request.arrivedAt));
    releaseAdmission(request, now);
    refundQuota(request, now);
    reportOutcome(request, answer.status, answer.reason, answer.error ? answer.error->retryAfter : std::nullopt, now);
    // Losing calls get a grace time to complete: cancellation forces a new connection to the leaf, which costs more than the
    // rest of the work unless the leaf is slow.
    if (request.matchedRoute->isRepeatable) {
        for (auto const& part : request.parts) {
            for (auto const& call : part.calls)
                m_timers.push({ now + losingCallGrace, timer_kind::abandon_call, call.number });
            if (part.relayCallNumber != 0)
                m_timers.push({ now + losingCallGrace, timer_kind::abandon_call, part.relayCallNumber });
        }
    }
    auto const token = request.token;
    m_requests.erase(token);
    m_hooks.sendAnswer(token, std::move(answer));
}

}
