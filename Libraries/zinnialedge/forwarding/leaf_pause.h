#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/pacing/leaf_pace.h"
#include <cstddef>
#include <optional>

namespace zinnialedge::forwarding {

/// Returns the length of a pause for which a leaf asks, in seconds. Returns nothing for a value that is no valid length: negative,
/// not a number, or longer than `maximum`.
std::optional<kernel::duration> validPauseLength(double seconds, kernel::duration maximum);

/// Pause for which a leaf has asked this daemon, and the start phase after it. Does no I/O.
class leaf_pause {
public:
    /// Begins or extends the pause; the latest end counts.
    void extend(kernel::duration length, kernel::time_point now);
    bool isActive(kernel::time_point now) const { return now < m_endsAt; }
    kernel::time_point endsAt() const { return m_endsAt; }
    /// Returns the number of calls that the leaf may have in flight: none during the pause, as many as the start phase allows after it, and
    /// `usualLimit` once that has ended.
    std::size_t inFlightLimit(std::size_t usualLimit, kernel::time_point now) const;
    /// Records that the leaf served a call that was sent at `sentAt`, which raises the limit of a start phase that is not adaptive.
    void recordSuccess(kernel::time_point sentAt) { m_pace.recordServed(sentAt); }
    /// Sets whether start phases are adaptive.
    void setAdaptive(bool isAdaptive) { m_isAdaptive = isAdaptive; }
    bool isAdaptive() const { return m_isAdaptive; }
    /// Begins a start phase at the given time, or after the pause.
    void startPace(kernel::time_point startsAt);
    pacing::leaf_pace const& pace() const { return m_pace; }
    pacing::leaf_pace& pace() { return m_pace; }

private:
    kernel::time_point m_endsAt;
    bool m_isAdaptive { false };
    pacing::leaf_pace m_pace;
};

}
