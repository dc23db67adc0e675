#pragma once

#include "Kernel/clock.h"
#include <cstdint>
#include <map>

namespace zinnialedge::limits {

/// Assigns times of return to rejected queries, with one schedule for each priority class. A more urgent class is told earlier times. Does
/// no I/O.
class return_times {
public:
    /// Returns the retry-after of a query that is rejected now. `drainTime` is the time until the queries that wait have started, and
    /// `interval` the time between two starts.
    kernel::duration next(std::uint32_t priority, kernel::duration drainTime, kernel::duration interval, kernel::time_point now);

private:
    /// Latest time of return of each class with rejected queries.
    std::map<std::uint32_t, kernel::time_point> m_lastReturns;
};

}
