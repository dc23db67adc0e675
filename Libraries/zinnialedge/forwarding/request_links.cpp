// The links of this daemon to the leafs: their loss is told from the loss of leafs, and the other daemons hear of it.

#include "Libraries/zinnialedge/forwarding/request_engine.h"

#include <algorithm>

namespace zinnialedge::forwarding {

using kernel::time_point;
using reachability::link_state;

/// Time limit of a probe, after which its connection is given up.
static constexpr std::chrono::milliseconds probeTimeout { 1500 };
/// Probes of one leaf per second by all daemons together, when they check their links on the same news.
static constexpr double sharedProbesPerSecond = 20;
/// Probes of a daemon for a check.
static constexpr double probesPerCheck = 3;
/// A daemon with requests has replies by then, and needs no probes.
static constexpr std::chrono::milliseconds shortestCheckSpread { 200 };
/// A cut is to be known to all daemons within four seconds, of which the news and the probes take up to two.
static constexpr std::chrono::milliseconds longestCheckSpread { 2000 };
/// Interval at which requests that wait for a check are looked at.
static constexpr std::chrono::milliseconds holdCheckInterval { 50 };
static constexpr std::uint64_t spreadSteps = 1000;

void request_engine::handleLinkLossNews(std::size_t daemonCount, time_point now)
{
    auto const leafCount = std::max<std::size_t>(1, m_leafs.availableCount());
    auto const needed = std::chrono::duration<double>(static_cast<double>(daemonCount) * probesPerCheck / (static_cast<double>(leafCount) * sharedProbesPerSecond));
    auto const spread = std::clamp<kernel::duration>(std::chrono::duration_cast<kernel::duration>(needed), shortestCheckSpread, longestCheckSpread);
    auto const delay = shortestCheckSpread / 2 + spread * static_cast<std::int64_t>(m_random() % spreadSteps) / static_cast<std::int64_t>(spreadSteps);
    m_links.requestCheck(now + delay, now);
    scheduleLinkCheck(now);
}

bool request_engine::holdForLinkCheck(active_request& request, time_point now)
{
    if (!request.request->detoured || !m_links.isChecking(now))
        return false;
    request.awaitsLinkCheck = true;
    m_requestsAwaitingLinks.push_back(request.token);
    scheduleLinkCheck(now);
    return true;
}

void request_engine::checkQuietLinks(time_point now)
{
    if (!m_links.isQuiet(now))
        return;
    m_links.requestCheck(now, now);
    checkLinks(now);
}

void request_engine::releaseFromLinkCheck(time_point now)
{
    if (m_requestsAwaitingLinks.empty() || m_links.isChecking(now))
        return;
    for (auto const token : std::exchange(m_requestsAwaitingLinks, {})) {
        auto* const request = findRequest(token);
        if (!request || request->isCallerDisconnected || !request->awaitsLinkCheck)
            continue;
        request->awaitsLinkCheck = false;
        startRequest(*request, now);
    }
}

void request_engine::recordLinkSign(leaf_handle leaf, call_result const& result, time_point now)
{
    // An evacuated data centre may be shut down, which says nothing about the links to the other leafs.
    if (!result && isEvacuated(leaf))
        m_links.forgetLeaf(leaf);
    else if (result)
        m_links.recordReply(leaf, result->isOnNewConnection, now);
    else if (result.error() == call_failure::malformed)
        m_links.recordReply(leaf, false, now);
    else if (result.error() == call_failure::not_sent || result.error() == call_failure::broken)
        m_links.recordFailure(leaf, now);
    scheduleLinkCheck(now);
}

void request_engine::scheduleLinkCheck(time_point now)
{
    auto dueAt = m_links.nextCheckTime();
    bool const isHoldOver = !m_requestsAwaitingLinks.empty() && !m_links.isChecking(now);
    if (m_links.state() != m_knownLinkState || isHoldOver)
        dueAt = now;
    else if (!m_requestsAwaitingLinks.empty())
        dueAt = std::min(dueAt.value_or(time_point::max()), now + holdCheckInterval);
    if (!dueAt)
        return;
    dueAt = std::max(*dueAt, now);
    if (m_nextLinkCheckAt && *m_nextLinkCheckAt <= *dueAt)
        return;
    m_nextLinkCheckAt = dueAt;
    m_timers.push({ *dueAt, timer_kind::check_links, 0 });
}

void request_engine::checkLinks(time_point now)
{
    sendProbes(m_links.takeDueProbes(now), now);
    auto const before = std::exchange(m_knownLinkState, m_links.state());
    if (before != m_knownLinkState)
        handleLinkStateChange(before, now);
    releaseFromLinkCheck(now);
    scheduleLinkCheck(now);
}

void request_engine::handleLinkStateChange(link_state before, time_point now)
{
    // Connections that were open before the doubt may have died without notice, and each would fail a call.
    bool const mayHaveDeadConnections = before == link_state::lost || (before == link_state::suspected && m_links.wasSilent());
    if (m_knownLinkState == link_state::intact && mayHaveDeadConnections && m_hooks.closeIdleConnections)
        m_hooks.closeIdleConnections();
    auto const countBefore = m_counters.detours;
    if (m_knownLinkState == link_state::lost) {
        ++m_counters.linkLosses;
        if (m_hooks.shareLeafReach)
            m_hooks.shareLeafReach(false);
        switchAllToDetours(now);
    } else if (before == link_state::lost) {
        if (m_hooks.shareLeafReach)
            m_hooks.shareLeafReach(true);
        dispatchAllQueuedParts(now);
    }
    if (m_hooks.logLinks)
        m_hooks.logLinks({ m_knownLinkState, m_links.evidence(now), m_counters.detours - countBefore });
}

void request_engine::sendProbes(std::size_t count, time_point now)
{
    if (count == 0 || !m_routes)
        return;
    // While the links are lost every leaf has failed, so any leaf may tell that they are back.
    bool const areLost = areLinksLost();
    // Daemons that check their links on the same news would otherwise all choose the leafs that replied last.
    bool const isCheck = m_links.state() == link_state::intact;
    auto targets = m_leafs.chooseProbeTargets(count, !areLost && !isCheck, [&](auto leaf) { return areLost || !m_links.isDoubtful(leaf); }, now);
    if (targets.empty())
        targets = m_leafs.chooseProbeTargets(count, false, [](auto) { return true; }, now);
    for (auto const leaf : targets) {
        auto& record = m_leafs.at(leaf);
        auto const number = ++m_lastCallNumber;
        caller_request request;
        request.method = "GET";
        request.target = m_routes->statusTargetOf(record.registration().service);
        request.headers.push_back({ "Host", toString(record.registration().place) });
        record.recordSent(call_origin::extra, now);
        m_probes[number] = { leaf, now, isCheck };
        ++m_counters.probes;
        m_counters.checkProbes += isCheck ? 1 : 0;
        if (isCheck)
            m_links.recordCall(leaf, now);
        auto const abandonAt = now + probeTimeout;
        m_timers.push({ abandonAt, timer_kind::abandon_call, number });
        m_hooks.sendCall({ number, leaf, record.registration().id, record.registration().place, abandonAt, abandonAt, true, std::make_shared<caller_request const>(std::move(request)), std::nullopt, std::nullopt, true });
    }
}

void request_engine::handleCallConnected(call_number number, time_point now)
{
    if (auto const call = m_calls.find(number); call != m_calls.end())
        call->second.isConnected = true;
    if (!m_probes.contains(number))
        return;
    m_links.recordProbeOpened(now);
    scheduleLinkCheck(now);
}

void request_engine::handleProbeEnd(probe_context const& context, call_result const& result, time_point now)
{
    if (m_leafs.contains(context.leaf))
        m_leafs.at(context.leaf).recordProbeEnd(context.sentAt);
    // Whatever bytes came, they came over the link.
    if (result || result.error() == call_failure::malformed)
        m_links.recordReply(context.leaf, true, now);
    else if (result.error() == call_failure::withheld || isEvacuated(context.leaf))
        m_links.recordProbeWithdrawn(context.leaf, now);
    // The probes of a check count like calls, so that leafs that are gone raise a suspicion only.
    else if (context.isCheck)
        m_links.recordFailure(context.leaf, now);
    else
        m_links.recordProbeFailure(context.leaf, result.error() == call_failure::timed_out, now);
    static std::string const noRequest;
    if (result && !result->isMisdirected && m_leafs.contains(context.leaf)) {
        recordLife(context.leaf, context.sentAt, now);
        applyLeafNotices(context.leaf, *result, noRequest, now);
        applyLeafWarmup(context.leaf, *result, context.sentAt, now);
    }
    scheduleLinkCheck(now);
}

}
