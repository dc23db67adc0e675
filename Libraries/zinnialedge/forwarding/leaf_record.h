#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/allowances/cold_share.h"
#include "Libraries/zinnialedge/forwarding/leaf_pause.h"
#include "Libraries/zinnialedge/forwarding/leaf_rate_limit.h"
#include "Libraries/zinnialedge/forwarding/leaf_registration.h"
#include "Libraries/zinnialedge/forwarding/messages.h"
#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

namespace zinnialedge::forwarding {

/// What the daemon's settings and the declaration of the service say about cold and starting leafs.
struct leaf_start_rules {
    /// Number of requests per second that a cold leaf accepts from all daemons together; zero for no limit.
    double coldRequestsPerSecond { 0 };
    allowances::cold_leaf_tolerance tolerance;
    allowances::fleet_position position;
    kernel::duration wallClockOffset {};
    /// Whether the number of calls in flight is limited while the leaf starts or recovers.
    bool isPaced { false };
};

/// Change of a leaf between phases.
enum class leaf_phase_event {
    cold,
    warm,
    /// A start phase has begun.
    start,
    start_ended,
};

/// This daemon's state of one incarnation of a leaf. An incarnation is a run of the leaf from a start to its end.
class leaf_record {
public:
    leaf_record(leaf_registration, std::uint32_t connectionLimit, kernel::time_point now);

    /// Takes a newer registration of the same incarnation. A leaf that drains or leaves does so until its incarnation ends.
    void updateRegistration(leaf_registration, kernel::time_point now);
    void setConnectionLimit(std::uint32_t limit) { m_connectionLimit = limit; }
    void markDeregistered() { m_isDeregistered = true; }
    /// Takes the rules for the leaf's start, which may have changed.
    void setStartRules(leaf_start_rules const&, kernel::time_point now);
    /// Records that the leaf is cold for at least the given time, unless a registration or a reply says otherwise later.
    void becomeCold(kernel::duration remaining, kernel::time_point now);
    /// Records the remaining warm-up time that a leaf told in a reply to a call that was sent at `sentAt`.
    void recordWarmup(kernel::duration remaining, kernel::time_point sentAt, kernel::time_point now);
    bool isCold(kernel::time_point now) const { return now < m_warmupEndsAt; }
    /// Records whether the leaf's data centre is evacuated, so that nothing may be sent to the leaf.
    void setEvacuated(bool isEvacuated) { m_isEvacuated = isEvacuated; }
    bool isEvacuated() const { return m_isEvacuated; }
    kernel::time_point warmupEnd() const { return m_warmupEndsAt; }
    /// Returns whether a request limit for cold leafs is in force.
    bool hasColdLimit(kernel::time_point now) const { return isCold(now) && m_coldShare.hasLimit(); }
    /// Returns whether a call that was chosen at `chosenAt` may still be sent: the leaf has not become cold with a limit since then.
    bool hasStayedInLimit(kernel::time_point chosenAt, kernel::time_point now) const { return !hasColdLimit(now) || chosenAt >= m_coldSince; }
    /// Begins a start phase if the service's leafs are paced.
    void startPace(kernel::time_point now);
    bool isStarting() const { return m_pause.pace().isActive() && m_pause.isAdaptive(); }
    kernel::time_point paceStartedAt() const { return m_pause.pace().startedAt(); }
    bool isPaced() const { return m_pause.isAdaptive(); }
    /// Returns the next change of the leaf's phase that has not been returned yet.
    std::optional<leaf_phase_event> takePhaseEvent(kernel::time_point now);
    /// Records what a call showed about the load that the leaf bears.
    pacing::pace_change recordPace(pacing::call_sample const&, kernel::time_point now);
    /// Records that another leaf answers at this leaf's endpoint.
    void markMisdirected() { m_isMisdirected = true; }
    /// Records that the leaf has said that it is leaving. Returns false when this was known.
    bool markLeaving() { return !std::exchange(m_isLeaving, true); }
    /// Records that the leaf wants no calls for a time.
    void pause(kernel::duration length, kernel::time_point now) { m_pause.extend(length, now); }

