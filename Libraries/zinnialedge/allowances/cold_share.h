#pragma once

#include "Libraries/zinnialedge/allowances/rate_share.h"

namespace zinnialedge::allowances {

/// Tolerance of the rate that cold leafs accept: in any second, all daemons together may send rate x overage + slack requests.
struct cold_leaf_tolerance {
    double overage { 1.5 };
    double slack { 5 };

    auto operator<=>(cold_leaf_tolerance const&) const = default;
};

/// This daemon's place among the daemons that share the limits of cold leafs.
struct fleet_position {
    /// Number of equal shares, of which this daemon uses one.
    double sharers { 1 };
    /// Share of the daemons with the same share that come before this one, from 0 to below 1.
    double phase { 0 };

    auto operator<=>(fleet_position const&) const = default;
};

/// This daemon's share of the request rate that a cold leaf accepts from all daemons together. Does no I/O.
///
/// The calls of a share become available at fixed times of the wall clock, which differ between the daemons by their phases. Without
/// that, the daemons' shares would become available at the same time after an event that all of them see, such as a start of the leaf.
/// A call that is not used within a short time is lost. Without a common clock the times are as good as random.
class cold_share {
public:
    /// Sets the rate of all daemons together, zero for no limit, and this daemon's place. `wallClockOffset` is what is added to a time
    /// point to get the time since the epoch of the wall clock. Saved calls are lost when the share changes.
    void set(double requestsPerSecond, cold_leaf_tolerance, fleet_position, kernel::duration wallClockOffset, kernel::time_point now);
    /// Drops saved calls, because the daemons have not shared the limit until now.
    void restart(kernel::time_point now);
    void recordCall(kernel::time_point now);

    bool hasLimit() const { return m_requestsPerSecond > 0; }
    bool allowsCall(kernel::time_point now) const { return !hasLimit() || m_share.allowsCall(now); }
    kernel::time_point nextCallAt(kernel::time_point now) const { return hasLimit() ? m_share.nextCallAt(now) : now; }
    /// Returns the time between two calls of this daemon; zero without a limit.
    kernel::duration callInterval() const { return hasLimit() ? m_share.callInterval() : kernel::duration::zero(); }

private:
    double m_requestsPerSecond { 0 };
    cold_leaf_tolerance m_tolerance;
    fleet_position m_position;
    kernel::duration m_wallClockOffset {};
    rate_share m_share { unused_calls::dropped };
};

}
