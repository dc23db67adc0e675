#include "Libraries/zinnialedge/forwarding/extra_call_budget.h"

#include <algorithm>

namespace zinnialedge::forwarding {

using kernel::time_point;

/// Share of the slack that the daemons consume. The rest covers daemons that join before the other daemons know of them.
static constexpr double usableSlackShare = 0.8;

extra_call_budget::extra_call_budget(extra_call_limits limits, time_point startedAt)
    : m_limits(limits)
    , m_startedAt(startedAt)
{
}

std::int64_t extra_call_budget::slotNumberAt(time_point now) const
{
    auto const slotWidth = std::chrono::duration_cast<kernel::duration>(m_limits.window) / slotCount;
    return static_cast<std::int64_t>((now - m_startedAt) / slotWidth);
}

void extra_call_budget::setLimits(extra_call_limits limits, time_point now)
{
    advanceTo(now);
    bool const hasNewWindow = limits.window != m_limits.window;
    m_limits = limits;
    if (!hasNewWindow)
        return;
    // The slots have a new width now. The budget without the earlier requests is temporarily smaller, but never too large.
    m_currentSlotNumber = slotNumberAt(now);
    m_windowTotal.requests = 0;
    m_slots = {};
    m_slots[static_cast<std::size_t>(m_currentSlotNumber) % m_slots.size()] = m_windowTotal;
}

void extra_call_budget::recordRequest(time_point now)
{
    advanceTo(now);
    ++m_slots[static_cast<std::size_t>(m_currentSlotNumber) % m_slots.size()].requests;
    ++m_windowTotal.requests;
}

bool extra_call_budget::tryConsume(time_point now, std::size_t daemonsSharingSlack)
{
    advanceTo(now);
    // A previous process of this daemon may have consumed the slack just before it ended, so the slack of a new process grows
    // from zero over one window.
    auto const age = std::chrono::duration<double> { now - m_startedAt } / std::chrono::duration<double> { m_limits.window };
    auto const slack = daemonsSharingSlack == 0 ? 0.0 : usableSlackShare * m_limits.slack * std::min(1.0, age) / static_cast<double>(daemonsSharingSlack);
    if (m_windowTotal.extraCalls + 1 > m_limits.ratio * m_windowTotal.requests + slack)
        return false;
    ++m_slots[static_cast<std::size_t>(m_currentSlotNumber) % m_slots.size()].extraCalls;
    ++m_windowTotal.extraCalls;
    return true;
}

void extra_call_budget::advanceTo(time_point now)
{
    // There is one slot more than fits into the window, so that the counted slots cover any window completely.
    auto const current = slotNumberAt(now);
    // Limits the loop after a long pause, so that each slot is cleared only once.
    m_currentSlotNumber = std::max(m_currentSlotNumber, current - static_cast<std::int64_t>(m_slots.size()));
    while (m_currentSlotNumber < current) {
        ++m_currentSlotNumber;
        auto& oldest = m_slots[static_cast<std::size_t>(m_currentSlotNumber) % m_slots.size()];
        m_windowTotal.requests -= oldest.requests;
        m_windowTotal.extraCalls -= oldest.extraCalls;
        oldest = {};
    }
}

}
