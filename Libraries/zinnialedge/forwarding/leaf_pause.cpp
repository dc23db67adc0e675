#include "Libraries/zinnialedge/forwarding/leaf_pause.h"

#include <algorithm>

namespace zinnialedge::forwarding {

using kernel::duration;
using kernel::time_point;

std::optional<duration> validPauseLength(double seconds, duration maximum)
{
    auto const maximumSeconds = std::chrono::duration<double> { maximum }.count();
    // The comparison is false for a value that is not a number.
    if (!(seconds >= 0 && seconds <= maximumSeconds))
        return std::nullopt;
    return std::chrono::ceil<duration>(std::chrono::duration<double> { seconds });
}

void leaf_pause::extend(duration length, time_point now)
{
    if (length <= duration::zero())
        return;
    m_endsAt = std::max(m_endsAt, now + length);
    startPace(m_endsAt);
}

void leaf_pause::startPace(time_point startsAt)
{
    m_pace.start(std::max(startsAt, m_endsAt), m_isAdaptive);
}

std::size_t leaf_pause::inFlightLimit(std::size_t usualLimit, time_point now) const
{
    return isActive(now) ? 0 : m_pace.inFlightLimit(usualLimit);
}

}
