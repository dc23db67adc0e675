// Quarantine of requests under which leafs were lost: such a request is not sent to further leafs, by whichever daemon.

#include "Libraries/zinnialedge/forwarding/request_engine.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace zinnialedge::forwarding {

using kernel::time_point;
using quarantine::verdict;

verdict request_engine::judge(quarantine::request_evidence& evidence, time_point now) const
{
    auto const judged = m_quarantine.judge(evidence, now);
    // Daemons that try a request at the same moment do not know of each other's trials, and each trial may end a leaf.
    bool const isOfOtherDaemon = judged == verdict::trial && !evidence.trialBeganAt() && trialDaemonOf(evidence);
    return isOfOtherDaemon ? verdict::quarantined : judged;
}

std::optional<relay> request_engine::trialDaemonOf(quarantine::request_evidence& evidence) const
{
    // Rendezvous hashing: all daemons that know the same serving group choose the same daemon. The digest without the query lets all
    // variants of a request share their trials.
    auto const& digest = evidence.digests().back();
    auto const weightOf = [&](relay const& each) {
        auto const place = toString(each.endpoint);
        return XXH3_64bits_withSeed(place.data(), place.size(), XXH3_64bits(digest.bytes.data(), digest.bytes.size()));
    };
    auto const& others = m_fleetShare.detours;
    auto const best = std::max_element(others.begin(), others.end(), [&](auto const& left, auto const& right) { return weightOf(left) < weightOf(right); });
    if (best == others.end() || (m_fleetShare.self && weightOf(*m_fleetShare.self) > weightOf(*best)))
        return std::nullopt;
    return *best;
}

bool request_engine::passTrialOn(active_request& request, time_point now)
{
    if (request.isFromDaemon() || request.detour || request.isCallerDisconnected || m_quarantine.judge(*request.evidence, now) != verdict::trial)
        return false;
    auto const daemon = trialDaemonOf(*request.evidence);
    bool const mayRunAgain = request.matchedRoute->isRepeatable && (!request.hasUsedAttempts() || request.matchedRoute->maximumAttempts > 1);
    if (!daemon || (request.mayHaveRun() && !mayRunAgain) || !consumeExtraCalls(request, now))
        return false;
    bool const isCounted = request.hasSentCalls();
    ++m_counters.quarantineTrialsPassedOn;
    if (m_hooks.logLeafEvent)
        m_hooks.logLeafEvent(request.request->attemptId, toString(daemon->endpoint), "trial_passed_on", now - request.arrivedAt);
    sendDetourTo(*daemon, request, isCounted, now);
    request.detour->isTrial = true;
    withdrawCalls(request, now);
    return true;
}

void request_engine::mergeDetouredKnowledge(active_request const& request, time_point now)
{
    if (!request.request->detoured || !request.request->detoured->known)
        return;
    auto notice = *request.request->detoured->known;
    notice.request = request.evidence->digests().back();
    mergeSuspects({ quarantine::readNotice(notice, now) }, now);
}

bool request_engine::mayCallLeaf(active_request& request, std::size_t partIndex, time_point now) const
{
    auto const judged = judge(*request.evidence, now);
    // Only the requesting daemon tries a request again.
    if (request.isRelayed() && judged == verdict::trial)
        return false;
    return quarantine::mayCallLeaf(judged, request.parts[partIndex].attemptCount() == 0, [&] { return request.hasOpenCalls(partIndex); });
}

void request_engine::recordLoss(call_context const& context, time_point now)
{
    // A call that breaks while no leaf can be reached does not show that its leaf has ended.
    if (areLinksLost()) {
        m_quarantine.recordUnansweredCall(*context.evidence, now);
        return;
    }
    auto& record = m_leafs.at(context.leaf);
    auto const& registration = record.registration();
    if (!record.recordLoss(context.sentAt, now) || context.evidence->hasSucceeded())
        return;
    auto const& digests = context.evidence->digests();
    auto const leaf = quarantine::hashLeaf(registration.id, registration.startedAt);
    if (m_quarantine.recordLoss(digests, { leaf, context.sentAt, now }, now)) {
        ++m_counters.requestsQuarantined;
        logQuarantine("request_quarantined", digests, registration.id, now);
    }
    shareSuspects(now);
}

