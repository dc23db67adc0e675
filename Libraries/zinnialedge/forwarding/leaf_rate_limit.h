#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/allowances/rate_share.h"
#include <cstdint>
#include <optional>

namespace zinnialedge::forwarding {

/// Origin of a call to a leaf.
enum class call_origin {
    /// First call of a shard or of a single request of a caller.
    first,
    /// Hedge or retry.
    extra,
    /// Call on behalf of another daemon.
    relayed,
};

/// Limit that a leaf has named on the requests it accepts from all daemons together, and this daemon's share of it. Does no I/O.
class leaf_rate_limit {
public:
    /// Number of this daemon's calls while the limit was in force.
    struct call_counts {
        std::uint64_t first { 0 };
        std::uint64_t extra { 0 };
        std::uint64_t relayed { 0 };

        auto operator<=>(call_counts const&) const = default;
    };

    /// Returns whether a leaf can name this number of requests per second: finite and not negative.
    static bool isValid(double requestsPerSecond);

    /// Puts a limit in force, of which this daemon has the share 1 / `sharers`. Returns whether the limit is new or has changed.
    bool set(double requestsPerSecond, double sharers, kernel::time_point now);
    /// Sets this daemon's share to 1 / `sharers`.
    void setSharers(double sharers, kernel::time_point now);
    /// Ends the limit after a reply without a limit to a call that was sent at `sentAt`. Returns whether a limit ended.
    bool clear(kernel::time_point sentAt);
    void recordCall(call_origin, kernel::time_point now);

    bool isInForce() const { return m_requestsPerSecond.has_value(); }
    /// Returns the limit for all daemons together, or zero when none is in force.
    double requestsPerSecond() const { return m_requestsPerSecond.value_or(0); }
    kernel::time_point inForceSince() const { return m_inForceSince; }
    call_counts const& calls() const { return m_calls; }

    /// Returns whether this daemon may send a call now.
    bool allowsCall(kernel::time_point now) const { return !isInForce() || m_share.allowsCall(now); }
    /// Returns the time at which this daemon may send its next call: `now` if the limit allows a call.
    kernel::time_point nextCallAt(kernel::time_point now) const;
    /// Returns the time between two calls of this daemon; zero when no limit is in force.
    kernel::duration callInterval() const;

private:
    /// Sets the rate of this daemon's share from the limit and the number of sharers.
    void updateShare(kernel::time_point now);

    std::optional<double> m_requestsPerSecond;
    double m_sharers { 1 };
    kernel::time_point m_inForceSince;
    kernel::time_point m_lastNamedAt;
    allowances::rate_share m_share;
    call_counts m_calls;
};

}
