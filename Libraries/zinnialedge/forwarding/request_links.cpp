// The links of this daemon to the leafs: their loss is told from the loss of leafs, and the other daemons hear of it.

#include "Libraries/zinnialedge/forwarding/request_engine.h"

namespace zinnialedge::forwarding {

using kernel::time_point;
using reachability::link_state;

/// Time limit of a probe, after which its connection is given up.
static constexpr std::chrono::milliseconds probeTimeout { 1500 };

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
    if (m_links.state() != m_knownLinkState)
        dueAt = now;
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
    scheduleLinkCheck(now);
    if (before == m_knownLinkState)
        return;
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
    auto targets = m_leafs.chooseProbeTargets(count, !areLost, [&](auto leaf) { return areLost || !m_links.isDoubtful(leaf); }, now);
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
        m_probes[number] = { leaf, now };
        ++m_counters.probes;
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
