#include "Libraries/zinnialedge/limits/hedge_hold.h"

#include <algorithm>

namespace zinnialedge::limits {

using kernel::duration;

/// Calls are slow together when more than one in this many is unanswered.
static constexpr std::size_t commonSlownessDivisor = 3;
/// Below this number of calls, the share of unanswered calls says nothing about a common cause.
static constexpr std::size_t minimumCallCount = 8;
/// A longer delay means that replies may have arrived that this daemon has not read yet.
static constexpr std::chrono::milliseconds tolerableOwnDelay { 2 };

duration hedgeHoldTime(call_progress const& progress, duration longestHold)
{
    if (progress.callCount < minimumCallCount)
        return duration::zero();
    if (progress.ownDelay > tolerableOwnDelay)
        return progress.ownDelay;
    bool const isCommonSlowness = progress.unansweredCount * commonSlownessDivisor > progress.callCount;
    if (!isCommonSlowness)
        return duration::zero();
    // Replies that stop arriving show that the remaining leafs are slow, however many they are.
    return std::max(longestHold - progress.sinceLastReply, duration::zero());
}

}
