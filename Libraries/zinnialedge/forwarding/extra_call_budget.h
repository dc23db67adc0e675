#pragma once

#include "Kernel/clock.h"
#include <array>
#include <cstdint>

namespace zinnialedge::forwarding {

/// The bound on calls beyond the first of each request, over all daemons together.
struct extra_call_limits {
    /// Extra calls for each request.
    double ratio { 0.2 };
    std::chrono::seconds window { 10 };
    /// Extra calls in a window besides; shared evenly by the daemons.
    double slack { 50 };

    auto operator<=>(extra_call_limits const&) const = default;
};

/// One daemon's part of that bound for one service, kept in every sliding window.
class extra_call_budget {
public:
    extra_call_budget(extra_call_limits, kernel::time_point startedAt);

    /// Takes effect at once; what was counted stays, and is forgotten when the window has another width.
    void setLimits(extra_call_limits, kernel::time_point now);
    void noteRequest(kernel::time_point now);
    /// Counts an extra call, unless the budget has no room for it. `slackHolders` daemons share
    /// the slack; with zero this one has none of it.
    [[nodiscard]] bool take(kernel::time_point now, std::size_t slackHolders);

private:
    struct slot {
        std::uint32_t requests { 0 };
        std::uint32_t extraCalls { 0 };
    };

    static constexpr std::size_t slotCount = 20;

    std::int64_t slotAt(kernel::time_point now) const;
    void advance(kernel::time_point now);

    extra_call_limits m_limits;
    kernel::time_point m_startedAt;
    std::int64_t m_lastSlot { 0 };
    std::array<slot, slotCount + 1> m_slots {};
    slot m_total;
};

}
