#include "Libraries/zinnialedge/limits/return_times.h"

#include <algorithm>

namespace zinnialedge::limits {

using kernel::duration;
using kernel::time_point;

/// Callers have deadlines of a few seconds at most and wait for at most a third of the remaining time before a retry.
static constexpr std::chrono::milliseconds maximumRetryAfter { 2000 };
static constexpr std::chrono::milliseconds minimumRetryAfter { 20 };
/// Maximum number of classes with schedules of their own, which bounds the cost of each call. Further ones share the next less urgent one.
static constexpr std::size_t maximumClasses = 16;

duration return_times::next(std::uint32_t priority, duration drainTime, duration interval, time_point now)
{
    std::erase_if(m_lastReturns, [&](auto const& each) { return each.second < now; });
    auto own = m_lastReturns.find(priority);
    if (own == m_lastReturns.end() && m_lastReturns.size() >= maximumClasses) {
        own = m_lastReturns.lower_bound(priority);
        own = own == m_lastReturns.end() ? std::prev(own) : own;
    } else if (own == m_lastReturns.end()) {
        own = m_lastReturns.emplace(priority, time_point {}).first;
    }
    auto returnAt = std::max(now + std::max<duration>(drainTime, minimumRetryAfter), own->second + interval);
    for (auto urgent = m_lastReturns.begin(); urgent != own; ++urgent)
        returnAt = std::max(returnAt, urgent->second + interval);
    // The limit is lower for more urgent classes, so that they are told earlier times also when all schedules are full. It is the same
    // at each call, so that no class is put off for ever.
    auto const position = std::distance(m_lastReturns.begin(), own) + 1;
    auto const limit = maximumRetryAfter * position / static_cast<std::ptrdiff_t>(m_lastReturns.size());
    own->second = std::min<time_point>(returnAt, now + limit);
    return own->second - now;
}

}
