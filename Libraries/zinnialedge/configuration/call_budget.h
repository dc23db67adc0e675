#pragma once

#include "Kernel/clock.h"
#include <cstdint>

namespace zinnialedge::configuration {

/// How many calls to the platform's store a daemon may make: a rate and a burst.
class call_budget {
public:
    call_budget(double callsPerSecond, double burst);

    /// What was saved so far stays.
    void setRate(kernel::time_point now, double callsPerSecond);

    /// Pays for a call; false when the budget would fall below what is kept for other calls.
    [[nodiscard]] bool take(kernel::time_point now, double kept = 0);
    /// When the next call can be paid for.
    kernel::time_point nextAt(kernel::time_point now, double kept = 0);
    std::uint64_t taken() const { return m_taken; }
    std::uint64_t refused() const { return m_refused; }
    double available(kernel::time_point now);

private:
    double m_callsPerSecond;
    double m_burst;
    double m_tokens;
    kernel::time_point m_filledAt;
    std::uint64_t m_taken { 0 };
    std::uint64_t m_refused { 0 };
};

}
