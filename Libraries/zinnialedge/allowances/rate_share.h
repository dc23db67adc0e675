#pragma once

#include "Kernel/clock.h"
#include <optional>

namespace zinnialedge::allowances {

/// What becomes of calls that are not used in time.
enum class unused_calls {
    /// The bucket stays full until the next call.
    kept,
    /// A call that does not fit any more is dropped, and the next one accrues from there. The times at which calls become available then
    /// depend on the rate alone, so that an idle time does not align the buckets of several daemons.
    dropped,
};

/// Token bucket for one daemon's share of a rate that a fleet keeps together. Does no I/O.
class rate_share {
public:
    explicit rate_share(unused_calls unused = unused_calls::kept)
        : m_unused(unused)
    {
    }

    /// Sets the rate in calls per second, which must be positive, and the greatest number of calls that are saved up, at least one.
    /// Calls accrue from the first time that the rate or the number of available calls is set.
    void setRate(double callsPerSecond, double burst, kernel::time_point now);
    /// Sets the number of calls that are available now.
    void setAvailableCalls(double calls, kernel::time_point now);
    /// Consumes a call. The number of available calls may become negative.
    void consume(kernel::time_point now);

    double availableCalls(kernel::time_point now) const;
    bool allowsCall(kernel::time_point now) const { return availableCalls(now) >= 1; }
    /// Returns the earliest time from `now` on at which a call is available.
    kernel::time_point nextCallAt(kernel::time_point now) const;
    kernel::duration callInterval() const;
    double callsPerSecond() const { return m_callsPerSecond; }
    double burst() const { return m_burst; }

private:
    unused_calls m_unused;
    double m_callsPerSecond { 1 };
    double m_burst { 1 };
    /// Number of calls that were available at `m_countedAt`.
    double m_availableCalls { 0 };
    /// Empty until calls accrue.
    std::optional<kernel::time_point> m_countedAt;
};

}
