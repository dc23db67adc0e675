#pragma once

#include "Kernel/clock.h"

namespace zinnialedge::limits {

/// Assigns times of return to requests that are rejected until a known time, for example until a paused leaf accepts calls again.
/// The times follow each other at the rate at which requests can be served, so that the requests do not return together. Does no
/// I/O.
class return_schedule {
public:
    /// Returns the retry-after of the next request. `interval` is the time between two requests that can be served one after the
    /// other, seen from this daemon. `random` spreads the daemons' times within an interval.
    kernel::duration nextRetryAfter(kernel::time_point opensAt, kernel::duration interval, kernel::random_hook const& random, kernel::time_point now);

private:
    kernel::time_point m_nextReturnAt;
};

}
