// Quarantine of requests under which leafs were lost: such a request is not sent to further leafs, by whichever daemon.

#include "Libraries/zinnialedge/forwarding/request_engine.h"

#include "Libraries/zinnialedge/quarantine/trial_choice.h"
#include <algorithm>
#include <utility>

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
    // The digest without the query lets all variants of a request share their trials.
    auto const index = chooseTrialDaemon(evidence.digests().back());
    return index ? std::optional { m_fleetShare.detours[*index] } : std::nullopt;
}

std::optional<std::size_t> request_engine::chooseTrialDaemon(quarantine::request_digest const& digest) const
{
    std::vector<std::string> others;
    others.reserve(m_fleetShare.detours.size());
    for (auto const& each : m_fleetShare.detours)
        others.push_back(toString(each.endpoint));
    return quarantine::chooseTrialDaemon(digest, m_fleetShare.self ? std::optional { toString(m_fleetShare.self->endpoint) } : std::nullopt, others);
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
        recordUnanswered(context, now);
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

void request_engine::recordUnanswered(call_context const& context, time_point now)
{
    auto const& registration = m_leafs.at(context.leaf).registration();
    m_quarantine.recordUnansweredTrial(*context.evidence, { quarantine::hashLeaf(registration.id, registration.startedAt), context.sentAt, now }, now);
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
    scheduleLossCheck(now);
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
