#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/forwarding/leaf_registration.h"
#include "Libraries/zinnialedge/forwarding/messages.h"
#include <deque>

namespace zinnialedge::forwarding {

/// What this daemon knows of one incarnation of a leaf.
class leaf_record {
public:
    leaf_record(leaf_registration, std::uint32_t connectionLimit, kernel::time_point now);

    void renew(leaf_registration, kernel::time_point now);
    void setConnectionLimit(std::uint32_t limit) { m_connectionLimit = limit; }
    void noteGone() { m_isGone = true; }
    /// Another leaf answers at its address.
    void noteMisdirected() { m_isMisdirected = true; }

    void noteSent(kernel::time_point now);
    void noteAnswered(kernel::time_point sentAt, kernel::time_point now);
    /// It ran the call and answered with an error of its own.
    void noteError(kernel::time_point sentAt, kernel::time_point now);
    void noteShed(kernel::time_point sentAt, kernel::time_point now);
    void noteFailed(call_failure, kernel::time_point sentAt, kernel::time_point now);
    void noteLoad(leaf_load const& load) { m_load = load; }

    leaf_registration const& registration() const { return m_registration; }
    bool isTakingNewCalls() const { return !m_isGone && !m_isMisdirected && !m_registration.isDraining; }
    bool hasConnectionLeft() const { return m_inFlight.size() < m_connectionLimit; }
    std::size_t inFlight() const { return m_inFlight.size(); }
    /// How long it has been silent with calls in flight.
    kernel::duration silence(kernel::time_point now) const;
    /// It fails or is silent for longer than `patience`; calls go elsewhere while another leaf is sound.
    bool isSuspect(kernel::time_point now, kernel::duration patience) const;
    /// How long a call sent now is expected to take, in microseconds. `usualMicroseconds` is what leafs take as a rule.
    double expectedDelay(kernel::time_point now, double usualMicroseconds) const;
    /// How long calls have been taking of late, those that are open included; the time in its queue is in it.
    kernel::duration recentDelay(kernel::time_point now, double usualMicroseconds) const;

private:
    void noteEnded(kernel::time_point sentAt);
    void addSample(double microseconds);
    /// Of its answers, in microseconds; fades towards the usual while it gets no calls.
    double recentLatency(kernel::time_point now, double usualMicroseconds) const;

    leaf_registration m_registration;
    std::uint32_t m_connectionLimit;
    kernel::time_point m_warmUntil;
    std::deque<kernel::time_point> m_inFlight;
    kernel::time_point m_lastAnswerAt;
    kernel::time_point m_avoidedUntil;
    double m_latencyMicroseconds { 0 };
    double m_errorShare { 0 };
    unsigned m_failuresInARow { 0 };
    leaf_load m_load;
    bool m_isGone { false };
    bool m_isMisdirected { false };
};

}
