#pragma once

#include "Kernel/clock.h"
#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

namespace zinnialedge::limits {

/// Time limit with which callers begin their requests on one route, learned from recent requests. Does no I/O.
class typical_time_limit {
public:
    /// Records the time that a caller waits for an answer, as told on the request's arrival.
    void record(std::chrono::milliseconds timeLimit);
    /// Returns the most frequent time limit, or no value while none is frequent enough.
    std::optional<std::chrono::milliseconds> value() const;
    /// Returns the time that had passed at the caller before the request was sent; zero when that is unknown or longer than `longestAge`.
    kernel::duration ageOf(std::chrono::milliseconds timeLimit, kernel::duration longestAge) const;

    static constexpr std::size_t capacity = 32;
    /// Smallest number of equal time limits among the recent ones that is believed.
    static constexpr std::size_t minimumCount = capacity / 4;

private:
    std::array<std::chrono::milliseconds, capacity> m_recent {};
    std::size_t m_recordedCount { 0 };
    std::optional<std::chrono::milliseconds> m_value;
};

}