    /// Records the limit that the leaf has named. Returns whether the limit is new or has changed.
    bool setRateLimit(double requestsPerSecond, double sharers, kernel::time_point now) { return m_rateLimit.set(requestsPerSecond, sharers, now); }
    /// Sets the number of daemons that share the limit of the leaf.
    void setRateLimitSharers(double sharers, kernel::time_point now) { m_rateLimit.setSharers(sharers, now); }
    /// Records a reply without a limit to a call that was sent at `sentAt`. Returns whether a limit ended.
    bool clearRateLimit(kernel::time_point sentAt) { return m_rateLimit.clear(sentAt); }

    void recordSent(call_origin, kernel::time_point now);
    void recordSuccess(kernel::time_point sentAt, kernel::time_point now);
    /// Records that the leaf ran the call and replied with an error.
    void recordError(kernel::time_point sentAt, kernel::time_point now);
    void recordShed(kernel::time_point sentAt, kernel::time_point now);
    /// Records the end of a probe, whatever came of it.
    void recordProbeEnd(kernel::time_point sentAt) { removeFromInFlight(sentAt); }
    void recordFailure(call_failure, kernel::time_point sentAt, kernel::time_point now);
    /// Records that the connection of a call ended before any byte of the reply. Returns false when the call was sent after the leaf had
    /// been lost already, so that the call can't be the cause.
    bool recordLoss(kernel::time_point sentAt, kernel::time_point now);
    /// Records that the leaf has sent a reply. Returns the time at which it seemed lost, if it did.
    std::optional<kernel::time_point> recordLife() { return std::exchange(m_lostAt, std::nullopt); }
    void recordLoad(leaf_load const& load, kernel::time_point now)
    {
        m_load = load;
        m_loadReadAt = now;
    }

    leaf_registration const& registration() const { return m_registration; }
    bool acceptsCalls(kernel::time_point now) const { return isAvailable() && !m_pause.isActive(now); }
    /// Returns whether a call may be sent now. A leaf that accepts calls may have no free connection, or no room under its limits.
    bool hasRoom(kernel::time_point now) const { return hasRoomExceptCold(now) && !(isCold(now) && !m_coldShare.allowsCall(now)); }
    /// As hasRoom(), without the limit of a cold leaf.
    bool hasRoomExceptCold(kernel::time_point now) const { return acceptsCalls(now) && hasFreeConnection(now) && m_rateLimit.allowsCall(now) && now >= m_pause.pace().heldUntil(); }
    /// Returns whether calls to the leaf have to wait for times that limits set.
    bool isLimited(kernel::time_point now) const { return m_rateLimit.isInForce() || hasColdLimit(now) || now < m_pause.pace().heldUntil(); }
    /// Returns the time at which the limits allow the next call: `now` if they allow one.
    kernel::time_point nextCallAt(kernel::time_point now) const;
    /// Returns the time between two calls that the limits allow; zero when no limit of a rate is in force.
    kernel::duration callInterval(kernel::time_point now) const;
    /// Returns whether the leaf accepts calls, except during a pause.
    bool isAvailable() const { return wouldBeAvailable() && !m_isEvacuated; }
    /// Returns whether the leaf would accept calls if its data centre were not evacuated, except during a pause.
    bool wouldBeAvailable() const { return !m_isDeregistered && !m_isMisdirected && !m_isLeaving && !m_registration.isDraining; }
    leaf_pause const& currentPause() const { return m_pause; }
    leaf_rate_limit const& rateLimit() const { return m_rateLimit; }
    bool hasFreeConnection(kernel::time_point now) const { return m_inFlightSentAt.size() < m_pause.inFlightLimit(m_connectionLimit, now); }
    /// Returns the number of calls that may be in flight now.
    std::size_t inFlightLimit(kernel::time_point now) const { return m_pause.inFlightLimit(m_connectionLimit, now); }
    leaf_load const& load() const { return m_load; }
    /// Returns the time at which the leaf last reported its load, or the epoch of the clock.
    kernel::time_point loadReadAt() const { return m_loadReadAt; }
    /// Returns the share of recent calls with errors. It decays while the leaf gets no calls.
    double recentErrorRate(kernel::time_point now) const;
    kernel::time_point backoffEnd() const { return m_backoffUntil; }
    /// Returns the average latency of recent replies in microseconds, or zero before the first reply.
    double averageLatency() const { return m_averageLatencyMicroseconds; }
    bool isLeaving() const { return m_isLeaving; }
    bool isMisdirected() const { return m_isMisdirected; }
    kernel::time_point lastReplyAt() const { return m_lastReplyAt; }
    kernel::time_point lastSentAt() const { return m_lastSentAt; }
    /// Returns the average latency of recent replies in microseconds on a machine of the usual speed; empty before the first reply.
    std::optional<double> usualSpeedLatency() const;
    /// Returns the factor by which work currently takes longer on the leaf's machine than usual; 1 when unknown.
    double machineFactor() const { return static_cast<double>(m_load.machineTime.value_or(usualMachineTime)) / usualMachineTime; }
    std::size_t inFlight() const { return m_inFlightSentAt.size(); }
    /// Returns the time for which the leaf has been unresponsive: the age of the oldest call in flight that was sent after the
    /// last reply, or zero.
    kernel::duration unresponsiveTime(kernel::time_point now) const;
    /// Returns true when the leaf is in back-off or has been unresponsive for longer than `timeLimit`. A suspect leaf gets calls
    /// only when no healthy leaf is available.
    bool isSuspect(kernel::time_point now, kernel::duration timeLimit) const;
    /// Returns a score in microseconds by which leafs are compared: the expected duration of a call that is sent now, increased
    /// by the leaf's error rate. `typicalMicroseconds` is the typical latency over all leafs.
    double delayScore(kernel::time_point now, double typicalMicroseconds) const;
    /// Returns the recent call duration, including the time in the leaf's queue and the age of unanswered calls.
    kernel::duration recentCallDuration(kernel::time_point now, double typicalMicroseconds) const;

private:
    static constexpr std::uint32_t usualMachineTime = 100;