void request_engine::recordLife(leaf_handle leaf, time_point sentAt, time_point now)
{
    auto& record = m_leafs.at(leaf);
    auto const lostAt = record.recordLife();
    if (m_quarantine.isEmpty())
        return;
    auto const hash = quarantine::hashLeaf(record.registration().id, record.registration().startedAt);
    // A later reply may come from a new incarnation that has not been registered yet.
    if (lostAt && now - *lostAt <= quarantine::refutationTime)
        m_quarantine.refuteLosses(hash, now);
    // Daemons whose links to the leaf were lost have not lost the leaf. Only a call that was sent after the loss tells.
    m_quarantine.refuteLossesBefore(hash, sentAt, now);
    shareSuspects(now);
}

void request_engine::recordRun(quarantine::request_evidence& evidence, time_point now)
{
    if (evidence.hasSucceeded())
        return;
    evidence.recordSuccess();
    if (m_quarantine.recordSuccess(evidence.digests(), now)) {
        logQuarantine("request_cleared", evidence.digests(), {}, now);
        shareSuspects(now);
    }
}

void request_engine::recordQuarantineCall(quarantine::request_evidence& evidence, std::string const& leafId, time_point now)
{
    if (judge(evidence, now) != verdict::trial)
        return;
    ++m_counters.quarantineTrials;
    m_quarantine.recordCall(evidence, now);
    logQuarantine("request_tried_again", evidence.digests(), leafId, now);
    shareSuspects(now);
}

void request_engine::logQuarantine(std::string_view event, quarantine::request_digests const& digests, std::string const& leafId, time_point now)
{
    for (auto const& digest : digests) {
        auto const* const known = m_quarantine.find(digest);
        if (!m_hooks.logQuarantine || !known)
            continue;
        auto const nextTrial = quarantine::lossCount(*known) == 0 ? kernel::duration::zero() : std::max(m_quarantine.nextTrialTime(*known) - now, kernel::duration::zero());
        m_hooks.logQuarantine({ event, digest, leafId, quarantine::lossCount(*known), quarantine::consecutiveLossCount(*known), nextTrial });
    }
}

void request_engine::holdPart(active_request& request, std::size_t partIndex)
{
    if (std::exchange(request.parts[partIndex].isHeld, true))
        return;
    ++request.heldPartCount;
    ++m_counters.partsHeld;
}

void request_engine::resumePart(active_request& request, std::size_t partIndex, time_point now)
{
    auto& part = request.parts[partIndex];
    part.isHeld = false;
    --request.heldPartCount;
    if (part.isSettled())
        return;
    if (part.attemptCount() > 0) {
        retryOrMarkMissing(request, partIndex, part.mayHaveRun(), now);
        return;
    }
    callPart(request, partIndex, now);
    if (part.isMissing)
        settleIfDecided(request, now);
}

void request_engine::releaseHeldParts(request_token token, time_point now)
{
    // A call may settle the request, so it is looked up again for each part.
    for (std::size_t partIndex = 0;; ++partIndex) {
        auto* const request = findRequest(token);
        if (!request || request->heldPartCount == 0 || request->isCallerDisconnected || partIndex >= request->parts.size())
            return;
        if (request->parts[partIndex].isHeld)
            resumePart(*request, partIndex, now);
    }
}

bool request_engine::tryHeldPart(active_request& request, time_point now)
{
    for (std::size_t partIndex = 0; partIndex < request.parts.size(); ++partIndex) {
        if (!request.parts[partIndex].isHeld || !mayCallLeaf(request, partIndex, now))
            continue;
        resumePart(request, partIndex, now);
        return true;
    }
    return false;
}

void request_engine::settleQuarantined(active_request& request, time_point now)
{
    // The daemon that relayed the request takes a rejection as a sign that no leaf was called.
    if (request.isRelayed() && request.hasSentCalls()) {
        settleMerged(request, "request_quarantined", now);
        return;
    }
    ++m_counters.rejectionsForQuarantine;
    // No retry-after: another try of the caller would be rejected as well or end another leaf.
    settleWithError(request, errors::error_kind::request_quarantined, "request_quarantined", now);
}

void request_engine::mergeSuspects(std::vector<quarantine::suspect> const& told, time_point now)
{
    for (auto const& digest : m_quarantine.merge(told, now))
        logQuarantine("request_quarantine_heard", { digest }, {}, now);
    shareSuspects(now);
}

void request_engine::shareSuspects(time_point now)
{
    if (now < m_nextSharingAt) {
        if (!std::exchange(m_isSharingScheduled, true))
            m_timers.push({ m_nextSharingAt, timer_kind::share_suspects, 0 });
        return;
    }
    if (!m_quarantine.takeChanges())
        return;
    m_nextSharingAt = now + quarantine::sharingInterval;
    if (m_hooks.shareSuspects)
        m_hooks.shareSuspects(m_quarantine.suspectsToShare(now));
}

}
