#pragma once

#include "Kernel/clock.h"
#include <cstdint>

namespace zinnialedge::configuration {

/// Token bucket that limits a daemon's calls to the platform's store by a rate and a burst.
class call_budget {
public:
    call_budget(double callsPerSecond, double burst);

    /// Changes the refill rate; tokens that have accumulated so far are retained.
    void setRate(kernel::time_point now, double callsPerSecond);

    /// Consumes one token for a call. Returns false when fewer than `reserved` tokens would remain for other calls.
    [[nodiscard]] bool take(kernel::time_point now, double reserved = 0);
    /// Returns the earliest time at which take() with the same `reserved` succeeds.
    kernel::time_point nextAvailableAt(kernel::time_point now, double reserved = 0);
    std::uint64_t taken() const { return m_takenCount; }
    std::uint64_t refused() const { return m_deniedCount; }
    /// Returns the number of tokens after a refill up to `now`.
    double available(kernel::time_point now);

private:
    double m_callsPerSecond;
    double m_burst;
    double m_tokens;
    kernel::time_point m_refilledAt;
    std::uint64_t m_takenCount { 0 };
    std::uint64_t m_deniedCount { 0 };
};

}
