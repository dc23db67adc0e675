#include "Libraries/zinnialedge/allowances/rate_share.h"

#include <algorithm>
#include <cmath>

namespace zinnialedge::allowances {

using kernel::duration;
using kernel::time_point;

/// Tolerance for rounding when the time of the next call is computed.
static constexpr std::chrono::microseconds roundingTolerance { 1 };

void rate_share::setRate(double callsPerSecond, double burst, time_point now)
{
    m_availableCalls = availableCalls(now);
    m_countedAt = now;
    m_callsPerSecond = callsPerSecond;
    m_burst = burst;
}

void rate_share::setAvailableCalls(double calls, time_point now)
{
    m_availableCalls = calls;
    m_countedAt = now;
}

void rate_share::consume(time_point now)
{
    m_availableCalls = availableCalls(now) - 1;
    m_countedAt = now;
}

double rate_share::availableCalls(time_point now) const
{
    auto const calls = m_availableCalls + m_callsPerSecond * std::chrono::duration<double> { now - m_countedAt.value_or(now) }.count();
    if (calls <= m_burst)
        return calls;
    return m_unused == unused_calls::kept ? m_burst : calls - std::ceil(calls - m_burst);
}

time_point rate_share::nextCallAt(time_point now) const
{
    auto const available = availableCalls(now);
    if (available >= 1)
        return now;
    return now + std::chrono::ceil<duration>(std::chrono::duration<double> { (1 - available) / m_callsPerSecond }) + roundingTolerance;
}

duration rate_share::callInterval() const
{
    return std::chrono::ceil<duration>(std::chrono::duration<double> { 1 / m_callsPerSecond });
}

}
