// Admission of requests over shards: under overload, complete answers in time to some requests are preferred to late answers
// to all requests.

#include "Libraries/zinnialedge/forwarding/request_engine.h"

#include "Kernel/verify.h"
#include <algorithm>

namespace zinnialedge::forwarding {

using kernel::time_point;
using verdict = limits::admission_queue::verdict;

/// Share of the time to the objective within which a request must start; requests that start later would miss the objective.
static constexpr double latestStartShare = 0.4;

shard_set_admission& request_engine::admissionOf(route const& to)
{
    // Routes over equal shards use the same leafs and therefore share one admission queue.
    auto const [found, isNew] = m_admissions.try_emplace(to.gather.shards.front());
    if (isNew) {
        found->second.number = m_admissions.size();
        m_admissionsByNumber[found->second.number] = &found->second;
    }
    return found->second;
}

double request_engine::acceptingCapacityShare(active_request const& request, time_point now) const
{
    if (!m_leafs.hasPausedLeafs(now) && !m_leafs.hasEvacuations())
        return 1;
    std::vector<double> shares;
    shares.reserve(request.parts.size());
    for (auto const& part : request.parts) {
        if (!part.isMissing)
            shares.push_back(m_leafs.acceptingShare(*part.service, now));
    }
    // The request does without its weakest shards, so the weakest shard that it needs decides.
    auto const skipped = std::min(request.allowedMissingParts(), shares.empty() ? 0 : shares.size() - 1);
    if (shares.empty())
        return 1;
    std::nth_element(shares.begin(), shares.begin() + static_cast<std::ptrdiff_t>(skipped), shares.end());
    return shares[skipped];
}

static time_point latestStartOf(active_request const& request, time_point now)
{
    return now + std::chrono::duration_cast<kernel::duration>((request.objectiveAt - now) * latestStartShare);
}

bool request_engine::leaveOutPartsWithoutLeafs(active_request& request, time_point now) const
{
    for (auto& part : request.parts) {
        if (part.isMissing || m_leafs.hasAcceptingLeaf(*part.service, {}, now))
            continue;
        part.isMissing = true;
        ++request.missingPartCount;
    }
    // Parts without a leaf are detected before any call is sent, so a request rejected here is known not to have run.
    return request.matchedRoute->isGather() ? request.canReachMinimumCoverage() : request.missingPartCount == 0;
}

bool request_engine::skipPartsWithoutLeafs(active_request& request, time_point now)
{
    if (leaveOutPartsWithoutLeafs(request, now))
        return true;
    settleUnavailable(request, errors::error_kind::no_live_target, "no_leaf", now);
    return false;
}

bool request_engine::skipLimitedShards(active_request& request, time_point now)
{
    auto const missingBefore = request.missingPartCount;
    if (auto const wait = leaveOutLimitedShards(request, now)) {
        ++m_counters.rejectionsForLimits;
        settleUntil(request, *wait, "leafs_limited", m_leafs.limitedCallInterval(*wait->service, now), now);
        return false;
    }
    m_counters.shardsSkipped += request.missingPartCount - missingBefore;
    return true;
}

static std::size_t countQueuedParts(std::unordered_map<std::string, service_state> const& services, std::string const& service)
{
    auto const found = services.find(service);
    return found == services.end() ? 0 : found->second.queuedParts.size();
}

std::optional<service_wait> request_engine::leaveOutLimitedShards(active_request& request, time_point now) const
{
    struct late_part {
        std::size_t partIndex { 0 };
        time_point startsAt;
    };
    // A relayed request leaves the wait to the requesting daemon, which can call other leafs.
    auto const latestStart = request.isRelayed() ? now : latestStartOf(request, now);
    std::vector<late_part> lateParts;
    for (std::size_t partIndex = 0; partIndex < request.parts.size(); ++partIndex) {
        auto const& part = request.parts[partIndex];
        auto const startsAt = part.isMissing ? std::nullopt : m_leafs.nextCallTime(*part.service, {}, countQueuedParts(m_serviceStates, *part.service), now);
        if (startsAt && *startsAt > latestStart)
            lateParts.push_back({ partIndex, *startsAt });
    }
    if (lateParts.empty())
        return std::nullopt;
    std::sort(lateParts.begin(), lateParts.end(), [](auto const& left, auto const& right) { return left.startsAt > right.startsAt; });
    auto allowedCount = lateParts.size();
    if (!request.isRelayed())
        allowedCount = request.matchedRoute->isGather() ? request.allowedMissingParts() : 0;
    if (lateParts.size() > allowedCount) {
        auto const& firstNeeded = lateParts[allowedCount];
        return service_wait { request.parts[firstNeeded.partIndex].service, firstNeeded.startsAt };
    }
    for (auto const& late : lateParts) {
        request.parts[late.partIndex].isMissing = true;
        request.parts[late.partIndex].isSkipped = !request.isRelayed();
        ++request.missingPartCount;
        request.skippedPartCount += request.isRelayed() ? 0 : 1;
    }
    return std::nullopt;
}

std::uint64_t request_engine::fingerprintOf(active_request const& request) const
{
    auto const& content = *request.request;
    return m_earlyReturns.fingerprint({ content.tenant, request.matchedRoute->name, content.method, content.host, content.target, content.body });
}

limits::slot_claim request_engine::claimOf(active_request const& request, time_point now)
{
    if (!request.table->hasTenants())
        return {};
    limits::slot_claim claim { request.request->tenant, m_usualShareWeight, false };
    if (request.matchedTenant && request.matchedTenant->hasQuota())
        claim.weight = request.matchedTenant->requestsPerSecond;
    // Tenants that this configuration does not know share one entry, like requests without a tenant.
    if (!request.matchedTenant)
        claim.holder.clear();
    // The contents are hashed only while rejected requests are expected.
    claim.isEarlyReturn = !m_earlyReturns.empty() && m_earlyReturns.takeReturn(fingerprintOf(request), now);
    m_counters.earlyReturns += claim.isEarlyReturn ? 1 : 0;
    return claim;
}

void request_engine::setShareWeights()
{
    double total = 0;
    std::size_t count = 0;
    for (auto const& each : m_routes->tenants()) {
        total += each.requestsPerSecond;
        count += each.hasQuota() ? 1 : 0;
    }
    m_usualShareWeight = count > 0 ? total / static_cast<double>(count) : 1;
}

void request_engine::countAdmission(active_request const& request)
{
    m_admissionCounts.recordAdmission(request.priority());
    // The daemon that has passed the request on counts it for its tenant.
    if (request.matchedTenant && !request.isFromDaemon())
        m_tenantCounts.recordAdmission(request.matchedTenant->name);
}

bool request_engine::admitOrEnqueue(active_request& request, time_point now)
{
    auto& admission = admissionOf(*request.matchedRoute);
    admission.queue.setCapacityShare(acceptingCapacityShare(request, now));
    auto const latestStart = latestStartOf(request, now);
    switch (admission.queue.arrive(request.token, request.priority(), latestStart, now, claimOf(request, now))) {
    case verdict::admit:
        request.admission = admission_state::admitted;
        countAdmission(request);
        return true;
    case verdict::enqueue:
        request.admission = admission_state::queued;
        m_timers.push({ latestStart + std::chrono::milliseconds { 1 }, timer_kind::admit, admission.number });
        return false;
    case verdict::reject:
        break;
    }
    settleOverloaded(request, now);
    return false;
}

admission_preview request_engine::previewAdmission(active_request const& request, time_point now) const
{
    auto const found = m_admissions.find(request.matchedRoute->gather.shards.front());
    static limits::admission_queue const unused;
    auto const& queue = found == m_admissions.end() ? unused : found->second.queue;
    auto const capacityShare = acceptingCapacityShare(request, now);
    admission_preview preview { queue.inFlight(), queue.limitAt(capacityShare), queue.queuedCount(), queue.isOverloaded(now), {}, {} };
    preview.verdict = queue.preview(request.priority(), latestStartOf(request, now), capacityShare, now);
    if (preview.verdict == verdict::reject)
        preview.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(queue.previewRetryAfter(now, request.table->hasTenants() ? request.priority() : 0, capacityShare));
    return preview;
}

void request_engine::releaseAdmission(active_request& request, time_point now)
{
    auto const state = std::exchange(request.admission, admission_state::none);
    if (state == admission_state::none)
        return;
    auto& admission = admissionOf(*request.matchedRoute);
    if (state == admission_state::queued) {
        admission.queue.remove(request.token, now);
        return;
    }
    // The calls of a caller who has left end soon and free their leafs, so that another request can start at once. The duration
    // of a request without calls says nothing about the leafs.
    if (request.isCallerDisconnected || !request.hasSentCalls())
        admission.queue.releaseAbandoned(now, request.shareHolder());
    else
        admission.queue.release(now - request.startedAt, request.wasCongested || request.lacksManyReplies(), now, request.shareHolder());
    // Admits queued requests from a timer, because the ending request is still in use by the functions on the call stack.
    if (admission.queue.hasQueuedQueries())
        m_timers.push({ now, timer_kind::admit, admission.number });
}

void request_engine::admitQueued(std::uint64_t number, time_point now)
{
    auto& admission = *m_admissionsByNumber.at(number);
    while (auto const expired = admission.queue.removeExpired(now)) {
        auto* const request = findRequest(*expired);
        if (!request)
            continue;
        request->admission = admission_state::none;
        settleOverloaded(*request, now);
    }
    while (auto const next = admission.queue.admitNext(now)) {
        auto* const request = findRequest(*next);
        // A request that ends leaves the queue.
        VERIFY(request);
        request->admission = admission_state::admitted;
        countAdmission(*request);
        request->startedAt = now;
        request->lastReplyAt = now;
        if (skipPartsWithoutLeafs(*request, now) && skipLimitedShards(*request, now))
            startCalls(*request, now);
    }
}

void request_engine::settleOverloaded(active_request& request, time_point now)
{
    auto answer = makeRejection(errors::error_kind::overloaded, "overloaded", {});
    // Without tenants all requests return in the order of their rejections.
    bool const hasTenants = request.table->hasTenants();
    auto const retryAfter = admissionOf(*request.matchedRoute).queue.nextRetryAfter(now, hasTenants ? request.priority() : 0);
    answer.error->retryAfter = std::chrono::ceil<std::chrono::milliseconds>(retryAfter);
    if (hasTenants && m_earlyReturns.empty())
        m_earlyReturns.setSeed(m_random());
    if (hasTenants)
        m_earlyReturns.recordRejection(fingerprintOf(request), now + retryAfter, now);
    m_admissionCounts.recordRejection(request.priority());
    if (request.matchedTenant && !request.isFromDaemon())
        m_tenantCounts.recordOverload(request.matchedTenant->name);
    ++m_counters.rejections;
    settle(request, std::move(answer), now);
}

}
