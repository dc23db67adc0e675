#include "Libraries/zinnialedge/forwarding/extra_call_budget.h"

#include <algorithm>

namespace zinnialedge::forwarding {

using kernel::time_point;

/// Part of the slack that is spent; the rest covers daemons that join before the others hear of them.
static constexpr double spentSlack = 0.8;

extra_call_budget::extra_call_budget(extra_call_limits limits, time_point startedAt)
    : m_limits(limits)
    , m_startedAt(startedAt)
{
}

std::int64_t extra_call_budget::slotAt(time_point now) const
{
    auto const slotWidth = std::chrono::duration_cast<kernel::duration>(m_limits.window) / slotCount;
    return static_cast<std::int64_t>((now - m_startedAt) / slotWidth);
}

void extra_call_budget::setLimits(extra_call_limits limits, time_point now)
{
    advance(now);
    bool const isOtherWindow = limits.window != m_limits.window;
    m_limits = limits;
    if (!isOtherWindow)
        return;
    // The slots have another width now. Without the earlier requests the budget is smaller for a while, never larger.
    m_lastSlot = slotAt(now);
    m_total.requests = 0;
    m_slots = {};
    m_slots[static_cast<std::size_t>(m_lastSlot) % m_slots.size()] = m_total;
}

void extra_call_budget::noteRequest(time_point now)
{
    advance(now);
    ++m_slots[static_cast<std::size_t>(m_lastSlot) % m_slots.size()].requests;
    ++m_total.requests;
}

bool extra_call_budget::take(time_point now, std::size_t slackHolders)
{
    advance(now);
    // A predecessor of this process may have spent its part just before it ended.
    auto const age = std::chrono::duration<double> { now - m_startedAt } / std::chrono::duration<double> { m_limits.window };
    auto const slack = slackHolders == 0 ? 0.0 : spentSlack * m_limits.slack * std::min(1.0, age) / static_cast<double>(slackHolders);
    if (m_total.extraCalls + 1 > m_limits.ratio * m_total.requests + slack)
        return false;
    ++m_slots[static_cast<std::size_t>(m_lastSlot) % m_slots.size()].extraCalls;
    ++m_total.extraCalls;
    return true;
}

void extra_call_budget::advance(time_point now)
{
    // One slot more than the window has, so that no window is wider than what is counted.
    auto const current = slotAt(now);
    // After a long pause each slot is emptied once.
    m_lastSlot = std::max(m_lastSlot, current - static_cast<std::int64_t>(m_slots.size()));
    while (m_lastSlot < current) {
        ++m_lastSlot;
        auto& oldest = m_slots[static_cast<std::size_t>(m_lastSlot) % m_slots.size()];
        m_total.requests -= oldest.requests;
        m_total.extraCalls -= oldest.extraCalls;
        oldest = {};
    }
}

}
