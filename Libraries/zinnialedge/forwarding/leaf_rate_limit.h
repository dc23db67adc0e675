#pragma once

#include "Kernel/clock.h"
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

/// Limit that a leaf has named on the requests it accepts from all daemons together. Does no I/O.
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

    /// Puts a limit in force. Returns whether the limit is new or has changed.
    bool set(double requestsPerSecond, kernel::time_point now);
    /// Ends the limit after a reply without a limit to a call that was sent at `sentAt`. Returns whether a limit ended.
    bool clear(kernel::time_point sentAt);
    void recordCall(call_origin);

    bool isInForce() const { return m_requestsPerSecond.has_value(); }
    /// Returns the limit for all daemons together, or zero when none is in force.
    double requestsPerSecond() const { return m_requestsPerSecond.value_or(0); }
    kernel::time_point inForceSince() const { return m_inForceSince; }
    call_counts const& calls() const { return m_calls; }

private:
    std::optional<double> m_requestsPerSecond;
    kernel::time_point m_inForceSince;
    kernel::time_point m_lastNamedAt;
    call_counts m_calls;
};

}
