#pragma once

#include "Kernel/clock.h"
#include <optional>
#include <string_view>

namespace zinnialedge::forwarding {

/// Time within which a request can be expected to be served.
struct serving_estimate {
    kernel::duration expected {};
    /// What the expectation follows from, for the log.
    std::string_view source;

    bool operator==(serving_estimate const&) const = default;
};

/// Why a daemon that is being stopped rejects a request.
struct stop_conflict {
    serving_estimate estimate;
    kernel::duration timeLeft {};

    bool operator==(stop_conflict const&) const = default;
};

/// Which requests a daemon that is being stopped still takes.
class stop_admission {
public:
    /// From now on, requests that can't be expected to be served until `answersDueAt` are rejected.
    void begin(kernel::time_point answersDueAt) { m_answersDueAt = answersDueAt; }
    /// From now on, all requests are rejected.
    void rejectAll() { m_isRejectingAll = true; }

    bool isUnderWay() const { return m_answersDueAt || m_isRejectingAll; }
    /// Returns the time at which all answers are due; empty while the daemon is not being stopped.
    std::optional<kernel::time_point> const& answersDueAt() const { return m_answersDueAt; }
    bool areAnswersDue(kernel::time_point now) const { return m_answersDueAt && now >= *m_answersDueAt; }
    /// Returns why a request with this estimate is rejected; empty when it is taken.
    std::optional<stop_conflict> findConflict(serving_estimate, kernel::time_point now) const;

private:
    std::optional<kernel::time_point> m_answersDueAt;
    bool m_isRejectingAll { false };
};

}
