#pragma once

#include "Kernel/clock.h"
#include <cstddef>

namespace zinnialedge::limits {

/// Progress of the calls of one request at the time when slow calls are considered for hedges.
struct call_progress {
    std::size_t callCount { 0 };
    std::size_t unansweredCount { 0 };
    /// Time since the last reply, or since the first call when no reply has arrived.
    kernel::duration sinceLastReply {};
    /// Delay with which this daemon considers the calls.
    kernel::duration ownDelay {};
};

/// Returns the time for which hedges must be held back; zero when slow calls may be hedged now. Hedges help against a few slow
/// leafs. When most calls are slow together, the cause is this daemon or the way to the leafs, and hedges would double its work.
/// `longestHold` is the time without a reply after which the calls count as slow in any case.
kernel::duration hedgeHoldTime(call_progress const&, kernel::duration longestHold);

}
