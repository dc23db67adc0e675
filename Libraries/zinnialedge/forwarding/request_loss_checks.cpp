// Probes of leafs that were lost under quarantined requests. A leaf that replies has not ended, so that its loss does not count.

#include "Libraries/zinnialedge/forwarding/request_engine.h"

#include <algorithm>

namespace zinnialedge::forwarding {

using kernel::time_point;

/// Time between two probes of the same leaf. With the time for which a leaf has to reply, a request is free about 4 s after the faults.
static constexpr std::chrono::milliseconds lossCheckInterval { 500 };
/// Time limit of a probe. A probe that was sent into a fault must not delay the next one by much.
static constexpr std::chrono::milliseconds lossProbeTimeout { 1000 };
/// Bound on probes in flight, whatever the number of requests and losses.
static constexpr std::size_t maximumLossProbes = 16;

void request_engine::scheduleLossCheck(time_point now)
{
    if (m_nextLossCheckAt || m_quarantine.quarantinedCount() == 0)
        return;
    m_nextLossCheckAt = now + lossCheckInterval;
    m_timers.push({ *m_nextLossCheckAt, timer_kind::check_losses, 0 });
}

void request_engine::checkLosses(time_point now)
{
    // One daemon probes for all, so that many daemons do not load a leaf that has just started.
    auto const lost = m_quarantine.leafsToCheck([this](auto const& digest) { return !chooseTrialDaemon(digest); });
    scheduleLossCheck(now);
    if (lost.empty() || !m_routes)
        return;
    for (auto const leaf : m_leafs.registeredLeafs()) {
        auto const& record = m_leafs.at(leaf);
        if (m_lossProbes.size() >= maximumLossProbes)
            return;
        if (!lost.contains(quarantine::hashLeaf(record.registration().id, record.registration().startedAt)))
            continue;
        bool const isProbed = std::any_of(m_lossProbes.begin(), m_lossProbes.end(), [&](auto const& each) { return each.second.leaf == leaf; });
        if (!isProbed && record.hasRoom(now))
            sendLossProbe(leaf, now);
    }
}

void request_engine::sendLossProbe(leaf_handle leaf, time_point now)
{
    auto& record = m_leafs.at(leaf);
    auto const number = ++m_lastCallNumber;
    caller_request request;
    request.method = "GET";
    request.target = m_routes->statusTargetOf(record.registration().service);
    request.headers.push_back({ "Host", toString(record.registration().place) });
    record.recordSent(call_origin::extra, now);
    m_lossProbes[number] = { leaf, now };
    ++m_counters.lossProbes;
    auto const abandonAt = now + lossProbeTimeout;
    m_timers.push({ abandonAt, timer_kind::abandon_call, number });
    m_hooks.sendCall({ number, leaf, record.registration().id, record.registration().place, abandonAt, abandonAt, true, std::make_shared<caller_request const>(std::move(request)), std::nullopt, std::nullopt, true });
}

void request_engine::handleLossProbeEnd(probe_context const& context, call_result const& result, time_point now)
{
    if (!m_leafs.contains(context.leaf))
        return;
    m_leafs.at(context.leaf).recordProbeEnd(context.sentAt);
    if (!result || result->isMisdirected)
        return;
    static std::string const noRequest;
    m_links.recordReply(context.leaf, result->isOnNewConnection, now);
    scheduleLinkCheck(now);
    recordLife(context.leaf, context.sentAt, now);
    applyLeafNotices(context.leaf, *result, noRequest, now);
    applyLeafWarmup(context.leaf, *result, context.sentAt, now);
}

}
