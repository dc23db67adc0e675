#include "Libraries/zinnialedge/forwarding/extra_call_budget.h"

#include <algorithm>

namespace zinnialedge::forwarding {

/// Part of the slack that is spent; the rest covers daemons that join before the others hear of them.
static constexpr double spentSlack = 0.8;

extra_call_budget::extra_call_budget(extra_call_limits limits, kernel::time_point startedAt)
    : m_limits(limits)
    , m_startedAt(startedAt)
{
}

void extra_call_budget::noteRequest(kernel::time_point now)
{
    advance(now);
    ++m_slots[static_cast<std::size_t>(m_lastSlot) % m_slots.size()].requests;
    ++m_total.requests;
}

bool extra_call_budget::take(kernel::time_point now, std::size_t slackHolders)
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

void extra_call_budget::advance(kernel::time_point now)
{
    // One slot more than the window has, so that no window is wider than what is counted.
    auto const slotWidth = std::chrono::duration_cast<kernel::duration>(m_limits.window) / slotCount;
    auto const current = static_cast<std::int64_t>((now - m_startedAt) / slotWidth);
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
