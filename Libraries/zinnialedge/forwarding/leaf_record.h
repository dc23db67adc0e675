#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/forwarding/leaf_pause.h"
#include "Libraries/zinnialedge/forwarding/leaf_rate_limit.h"
#include "Libraries/zinnialedge/forwarding/leaf_registration.h"
#include "Libraries/zinnialedge/forwarding/messages.h"
#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

namespace zinnialedge::forwarding {

/// This daemon's state of one incarnation of a leaf. An incarnation is a run of the leaf from a start to its end.
class leaf_record {
public:
    leaf_record(leaf_registration, std::uint32_t connectionLimit, kernel::time_point now);

    /// Takes a newer registration of the same incarnation. A leaf that drains or leaves does so until its incarnation ends.
    void updateRegistration(leaf_registration, kernel::time_point now);
    void setConnectionLimit(std::uint32_t limit) { m_connectionLimit = limit; }
    void markDeregistered() { m_isDeregistered = true; }
    /// Records that the leaf is cold for at least the given time, unless a later registration says otherwise.
    void becomeCold(kernel::duration remaining, kernel::time_point now) { m_warmupEndsAt = std::max(m_warmupEndsAt, now + remaining); }
    bool isCold(kernel::time_point now) const { return now < m_warmupEndsAt; }
    /// Records whether the leaf's data centre is evacuated, so that nothing may be sent to the leaf.
    void setEvacuated(bool isEvacuated) { m_isEvacuated = isEvacuated; }
    bool isEvacuated() const { return m_isEvacuated; }
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
    void recordLoad(leaf_load const& load) { m_load = load; }

    leaf_registration const& registration() const { return m_registration; }
    bool acceptsCalls(kernel::time_point now) const { return isAvailable() && !m_pause.isActive(now); }
    /// Returns whether a call may be sent now. A leaf that accepts calls may have no free connection, or no room under its limit.
    bool hasRoom(kernel::time_point now) const { return acceptsCalls(now) && hasFreeConnection(now) && m_rateLimit.allowsCall(now); }
    /// Returns whether the leaf accepts calls, except during a pause.
    bool isAvailable() const { return wouldBeAvailable() && !m_isEvacuated; }
    /// Returns whether the leaf would accept calls if its data centre were not evacuated, except during a pause.
    bool wouldBeAvailable() const { return !m_isDeregistered && !m_isMisdirected && !m_isLeaving && !m_registration.isDraining; }
    leaf_pause const& currentPause() const { return m_pause; }
    leaf_rate_limit const& rateLimit() const { return m_rateLimit; }
    bool hasFreeConnection(kernel::time_point now) const { return m_inFlightSentAt.size() < m_pause.inFlightLimit(m_connectionLimit, now); }
    kernel::time_point lastReplyAt() const { return m_lastReplyAt; }
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
    void removeFromInFlight(kernel::time_point sentAt);
    void addSample(double microseconds);
    /// Returns the average latency of recent replies in microseconds. The average decays towards the typical latency while the
    /// leaf gets no calls.
    double recentReplyLatency(kernel::time_point now, double typicalMicroseconds) const;

    leaf_registration m_registration;
    std::uint32_t m_connectionLimit;
    kernel::time_point m_warmupEndsAt;
    std::deque<kernel::time_point> m_inFlightSentAt;
    kernel::time_point m_lastReplyAt;
    kernel::time_point m_backoffUntil;
    double m_averageLatencyMicroseconds { 0 };
    double m_errorRate { 0 };
    unsigned m_consecutiveFailures { 0 };
    leaf_load m_load;
    /// Time since which no reply has come after connections to the leaf ended.
    std::optional<kernel::time_point> m_lostAt;
    bool m_isDeregistered { false };
    bool m_isMisdirected { false };
    bool m_isLeaving { false };
    bool m_isEvacuated { false };
    leaf_pause m_pause;
    leaf_rate_limit m_rateLimit;
};

}
