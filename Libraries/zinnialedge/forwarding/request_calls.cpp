// Calls to leafs: first calls, hedges of slow calls, and the queue of calls that need a free connection.

#include "Libraries/zinnialedge/forwarding/request_engine.h"

#include "Libraries/zinnialedge/limits/hedge_hold.h"

#include <algorithm>
#include <utility>

namespace zinnialedge::forwarding {

using kernel::time_point;

/// A hedge is sent when a call takes this many times the 0.9 quantile of recent call durations.
static constexpr double hedgeDelayFactor = 1.5;
static constexpr double minimumHedgeDelayShare = 0.06;
static constexpr double maximumHedgeDelayShare = 0.4;
/// Hedges of a query over more shards than twice this number before any leaf has replied. Leafs that are all silent may be held up, or
/// about to be ended, by the request itself, and hedges for all shards would take the second leafs too.
static constexpr std::size_t hedgesBeforeFirstReply = 2;
/// Maximum number of parts that are queued for a connection to one service.
static constexpr std::size_t maximumQueuedParts = 64;
/// Weight of one extra call in the moving average of the share of denied extra calls.
static constexpr double deniedShareWeight = 0.03;
/// Time after the end of a request at which its calls are abandoned, so that a reply in transit can still free its connection
/// for reuse.
static constexpr std::chrono::milliseconds abandonedCallGrace { 300 };

kernel::duration request_engine::hedgeDelayOf(route const& to) const
{
    auto const known = m_routeStates.find(to.name);
    auto const callDuration = known == m_routeStates.end() ? initialCallDuration(to) : known->second.callDurationQuantile.value();
    auto const hedgeDelay = std::chrono::duration<double> { callDuration } * hedgeDelayFactor;
    auto const objective = std::chrono::duration<double> { to.objective };
    return std::chrono::duration_cast<kernel::duration>(std::clamp(hedgeDelay, objective * minimumHedgeDelayShare, objective * maximumHedgeDelayShare));
}

kernel::duration longestHedgeHold(route const& to)
{
    return std::chrono::duration_cast<kernel::duration>(to.objective * maximumHedgeDelayShare);
}

bool request_engine::consumeExtraCall(active_request& request, std::size_t partIndex, time_point now)
{
    bool const isAllowed = stateOf(*request.parts[partIndex].service).extraCallBudget.tryConsume(now, slackSharers(now));
    request.deniedExtraCallCount += isAllowed ? 0 : 1;
    m_counters.extraCallsDenied += isAllowed ? 0 : 1;
    m_deniedExtraCallShare += deniedShareWeight * ((isAllowed ? 0 : 1) - m_deniedExtraCallShare);
    return isAllowed;
}

std::size_t request_engine::slackSharers(time_point now) const
{
    return m_fleetShare.daemonsSharingSlack == 0 ? 0 : static_cast<std::size_t>(m_slackSharers.value(now));
}

void request_engine::callPart(active_request& request, std::size_t partIndex, time_point now)
{
    if (now >= request.endAt) {
        request.parts[partIndex].isMissing = true;
        ++request.missingPartCount;
        return;
    }
    if (!mayCallLeaf(request, partIndex, now)) {
        holdPart(request, partIndex);
        return;
    }
    auto const pick = m_leafs.pickLeaf(*request.parts[partIndex].service, request.parts[partIndex].calledLeafs, hedgeDelayOf(*request.matchedRoute), now, mayTryIdleLeaf(request, partIndex, now));
    if (pick) {
        sendCall(request, partIndex, pick->leaf, now);
    } else if (m_leafs.hasAcceptingLeaf(*request.parts[partIndex].service, request.parts[partIndex].calledLeafs, now)) {
        enqueuePart(request, partIndex, now);
    } else {
        // No end of a call can free a leaf for the part.
        request.parts[partIndex].isMissing = true;
        ++request.missingPartCount;
    }
}

void request_engine::sendCall(active_request& request, std::size_t partIndex, leaf_handle handle, time_point now)
{
    auto& part = request.parts[partIndex];
    auto& record = m_leafs.at(handle);
    recordQuarantineCall(*request.evidence, record.registration().id, now);
    auto const number = ++m_lastCallNumber;
    auto origin = part.attemptCount() == 0 ? call_origin::first : call_origin::extra;
    if (request.isRelayed())
        origin = call_origin::relayed;
    part.calledLeafs.push_back(handle);
    part.calls.push_back({ number, handle, now });
    ++part.callsThatMayHaveRun;
    record.recordSent(origin, now);
    m_calls[number] = { request.token, partIndex, handle, now, false, request.request, request.evidence };
    m_links.recordCall(handle, now);
    scheduleLinkCheck(now);
    ++m_counters.calls;
    auto const abandonAt = request.endAt + abandonedCallGrace;
    m_timers.push({ abandonAt, timer_kind::abandon_call, number });
    m_hooks.sendCall({ number, handle, record.registration().id, record.registration().place, request.callerDeadline, abandonAt, request.matchedRoute->isRepeatable, request.request, std::nullopt, std::nullopt, false });
}

bool request_engine::isCallWanted(call_number number, time_point now) const
{
    if (auto const probe = m_probes.find(number); probe != m_probes.end())
        return !isEvacuated(probe->second.leaf);
    if (auto const probe = m_lossProbes.find(number); probe != m_lossProbes.end())
        return !isEvacuated(probe->second.leaf);
    auto const found = m_calls.find(number);
    if (found == m_calls.end())
        return true;
    // After a pause of this process, the connection may be reported open before the timers that end the request have run.
    auto const request = m_requests.find(found->second.requestToken);
    // The leafs of other calls may have been lost in the meantime.
    if (auto& evidence = *found->second.evidence; !m_quarantine.isEmpty() && !evidence.hasSucceeded() && m_quarantine.hasLossesSince(evidence.digests(), found->second.sentAt))
        return false;
    bool const isAwaited = request != m_requests.end() && !request->second.isCallerDisconnected && now < request->second.endAt;
    auto const& record = m_leafs.at(found->second.leaf);
    return isAwaited && record.acceptsCalls(now) && record.hasStayedInLimit(found->second.sentAt, now);
}

void request_engine::enqueuePart(active_request& request, std::size_t partIndex, time_point now)
{
    auto& queue = stateOf(*request.parts[partIndex].service).queuedParts;
    if (queue.size() >= maximumQueuedParts) {
        request.parts[partIndex].isMissing = true;
        ++request.missingPartCount;
        return;
    }
    request.parts[partIndex].isQueued = true;
    auto const priority = request.priority();
    auto const position = std::find_if(queue.begin(), queue.end(), [&](auto const& each) { return each.priority > priority; });
    queue.insert(position, { request.token, partIndex, priority, now });
    scheduleDispatch(*request.parts[partIndex].service, request.parts[partIndex].calledLeafs, now);
}

void request_engine::scheduleDispatch(std::string const& service, std::span<leaf_handle const> excluded, time_point now)
{
    auto const nextCallAt = m_leafs.nextCallTime(service, excluded, 0, now);
    // Without a limit the part waits for a free connection, and the end of a call dispatches it.
    if (!nextCallAt || *nextCallAt <= now || (m_nextDispatchAt && *m_nextDispatchAt <= *nextCallAt))
        return;
    m_nextDispatchAt = nextCallAt;
    m_timers.push({ *nextCallAt, timer_kind::dispatch, 0 });
}

void request_engine::dispatchQueuedParts(std::string const& service, time_point now)
{
    auto& queue = stateOf(service).queuedParts;
    std::size_t position = 0;
    while (position < queue.size()) {
        auto const next = queue[position];
        auto const entry = queue.begin() + static_cast<std::ptrdiff_t>(position);
        auto* const request = findRequest(next.requestToken);
        if (!request || request->isCallerDisconnected || !request->parts[next.partIndex].isQueued) {
            queue.erase(entry);
            continue;
        }
        auto& part = request->parts[next.partIndex];
        if (now >= request->endAt) {
            // The timer that ends the request is due.
            part.isQueued = false;
            queue.erase(entry);
            continue;
        }
        auto const pick = m_leafs.pickLeaf(service, part.calledLeafs, hedgeDelayOf(*request->matchedRoute), now, mayTryIdleLeaf(*request, next.partIndex, now));
        if (!pick && m_leafs.hasAcceptingLeaf(service, part.calledLeafs, now)) {
            scheduleDispatch(service, part.calledLeafs, now);
            // A part that may use any leaf waits, so the parts behind it wait too.
            if (part.calledLeafs.empty())
                return;
            ++position;
            continue;
        }
        queue.erase(entry);
        part.isQueued = false;
        if (pick && !mayCallLeaf(*request, next.partIndex, now)) {
            holdPart(*request, next.partIndex);
            settleIfDecided(*request, now);
        } else if (pick) {
            sendCall(*request, next.partIndex, pick->leaf, now);
        } else {
            markMissing(*request, next.partIndex, now);
        }
    }
}

void request_engine::dispatchAllQueuedParts(time_point now)
{
    // Marking a part as missing may settle its request and change the service states, so the services are collected first.
    std::vector<std::string> services;
    services.reserve(m_serviceStates.size());
    for (auto const& [service, state] : m_serviceStates) {
        if (!state.queuedParts.empty())
            services.push_back(service);
    }
    for (auto const& service : services)
        dispatchQueuedParts(service, now);
}

void request_engine::sendDueHedges(active_request& request, time_point dueAt, time_point now)
{
    if (request.isCallerDisconnected || now >= request.endAt)
        return;
    auto const delay = hedgeDelayOf(*request.matchedRoute);
    // A hedge would let a request that ends leafs reach two of them.
    if (judge(*request.evidence, now) != quarantine::verdict::innocent) {
        m_timers.push({ now + delay, timer_kind::hedge, request.token });
        return;
    }
    bool const hasNoReply = request.lastReplyAt == request.startedAt && request.parts.size() > 2 * hedgesBeforeFirstReply;
    // Hedges that have waited for the first reply are late already.
    bool const haveHedgesWaited = std::exchange(request.doHedgesAwaitReply, false) && !hasNoReply;
    auto const hold = haveHedgesWaited ? kernel::duration::zero() : limits::hedgeHoldTime(request.callProgress(now - dueAt, now), longestHedgeHold(*request.matchedRoute));
    if (hold > kernel::duration::zero()) {
        m_timers.push({ now + hold, timer_kind::hedge, request.token });
        return;
    }
    // Under overload a hedge would only add a call to the full queues and delay other requests.
    bool const isOverloaded = request.matchedRoute->isGather() && admissionOf(*request.matchedRoute).queue.isOverloaded(now);
    std::optional<time_point> next;
    for (std::size_t partIndex = 0; partIndex < request.parts.size(); ++partIndex) {
        auto& part = request.parts[partIndex];
        if (hasNoReply && request.hedgeCount >= hedgesBeforeFirstReply) {
            request.doHedgesAwaitReply = true;
            return;
        }
        if (part.isSettled() || part.isHedged || part.calls.size() != 1 || part.attemptCount() >= request.maximumAttempts())
            continue;
        auto dueAt = part.calls.front().sentAt + delay;
        if (dueAt <= now) {
            if (!isOverloaded && sendHedge(request, partIndex, now))
                continue;
            dueAt = now + delay;
        }
        next = next ? std::min(*next, dueAt) : dueAt;
    }
    if (next && *next < request.endAt)
        m_timers.push({ *next, timer_kind::hedge, request.token });
}

bool request_engine::sendHedge(active_request& request, std::size_t partIndex, time_point now)
{
    auto& part = request.parts[partIndex];
    auto const pick = m_leafs.pickLeaf(*part.service, part.calledLeafs, hedgeDelayOf(*request.matchedRoute), now);
    if (!pick || pick->isSuspect)
        return false;
    return sendHedgeTo(request, partIndex, pick->leaf, now);
}

bool request_engine::sendHedgeTo(active_request& request, std::size_t partIndex, leaf_handle leaf, time_point now)
{
    auto& part = request.parts[partIndex];
    if (!consumeExtraCall(request, partIndex, now))
        return false;
    part.isHedged = true;
    ++m_counters.hedges;
    ++request.hedgeCount;
    sendCall(request, partIndex, leaf, now);
    return true;
}

}
