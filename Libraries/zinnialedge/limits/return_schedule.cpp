#include "Libraries/zinnialedge/limits/return_schedule.h"

#include <algorithm>

namespace zinnialedge::limits {

using kernel::duration;
using kernel::time_point;

/// Maximum time after the opening for which requests are asked to wait. Callers have deadlines of a few seconds.
static constexpr std::chrono::milliseconds maximumSpread { 2000 };
static constexpr std::chrono::microseconds minimumInterval { 100 };

duration return_schedule::nextRetryAfter(time_point opensAt, duration interval, kernel::random_hook const& random, time_point now)
{
    interval = std::clamp<duration>(interval, minimumInterval, maximumSpread);
    auto const opening = std::max(opensAt, now);
    if (m_nextReturnAt < opening || m_nextReturnAt > opening + maximumSpread)
        m_nextReturnAt = opening;
    auto const jitter = duration { static_cast<duration::rep>(random() % static_cast<std::uint64_t>(interval.count())) };
    auto const returnAt = m_nextReturnAt + jitter;
    m_nextReturnAt += interval;
    return returnAt - now;
}

}
