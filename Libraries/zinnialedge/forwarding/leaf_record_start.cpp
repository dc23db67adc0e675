// Cold and starting leafs: the limits on their calls, and the speed of their machines.

#include "Libraries/zinnialedge/forwarding/leaf_record.h"

#include <cmath>

namespace zinnialedge::forwarding {

using kernel::time_point;
using pacing::pace_change;

/// Average latency relative to the usual one from which on a leaf counts as slow, and below which it has recovered.
static constexpr int slowFactor = 3;
static constexpr int recoveredFactor = 2;
/// Latency that is tolerated in addition, so that the noise of short calls makes no leaf slow.
static constexpr std::chrono::milliseconds toleratedLatency { 2 };
/// Half-life of a reported machine time, which changes many times a second.
static constexpr std::chrono::duration<double> machineTimeHalfLife { 0.25 };

void leaf_record::setStartRules(leaf_start_rules const& rules, time_point now)
{
    m_coldShare.set(rules.coldRequestsPerSecond, rules.tolerance, rules.position, rules.wallClockOffset, now);
    if (isStarting() && !rules.isPaced)
        m_pause.pace().stop();
    m_pause.setAdaptive(rules.isPaced);
}

void leaf_record::becomeCold(kernel::duration remaining, time_point now)
{
    setWarmupEnd(std::max(m_warmupEndsAt, now + remaining), now);
    m_warmupReadAt = now;
    startPace(now);
}

void leaf_record::recordWarmup(kernel::duration remaining, time_point sentAt, time_point now)
{
    // The reply to an earlier call may have been written before the latest news.
    if (sentAt <= m_warmupReadAt && now + remaining < m_warmupEndsAt)
        return;
    setWarmupEnd(now + remaining, now);
    m_warmupReadAt = sentAt;
}

void leaf_record::setWarmupEnd(time_point end, time_point now)
{
    bool const wasCold = isCold(now);
    m_warmupEndsAt = end;
    if (wasCold || !isCold(now))
        return;
    m_coldShare.restart(now);
    startPace(now);
}

void leaf_record::startPace(time_point now)
{
    if (m_pause.isAdaptive())
        m_pause.startPace(now);
}

std::optional<leaf_phase_event> leaf_record::takePhaseEvent(time_point now)
{
    bool const isKnowable = isPaced() || m_coldShare.hasLimit();
    if (bool const isColdNow = isKnowable && isCold(now); isColdNow != m_isKnownCold) {
        m_isKnownCold = isColdNow;
        return isColdNow ? leaf_phase_event::cold : leaf_phase_event::warm;
    }
    if (isStarting() != m_isKnownStart) {
        m_isKnownStart = isStarting();
        return m_isKnownStart ? leaf_phase_event::start : leaf_phase_event::start_ended;
    }
    return std::nullopt;
}

pace_change leaf_record::recordPace(pacing::call_sample const& sample, time_point now)
{
    if (isStarting())
        return m_pause.pace().record(sample, m_connectionLimit, now);
    if (!isPaced() || !sample.usualLatency || sample.outcome != pacing::call_outcome::served)
        return pace_change::none;
    auto const average = std::chrono::duration<double, std::micro> { m_averageLatencyMicroseconds };
    if (average > *sample.usualLatency * slowFactor + toleratedLatency) {
        m_wasSlow = true;
    } else if (m_wasSlow && average <= *sample.usualLatency * recoveredFactor + toleratedLatency) {
        m_wasSlow = false;
        startPace(now);
    }
    return pace_change::none;
}

time_point leaf_record::nextCallAt(time_point now) const
{
    auto const nextCallAt = std::max(m_rateLimit.nextCallAt(now), m_pause.pace().heldUntil());
    // The warm-up may end before the share of a cold leaf allows the call.
    if (!hasColdLimit(nextCallAt))
        return nextCallAt;
    return std::min(m_coldShare.nextCallAt(nextCallAt), m_warmupEndsAt);
}

kernel::duration leaf_record::callInterval(time_point now) const
{
    return std::max(m_rateLimit.callInterval(), hasColdLimit(now) ? m_coldShare.callInterval() : kernel::duration::zero());
}

std::optional<double> leaf_record::usualSpeedLatency() const
{
    if (m_averageLatencyMicroseconds == 0)
        return std::nullopt;
    return m_averageLatencyMicroseconds / m_averageMachineFactor;
}

double leaf_record::machineFactorSinceReplies(time_point now) const
{
    if (!m_load.machineTime || m_averageMachineFactor == 0)
        return 1;
    auto const halfLives = std::chrono::duration<double> { now - m_loadReadAt } / machineTimeHalfLife;
    return 1 + (machineFactor() / m_averageMachineFactor - 1) * std::exp2(-halfLives);
}

}
