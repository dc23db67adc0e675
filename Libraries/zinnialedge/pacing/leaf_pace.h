#pragma once

#include "Kernel/clock.h"
#include <cstddef>
#include <optional>

namespace zinnialedge::pacing {

/// Services for whose leafs the pace after a start or a recovery is determined from the leafs' replies.
enum class pace_scope {
    /// Services that declare a warm-up time.
    declared,
    always,
    never,
};

/// What a call showed about the load that the leaf bears.
enum class call_outcome {
    served,
    /// The leaf rejected the call, or the call failed.
    refused,
    /// The call tells nothing: its request was at fault, or it was withdrawn early.
    unknown,
};

/// One call to a leaf in its start phase.
struct call_sample {
    call_outcome outcome { call_outcome::unknown };
    kernel::time_point sentAt;
    /// Time until the reply, or until the call was withdrawn.
    kernel::duration latency {};
    /// Latency that calls to the leaf usually have, as the other leafs of the service show; empty when no other leaf shows it.
    std::optional<kernel::duration> usualLatency;
};

enum class pace_change {
    none,
    raised,
    lowered,
    /// The start phase has ended.
    ended,
};

/// Number of calls that may be in flight to a leaf that starts or recovers: a window that begins with one call, grows with the replies and
/// is cut when the leaf does not keep up. Does no I/O.
class leaf_pace {
public:
    /// Begins the start phase. Calls that were sent before `startsAt` do not count. Without `isAdaptive` the window only grows.
    void start(kernel::time_point startsAt, bool isAdaptive);
    void stop() { m_window.reset(); }
    bool isActive() const { return m_window.has_value(); }
    kernel::time_point startedAt() const { return m_startsAt; }
    std::size_t inFlightLimit(std::size_t usualLimit) const;
    /// Returns the time until which the leaf gets no calls because it refused the only call in flight.
    kernel::time_point heldUntil() const { return isActive() ? m_heldUntil : kernel::time_point {}; }

    /// Records a served call in a start phase that is not adaptive.
    void recordServed(kernel::time_point sentAt);
    /// Records the end of a call in an adaptive start phase. The phase ends when the window reaches `usualLimit`.
    pace_change record(call_sample const&, std::size_t usualLimit, kernel::time_point now);

private:
    pace_change raise(std::size_t usualLimit);
    pace_change lower(kernel::time_point now);

    std::optional<double> m_window;
    bool m_isAdaptive { false };
    kernel::time_point m_startsAt;
    /// Window from which on the window grows slowly, for each window of replies. Below, it grows by one for each reply.
    double m_carefulFrom { 0 };
    /// Time of the last cut. The calls that were sent before it show the load of the larger window.
    kernel::time_point m_loweredAt;
    kernel::time_point m_heldUntil;
    kernel::duration m_holdTime {};
    /// Moving average of the latency since the start or the last cut.
    std::optional<kernel::duration> m_latency;
};

}
