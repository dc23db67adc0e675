#include "Libraries/zinnialedge/forwarding/leaf_record.h"

#include <algorithm>
#include <cmath>

namespace zinnialedge::forwarding {

using kernel::time_point;

/// Weight of a new sample in the moving averages of one leaf.
static constexpr double sampleWeight = 0.15;
/// Factor by which calls to a leaf take longer during its warm-up, according to the users' specifications.
static constexpr double coldLatencyFactor = 1.6;
/// Weight of a leaf's error rate in its expected delay. An error reply requires a second call, so a leaf with errors ranks as
/// if the leaf were slower.
static constexpr double errorFactor = 10;
/// Back-off after the first failure of a leaf; doubles with each further consecutive failure.
static constexpr std::chrono::milliseconds initialFailureBackoff { 200 };
static constexpr unsigned maximumBackoffDoublings = 4;
/// Number of consecutive failures at which a broken call starts a back-off; a single lost reply is no sign of a failed leaf.
static constexpr unsigned failuresBeforeBackoff = 2;
/// Back-off after a leaf shed a call: time in which a full leaf completes at least one call.
static constexpr std::chrono::milliseconds shedBackoff { 20 };
/// Half-life of the latency deviation of an idle leaf from the typical latency, and of its error rate, so that a leaf that was slow or
/// had errors is eventually called again.
static constexpr std::chrono::duration<double> idleHalfLife { 1.0 };
static constexpr double maximumHalvings = 5;

leaf_record::leaf_record(leaf_registration registration, std::uint32_t connectionLimit, time_point now)
    : m_registration(std::move(registration))
    , m_connectionLimit(connectionLimit)
    , m_warmupEndsAt(now + m_registration.warmupLeft)
{
}

void leaf_record::updateRegistration(leaf_registration registration, time_point now)
{
    registration.isDraining = registration.isDraining || m_registration.isDraining;
    // The list of registrations is passed on again when any of them changes. An entry that was not read again tells nothing new.
    bool const wasReadAgain = registration.revision == 0 || registration.revision != m_registration.revision;
    m_registration = std::move(registration);
    if (wasReadAgain)
        recordWarmup(m_registration.warmupLeft, now, now);
    m_isDeregistered = false;
}

void leaf_record::recordSent(call_origin origin, time_point now)
{
    m_rateLimit.recordCall(origin, now);
    if (isCold(now))
        m_coldShare.recordCall(now);
    m_lastSentAt = now;
    // What has decayed while the leaf was idle must not come back with its next call.
    m_errorRate = recentErrorRate(now);
    m_inFlightSentAt.push_back(now);
}

void leaf_record::removeFromInFlight(time_point sentAt)
{
    if (auto const found = std::find(m_inFlightSentAt.begin(), m_inFlightSentAt.end(), sentAt); found != m_inFlightSentAt.end())
        m_inFlightSentAt.erase(found);
}

void leaf_record::addSample(double microseconds)
{
    m_averageMachineFactor = m_averageLatencyMicroseconds == 0 ? machineFactor() : m_averageMachineFactor + sampleWeight * (machineFactor() - m_averageMachineFactor);
    m_averageLatencyMicroseconds = m_averageLatencyMicroseconds == 0 ? microseconds : m_averageLatencyMicroseconds + sampleWeight * (microseconds - m_averageLatencyMicroseconds);
}

bool leaf_record::recordLoss(time_point sentAt, time_point now)
{
    if (m_lostAt && sentAt >= *m_lostAt)
        return false;
    m_lostAt = m_lostAt.value_or(now);
    return true;
}

void leaf_record::recordSuccess(time_point sentAt, time_point now)
{
    removeFromInFlight(sentAt);
    addSample(std::chrono::duration<double, std::micro> { now - sentAt }.count());
    m_pause.recordSuccess(sentAt);
    m_lastReplyAt = now;
    m_errorRate -= sampleWeight * m_errorRate;
    m_consecutiveFailures = 0;
    m_backoffUntil = {};
}

void leaf_record::recordError(time_point sentAt, time_point now)
{
    removeFromInFlight(sentAt);
    m_lastReplyAt = now;
    m_errorRate += sampleWeight * (1 - m_errorRate);
}

void leaf_record::recordShed(time_point sentAt, time_point now)
{
    recordError(sentAt, now);
    m_backoffUntil = std::max(m_backoffUntil, now + shedBackoff);
}

void leaf_record::recordFailure(call_failure failure, time_point sentAt, time_point now)
{
    removeFromInFlight(sentAt);
    if (failure == call_failure::cancelled || failure == call_failure::withheld)
        return;
    // A reply that arrived after this call was sent shows that the leaf is alive, so the timeout does not count.
    if (failure == call_failure::timed_out && m_lastReplyAt > sentAt)
        return;
    ++m_consecutiveFailures;
    bool const isOfOneReply = failure == call_failure::broken || failure == call_failure::malformed;
    if (isOfOneReply && m_consecutiveFailures < failuresBeforeBackoff)
        return;
    auto const doublings = std::min(m_consecutiveFailures - 1, maximumBackoffDoublings);
    m_backoffUntil = std::max(m_backoffUntil, now + initialFailureBackoff * (1U << doublings));
    startPace(m_backoffUntil);
}

kernel::duration leaf_record::unresponsiveTime(time_point now) const
{
    // Only calls sent after the last reply count, since the reply to an earlier call may have been lost on its own.
    auto const oldest = std::find_if(m_inFlightSentAt.begin(), m_inFlightSentAt.end(), [&](auto sentAt) { return sentAt > m_lastReplyAt; });
    return oldest == m_inFlightSentAt.end() ? kernel::duration::zero() : now - *oldest;
}

bool leaf_record::isSuspect(time_point now, kernel::duration timeLimit) const
{
    return now < m_backoffUntil || unresponsiveTime(now) > timeLimit;
}

double leaf_record::idleHalfLives(time_point now) const
{
    return m_inFlightSentAt.empty() ? std::max(std::chrono::duration<double> { now - m_lastReplyAt } / idleHalfLife, 0.0) : 0.0;
}

double leaf_record::recentReplyLatency(time_point now, double typicalMicroseconds) const
{
    auto const averageMicroseconds = m_averageLatencyMicroseconds == 0 ? typicalMicroseconds : m_averageLatencyMicroseconds;
    return typicalMicroseconds + (averageMicroseconds - typicalMicroseconds) * std::exp2(-std::min(idleHalfLives(now), maximumHalvings));
}

double leaf_record::recentErrorRate(time_point now) const
{
    return m_errorRate * std::exp2(-idleHalfLives(now));
}

kernel::duration leaf_record::recentCallDuration(time_point now, double typicalMicroseconds) const
{
    auto const latency = std::chrono::duration<double, std::micro> { recentReplyLatency(now, typicalMicroseconds) };
    return std::max(std::chrono::duration_cast<kernel::duration>(latency), unresponsiveTime(now));
}

double leaf_record::delayScore(time_point now, double typicalMicroseconds) const
{
    auto const slots = static_cast<double>(std::max(m_registration.slots, 1U));
    auto const inFlightPerSlot = static_cast<double>(m_inFlightSentAt.size()) / slots;
    // The replies of a cold leaf whose pace follows them show how slow it is.
    bool const isMeasured = isPaced() && m_averageLatencyMicroseconds > 0;
    auto const warmupFactor = isCold(now) && !isMeasured ? coldLatencyFactor : 1;
    // Calls from other daemons are visible only through the load that the leaf reports.
    auto const waitingPerSlot = static_cast<double>(m_load.waiting) / slots;
    return (recentReplyLatency(now, typicalMicroseconds) * machineFactorSinceReplies(now) + 1) * (1 + inFlightPerSlot + waitingPerSlot / 2) * warmupFactor * (1 + errorFactor * recentErrorRate(now));
}

}
