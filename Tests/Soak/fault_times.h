#pragma once

#include "Kernel/clock.h"
#include <mutex>
#include <optional>
#include <vector>

namespace zinnialedge::tests::soak {

/// Records when the store and the daemons have faults, since a daemon need not know a change of the store meanwhile. Thread-safe.
class fault_times {
public:
    explicit fault_times(std::size_t daemons);

    void recordStore(bool isHealthy);
    /// Records that a daemon is killed, stopped or paused.
    void beginDaemonFault(std::size_t daemon);
    /// Records that a daemon has started or continues.
    void endDaemonFault(std::size_t daemon);
    /// Returns whether the daemon must have applied a change by now that the store acknowledged at the given time: the daemon has been
    /// without faults for 5 s since then, and the store was without faults for 5 s together at some time since both.
    bool mustBeApplied(kernel::time_point acknowledgedAt, std::size_t daemon) const;

private:
    struct healthy_span {
        kernel::time_point begin;
        kernel::time_point end;
    };

    mutable std::mutex m_mutex;
    std::vector<healthy_span> m_storeSpans;
    /// Time from which each daemon has been without faults; the greatest time while it has one.
    std::vector<kernel::time_point> m_steadySince;
};

}
