#pragma once

#include "Kernel/clock.h"
#include <array>
#include <cstdint>

namespace zinnialedge::forwarding {

/// Bound on the extra calls (calls beyond the first call of each request) of all daemons together.
struct extra_call_limits {
    /// Extra calls allowed for each request.
    double ratio { 0.2 };
    std::chrono::milliseconds window { 10'000 };
    /// Further extra calls allowed in each window, independent of the requests; divided evenly among the daemons.
    double slack { 50 };

    auto operator<=>(extra_call_limits const&) const = default;
};

/// One daemon's part of the bound on extra calls to one service, enforced in every sliding window.
class extra_call_budget {
public:
    extra_call_budget(extra_call_limits, kernel::time_point startedAt);

    /// Sets new limits with immediate effect. The counts are kept, except that a new window width clears the request count.
    void setLimits(extra_call_limits, kernel::time_point now);
    void recordRequest(kernel::time_point now);
    /// Consumes one extra call and returns true, or returns false when the budget is exhausted. `daemonsSharingSlack` is the number of
    /// daemons that share the slack; zero means that this daemon has no slack.
    [[nodiscard]] bool tryConsume(kernel::time_point now, std::size_t daemonsSharingSlack);

private:
    struct window_slot {
        std::uint32_t requests { 0 };
        std::uint32_t extraCalls { 0 };
    };

    static constexpr std::size_t slotCount = 20;

    std::int64_t slotNumberAt(kernel::time_point now) const;
    void advanceTo(kernel::time_point now);

    extra_call_limits m_limits;
    kernel::time_point m_startedAt;
    std::int64_t m_currentSlotNumber { 0 };
    std::array<window_slot, slotCount + 1> m_slots {};
    window_slot m_windowTotal;
};

}