    /// Sets the end of the warm-up. A leaf that was not cold begins a start phase.
    void setWarmupEnd(kernel::time_point end, kernel::time_point now);
    void removeFromInFlight(kernel::time_point sentAt);
    void addSample(double microseconds);
    /// Returns the average latency of recent replies in microseconds. The average decays towards the typical latency while the
    /// leaf gets no calls.
    double recentReplyLatency(kernel::time_point now, double typicalMicroseconds) const;
    /// Returns the time for which the leaf has had no call in flight since its last reply, in half-lives of what was observed of it.
    double idleHalfLives(kernel::time_point now) const;
    /// Returns how much longer work takes on the leaf's machine now than during the calls whose latency was averaged.
    double machineFactorSinceReplies(kernel::time_point now) const;

    leaf_registration m_registration;
    std::uint32_t m_connectionLimit;
    kernel::time_point m_warmupEndsAt;
    /// Begin of the current or last warm-up.
    kernel::time_point m_coldSince;
    /// Time at which the end of the warm-up was learnt.
    kernel::time_point m_warmupReadAt;
    std::deque<kernel::time_point> m_inFlightSentAt;
    kernel::time_point m_lastReplyAt;
    kernel::time_point m_backoffUntil;
    double m_averageLatencyMicroseconds { 0 };
    double m_errorRate { 0 };
    unsigned m_consecutiveFailures { 0 };
    leaf_load m_load;
    kernel::time_point m_loadReadAt;
    /// Moving average of the machine factor over the same calls as the average latency; zero before the first reply.
    double m_averageMachineFactor { 0 };
    kernel::time_point m_lastSentAt;
    /// True while the leaf has been much slower than the other leafs of its service.
    bool m_wasSlow { false };
    /// Time since which no reply has come after connections to the leaf ended.
    std::optional<kernel::time_point> m_lostAt;
    bool m_isDeregistered { false };
    bool m_isMisdirected { false };
    bool m_isLeaving { false };
    bool m_isEvacuated { false };
    leaf_pause m_pause;
    leaf_rate_limit m_rateLimit;
    // Phases that takePhaseEvent() has returned.
    bool m_isKnownCold { false };
    bool m_isKnownStart { false };
    allowances::cold_share m_coldShare;
};

}
