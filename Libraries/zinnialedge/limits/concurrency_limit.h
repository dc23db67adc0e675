#pragma once

#include <cstdint>

namespace zinnialedge::limits {

/// How many calls one leaf may have in flight from here: grows slowly with success, falls at once on shedding.
class concurrency_limit {
public:
    concurrency_limit(std::uint32_t initial, std::uint32_t maximum, std::uint32_t minimum = 1);

    void noteSuccess(bool wasAtLimit);
    void noteShed();
    /// The most that the connections to the leaf allow.
    void setMaximum(std::uint32_t);
    std::uint32_t value() const { return static_cast<std::uint32_t>(m_value); }

private:
    double m_value;
    double m_maximum;
    double m_minimum;
};

}
