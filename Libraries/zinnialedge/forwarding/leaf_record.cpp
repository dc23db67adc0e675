#include "Libraries/zinnialedge/forwarding/leaf_record.h"

#include <algorithm>
#include <cmath>

namespace zinnialedge::forwarding {

using kernel::time_point;

/// Weight of a new sample in the moving averages.
static constexpr double sampleWeight = 0.15;
/// A leaf that has just started takes about this times as long (the users' sheets).
static constexpr double coldFactor = 1.6;
/// An error answer costs its caller a second call, so a leaf that gives them is taken for so many times slower.
static constexpr double errorFactor = 10;
/// First pause after calls have failed; doubles with each further failure.
static constexpr std::chrono::milliseconds firstFailurePause { 200 };
static constexpr unsigned failureDoublings = 4;
/// One lost reply is no sign of a failed leaf.
static constexpr unsigned failuresBeforePause = 2;
/// Time in which a full leaf has ended at least one call.
static constexpr std::chrono::milliseconds shedPause { 20 };
/// What is known of a leaf that is not called loses half of its weight in this time against what is usual, so that a slow
/// one is tried again.
static constexpr std::chrono::duration<double> sampleHalfLife { 1.0 };
static constexpr double mostHalvings = 5;

leaf_record::leaf_record(leaf_registration registration, std::uint32_t connectionLimit, time_point now)
    : m_registration(std::move(registration))
    , m_connectionLimit(connectionLimit)
    , m_warmUntil(now + m_registration.warmupLeft)
{
}

void leaf_record::renew(leaf_registration registration, time_point now)
{
    m_registration = std::move(registration);
    m_warmUntil = now + m_registration.warmupLeft;
    m_isGone = false;
}

void leaf_record::noteSent(time_point now)
{
    m_inFlight.push_back(now);
}

void leaf_record::noteEnded(time_point sentAt)
{
    if (auto const found = std::find(m_inFlight.begin(), m_inFlight.end(), sentAt); found != m_inFlight.end())
        m_inFlight.erase(found);
}

void leaf_record::addSample(double microseconds)
{
    m_latencyMicroseconds = m_latencyMicroseconds == 0 ? microseconds : m_latencyMicroseconds + sampleWeight * (microseconds - m_latencyMicroseconds);
}

void leaf_record::noteAnswered(time_point sentAt, time_point now)
{
    noteEnded(sentAt);
    addSample(std::chrono::duration<double, std::micro> { now - sentAt }.count());
    m_lastAnswerAt = now;
    m_errorShare -= sampleWeight * m_errorShare;
    m_failuresInARow = 0;
    m_avoidedUntil = {};
}

void leaf_record::noteError(time_point sentAt, time_point now)
{
    noteEnded(sentAt);
    m_lastAnswerAt = now;
    m_errorShare += sampleWeight * (1 - m_errorShare);
}

void leaf_record::noteShed(time_point sentAt, time_point now)
{
    noteError(sentAt, now);
    m_avoidedUntil = std::max(m_avoidedUntil, now + shedPause);
}

void leaf_record::noteFailed(call_failure failure, time_point sentAt, time_point now)
{
    noteEnded(sentAt);
    if (failure == call_failure::cancelled)
        return;
    // A reply that was there before a newer one came says nothing of the leaf's present state.
    if (failure == call_failure::timed_out && m_lastAnswerAt > sentAt)
        return;
    ++m_failuresInARow;
    if (failure == call_failure::broken && m_failuresInARow < failuresBeforePause)
        return;
    auto const doublings = std::min(m_failuresInARow - 1, failureDoublings);
    m_avoidedUntil = std::max(m_avoidedUntil, now + firstFailurePause * (1U << doublings));
}

kernel::duration leaf_record::silence(time_point now) const
{
    // The oldest call since the last answer counts: an older one may have been lost alone.
    auto const oldest = std::find_if(m_inFlight.begin(), m_inFlight.end(), [&](auto sentAt) { return sentAt > m_lastAnswerAt; });
    return oldest == m_inFlight.end() ? kernel::duration::zero() : now - *oldest;
}

bool leaf_record::isSuspect(time_point now, kernel::duration patience) const
{
    return now < m_avoidedUntil || silence(now) > patience;
}

double leaf_record::recentLatency(time_point now, double usualMicroseconds) const
{
    auto const idle = m_inFlight.empty() ? std::chrono::duration<double> { now - m_lastAnswerAt } / sampleHalfLife : 0.0;
    auto const known = m_latencyMicroseconds == 0 ? usualMicroseconds : m_latencyMicroseconds;
    return usualMicroseconds + (known - usualMicroseconds) * std::exp2(-std::clamp(idle, 0.0, mostHalvings));
}

kernel::duration leaf_record::recentDelay(time_point now, double usualMicroseconds) const
{
    auto const latency = std::chrono::duration<double, std::micro> { recentLatency(now, usualMicroseconds) };
    return std::max(std::chrono::duration_cast<kernel::duration>(latency), silence(now));
}

double leaf_record::expectedDelay(time_point now, double usualMicroseconds) const
{
    auto const slots = static_cast<double>(std::max(m_registration.slots, 1U));
    auto const queued = static_cast<double>(m_inFlight.size()) / slots;
    auto const warmth = now < m_warmUntil ? coldFactor : 1;
    // Other daemons' calls are seen only through the load that the leaf reports.
    auto const reported = static_cast<double>(m_load.waiting) / slots;
    return (recentLatency(now, usualMicroseconds) + 1) * (1 + queued + reported / 2) * warmth * (1 + errorFactor * m_errorShare);
}

}
