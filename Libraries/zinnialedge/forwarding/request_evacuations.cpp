// Evacuations: nothing is sent to the leafs of an evacuated data centre. The leafs are marked in the roster, which every call asks
// before it is sent; what was decided before and is not sent yet is withheld here.

#include "Libraries/zinnialedge/forwarding/request_engine.h"
#include "Libraries/zinnialedge/forwarding/retry_after.h"

#include <algorithm>

namespace zinnialedge::forwarding {

using kernel::time_point;

/// Time after the begin of an evacuation within which calls that were sent before must be delivered. Several round trips; the bytes of a
/// call that waits longer, because the link is cut or the leaf stands still, could arrive when nothing may reach the leaf any more.
static constexpr std::chrono::milliseconds deliveryTime { 1000 };

void request_engine::setEvacuations(std::set<std::string> dataCentres, time_point now)
{
    auto const before = m_leafs.evacuatedDataCentres();
    if (dataCentres == before)
        return;
    m_leafs.setEvacuations(std::move(dataCentres), now);
    auto const& after = m_leafs.evacuatedDataCentres();
    auto const log = [&](std::string const& dataCentre, bool hasBegun) {
        if (!m_hooks.logEvacuation)
            return;
        auto const callsInFlight = std::count_if(m_calls.begin(), m_calls.end(), [&](auto const& entry) { return m_leafs.at(entry.second.leaf).registration().dataCentre == dataCentre; });
        m_hooks.logEvacuation({ dataCentre, hasBegun, m_leafs.registeredCountIn(dataCentre), static_cast<std::size_t>(callsInFlight), after.size() });
    };
    for (auto const& each : after) {
        if (before.contains(each))
            continue;
        ++m_counters.evacuations;
        log(each, true);
        limitDelivery(each, now);
    }
    for (auto const& each : before) {
        if (!after.contains(each))
            log(each, false);
    }
    withholdUnsentCalls();
    for (auto const leaf : m_leafs.registeredLeafs()) {
        if (isEvacuated(leaf))
            m_links.forgetLeaf(leaf);
    }
    m_links.setLeafCount(m_leafs.availableCount(), now);
    scheduleLinkCheck(now);
    dispatchAllQueuedParts(now);
}

void request_engine::withholdUnsentCalls()
{
    for (auto const& [number, context] : m_calls) {
        if (!context.isConnected && isEvacuated(context.leaf))
            m_hooks.cancelCall(number, call_failure::withheld);
    }
    // A probe whose connection is open has been sent, so that giving it up changes nothing for its leaf.
    for (auto const& [number, context] : m_probes) {
        if (isEvacuated(context.leaf))
            m_hooks.cancelCall(number, call_failure::withheld);
    }
}

void request_engine::limitDelivery(std::string const& dataCentre, time_point now)
{
    for (auto const& [number, context] : m_calls) {
        if (context.isConnected && m_leafs.at(context.leaf).registration().dataCentre == dataCentre)
            m_timers.push({ now + deliveryTime, timer_kind::end_undelivered_call, number });
    }
}

bool request_engine::isPreventedByEvacuation(active_request const& request, time_point now) const
{
    if (!m_leafs.hasEvacuations())
        return false;
    auto const servableCount = static_cast<std::size_t>(std::count_if(request.parts.begin(), request.parts.end(), [&](auto const& part) {
        return part.isAnswered() || m_leafs.hasAcceptingLeaf(*part.service, {}, now);
    }));
    auto const evacuatedCount = static_cast<std::size_t>(std::count_if(request.parts.begin(), request.parts.end(), [&](auto const& part) {
        return !part.isAnswered() && !m_leafs.hasAcceptingLeaf(*part.service, {}, now) && m_leafs.hasEvacuatedLeaf(*part.service);
    }));
    auto const neededCount = request.matchedRoute->isGather() ? request.minimumPartCount() : request.parts.size();
    return servableCount < neededCount && servableCount + evacuatedCount >= neededCount;
}

void request_engine::settleEvacuated(active_request& request, time_point now)
{
    ++m_counters.rejections;
    ++m_counters.rejectionsForEvacuations;
    settle(request, makeRejection(errors::error_kind::no_live_target, "leafs_evacuated", evacuationRetryAfter), now);
}

}
