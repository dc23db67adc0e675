#include "Libraries/zinnialedge/pacing/leaf_pace.h"

#include <algorithm>
#include <cmath>

namespace zinnialedge::pacing {

using kernel::duration;
using kernel::time_point;

static constexpr double firstWindow = 1;
/// Window at which the start phase ends in any case.
static constexpr double lastWindow = 64;
/// Latency relative to the usual one from which on the window is cut.
static constexpr int slowLatencyFactor = 2;
/// Latency that is tolerated in addition, so that the noise of short calls does not cut the window.
static constexpr std::chrono::milliseconds toleratedLatency { 2 };
/// The average follows the latest replies, because a leaf that falls behind must be relieved at once.
static constexpr int latencyWeightDivisor = 2;
/// Growth of the window for each window of replies after a cut.
static constexpr double carefulGrowth = 0.5;
/// Time without calls after a refusal of the only call in flight; doubles with each further one.
static constexpr std::chrono::milliseconds firstHoldTime { 50 };
static constexpr std::chrono::milliseconds longestHoldTime { 400 };

void leaf_pace::start(time_point startsAt, bool isAdaptive)
{
    m_window = firstWindow;
    m_isAdaptive = isAdaptive;
    m_startsAt = startsAt;
    m_carefulFrom = lastWindow;
    m_loweredAt = {};
    m_heldUntil = {};
    m_holdTime = firstHoldTime;
    m_latency.reset();
}

std::size_t leaf_pace::inFlightLimit(std::size_t usualLimit) const
{
    return m_window ? std::min(usualLimit, static_cast<std::size_t>(*m_window)) : usualLimit;
}

void leaf_pace::recordServed(time_point sentAt)
{
    // A call that was sent before the start says nothing about the load that the leaf bears after it.
    if (!m_window || m_isAdaptive || sentAt < m_startsAt)
        return;
    *m_window += 1;
    if (*m_window >= lastWindow)
        stop();
}

pace_change leaf_pace::record(call_sample const& sample, std::size_t usualLimit, time_point now)
{
    if (!m_window || !m_isAdaptive || sample.sentAt < m_startsAt || sample.sentAt < m_loweredAt)
        return pace_change::none;
    if (sample.outcome == call_outcome::refused)
        return lower(now);
    auto const latency = m_latency ? *m_latency + (sample.latency - *m_latency) / latencyWeightDivisor : sample.latency;
    bool const isSlow = sample.usualLatency && latency > *sample.usualLatency * slowLatencyFactor + toleratedLatency;
    // A call that was withdrawn shows only that the latency is at least its age.
    if (sample.outcome == call_outcome::unknown && !isSlow)
        return pace_change::none;
    m_latency = latency;
    return isSlow ? lower(now) : raise(usualLimit);
}

pace_change leaf_pace::raise(std::size_t usualLimit)
{
    *m_window += *m_window < m_carefulFrom ? 1 : carefulGrowth / *m_window;
    m_holdTime = std::max<duration>(m_holdTime / 2, firstHoldTime);
    if (*m_window < std::min(static_cast<double>(usualLimit), lastWindow))
        return pace_change::raised;
    stop();
    return pace_change::ended;
}

pace_change leaf_pace::lower(time_point now)
{
    if (*m_window < firstWindow + 1) {
        m_heldUntil = now + m_holdTime;
        m_holdTime = std::min<duration>(m_holdTime * 2, longestHoldTime);
    }
    m_window = std::max(firstWindow, std::floor(*m_window) / 2);
    m_carefulFrom = *m_window;
    m_loweredAt = now;
    m_latency.reset();
    return pace_change::lowered;
}

}
