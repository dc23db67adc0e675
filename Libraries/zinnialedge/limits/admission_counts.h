#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace zinnialedge::limits {

/// Numbers of admitted and rejected queries of one priority class.
struct admission_count {
    std::uint64_t admitted { 0 };
    std::uint64_t rejected { 0 };

    auto operator<=>(admission_count const&) const = default;
};

/// Counts admissions and rejections by priority class for the metrics. The number of classes is bounded: further ones are counted as
/// the least urgent class. Does no I/O.
class admission_counts {
public:
    void recordAdmission(std::uint32_t priority) { ++countOf(priority).admitted; }
    void recordRejection(std::uint32_t priority) { ++countOf(priority).rejected; }
    std::map<std::uint32_t, admission_count> const& all() const { return m_counts; }

private:
    static constexpr std::size_t maximumClasses = 32;
    static constexpr std::uint32_t leastUrgent = ~std::uint32_t { 0 };

    admission_count& countOf(std::uint32_t priority)
    {
        auto const found = m_counts.find(priority);
        if (found != m_counts.end())
            return found->second;
        return m_counts[m_counts.size() < maximumClasses - 1 ? priority : leastUrgent];
    }

    std::map<std::uint32_t, admission_count> m_counts;
};

/// Returns the name of a priority class: the tenant's priority and the route's.
inline std::string priorityClassName(std::uint32_t priority)
{
    return std::to_string(priority >> 16U) + "/" + std::to_string(priority & 0xFFFFU);
}

}
