#include "Libraries/zinnialedge/allowances/cold_share.h"

#include <algorithm>
#include <cmath>

namespace zinnialedge::allowances {

using kernel::duration;
using kernel::time_point;

/// Share of the tolerance that saved calls of all daemons may fill together. The rest covers clocks that differ, daemons that do not
/// know each other yet, and calls that reach the leaf late.
static constexpr double savedShareOfTolerance = 0.25;
/// Shortest time for which an available call can be used: the timer that sends a waiting call may be late.
static constexpr std::chrono::duration<double> minimumUseTime { 0.02 };

void cold_share::set(double requestsPerSecond, cold_leaf_tolerance tolerance, fleet_position position, duration wallClockOffset, time_point now)
{
    if (m_requestsPerSecond == requestsPerSecond && m_tolerance == tolerance && m_position == position && m_wallClockOffset == wallClockOffset)
        return;
    m_requestsPerSecond = requestsPerSecond;
    m_tolerance = tolerance;
    m_position = position;
    m_wallClockOffset = wallClockOffset;
    if (!hasLimit())
        return;
    auto const sharers = std::max(position.sharers, 1.0);
    auto const rate = requestsPerSecond / sharers;
    auto const room = std::max(requestsPerSecond * (tolerance.overage - 1) + tolerance.slack, 0.0);
    m_share.setRate(rate, 1 + std::max(room * savedShareOfTolerance / sharers, rate * minimumUseTime.count()), now);
    restart(now);
}

void cold_share::restart(time_point now)
{
    if (!hasLimit())
        return;
    auto const position = m_share.callsPerSecond() * std::chrono::duration<double> { now.time_since_epoch() + m_wallClockOffset }.count() + m_position.phase;
    m_share.setAvailableCalls(position - std::floor(position), now);
}

void cold_share::recordCall(time_point now)
{
    if (hasLimit())
        m_share.consume(now);
}

}
