#pragma once

#include <cstdint>

namespace zinnialedge::limits {

/// Adaptive limit on the calls in flight: increases slowly with successes and decreases at once when a call is shed.
class concurrency_limit {
public:
    concurrency_limit(std::uint32_t initial, std::uint32_t maximum, std::uint32_t minimum = 1);

    void recordSuccess(bool wasAtLimit);
    void recordShed();
    /// Sets the upper bound, which follows from the number of connections to the leaf.
    void setMaximum(std::uint32_t);
    std::uint32_t value() const { return static_cast<std::uint32_t>(m_value); }

private:
    double m_value;
    double m_maximum;
    double m_minimum;
};

}
