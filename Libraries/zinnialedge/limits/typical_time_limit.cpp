#include "Libraries/zinnialedge/limits/typical_time_limit.h"

#include <algorithm>
#include <iterator>

namespace zinnialedge::limits {

void typical_time_limit::record(std::chrono::milliseconds timeLimit)
{
    m_recent.at(m_recordedCount % capacity) = timeLimit;
    ++m_recordedCount;
    // Requests that were sent at once all tell the same limit, and those that were delayed tell various shorter ones.
    auto sorted = m_recent;
    auto const end = sorted.begin() + static_cast<std::ptrdiff_t>(std::min(m_recordedCount, capacity));
    std::sort(sorted.begin(), end);
    std::ptrdiff_t greatestCount = 0;
    m_value.reset();
    for (auto first = sorted.begin(); first != end;) {
        auto const last = std::upper_bound(first, end, *first);
        auto const count = std::distance(first, last);
        if (count >= static_cast<std::ptrdiff_t>(minimumCount) && count >= greatestCount) {
            greatestCount = count;
            m_value = *first;
        }
        first = last;
    }
}

std::optional<std::chrono::milliseconds> typical_time_limit::value() const
{
    return m_value;
}

kernel::duration typical_time_limit::ageOf(std::chrono::milliseconds timeLimit, kernel::duration longestAge) const
{
    if (!m_value || timeLimit >= *m_value)
        return kernel::duration::zero();
    kernel::duration const age = *m_value - timeLimit;
    return age <= longestAge ? age : kernel::duration::zero();
}

}
