#pragma once

#include "Kernel/clock.h"
#include <cstddef>
#include <vector>

namespace zinnialedge::limits {

/// Greatest of the current value and of the values that were current within a hold time. Does no I/O.
class held_maximum {
public:
    held_maximum(double value, kernel::duration holdTime);

    void set(double value, kernel::time_point now);
    double value(kernel::time_point now) const;

private:
    struct former_value {
        double value { 0 };
        kernel::time_point replacedAt;
    };

    kernel::duration m_holdTime;
    double m_current;
    /// Falling values, each replaced later than the one before.
    std::vector<former_value> m_formerValues;
};

}
