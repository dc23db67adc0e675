#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/limits/concurrency_limit.h"
#include "Libraries/zinnialedge/model/service_declaration.h"
#include "Libraries/zinnialedge/routing/target_lifecycle.h"
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace zinnialedge::routing {

/// Index of a leaf in the leaf table.
using leaf_handle = std::uint32_t;

/// State of one leaf as known to this daemon: declaration, last reported status, calls in flight and observed latency.
class leaf {
public:
    leaf(std::string service, model::target_declaration const&, std::uint32_t connectionShare);

    void redeclare(model::target_declaration const&, std::uint32_t connectionShare);
    void noteStatus(std::vector<std::uint64_t> epochs, std::vector<std::uint64_t> versions, double load, bool isDraining, kernel::time_point now);
    void noteSent(kernel::time_point now);
    /// Records the end of a call. `sentAt` must be a time that was passed to noteSent().
    void noteEnded(kernel::time_point sentAt, kernel::time_point now, bool isAnswer);
    void noteShed();
    void noteRefusedAsDraining();
    /// Marks the leaf as unreachable: no connection is open and none can be opened. The next status marks the leaf as
    /// reachable again, with the limit of a cold start.
    void noteUnreachable();
    /// Sets the number of open connections to the leaf, which bounds the calls in flight.
    void noteConnections(std::uint32_t);
    void noteGone() { m_lifecycle.noteRemoved(); }

    std::string const& service() const { return m_service; }
    std::string const& name() const { return m_name; }
    model::endpoint const& place() const { return m_place; }
    target_state state() const { return m_lifecycle.state(); }
    std::uint32_t inFlight() const { return static_cast<std::uint32_t>(m_sentAt.size()); }
    std::uint32_t limit() const { return m_limit.value(); }
    std::uint32_t connectionShare() const { return m_connectionShare; }
    double reportedLoad() const { return m_reportedLoad; }
    std::chrono::microseconds latency() const { return std::chrono::microseconds { static_cast<std::int64_t>(m_latencyMicroseconds) }; }

    bool isReachable() const { return m_isReachable; }
    bool isTakingNewWork() const { return m_isReachable && m_lifecycle.state() == target_state::serving; }
    bool hasRoom() const { return inFlight() < m_limit.value(); }
    /// Returns true when no call to the leaf is in flight and none was sent within the probe interval.
    bool isProbeDue(kernel::time_point now) const;
    /// Returns the number of calls per second that the leaf completes for this daemon when its limit is fully used.
    double callsPerSecond(kernel::time_point now) const;
    bool isServing(std::uint64_t epoch, std::uint64_t version) const;
    std::vector<std::uint64_t> const& versions() const { return m_versions; }
    std::vector<std::uint64_t> const& epochs() const { return m_epochs; }

    /// Returns the duration of calls to the leaf: the recent average, or the time without a reply while calls are in
    /// flight if that is longer.
    double callMicroseconds(kernel::time_point now) const { return std::max(m_steadyLatencyMicroseconds, silenceMicroseconds(now)); }
    /// Returns the estimated duration of a call that is sent now.
    double expectedDelayMicroseconds(kernel::time_point now) const;

private:
    std::uint32_t maximumInFlight(std::uint32_t connections) const;
    double oldestAgeMicroseconds(kernel::time_point now) const;
    double silenceMicroseconds(kernel::time_point now) const;
    void addSample(double microseconds, kernel::time_point now);

    std::string m_service;
    std::string m_name;
    model::endpoint m_place;
    std::uint32_t m_slots;
    std::uint32_t m_connectionShare;
    limits::concurrency_limit m_limit;
    target_lifecycle m_lifecycle;
    std::vector<std::uint64_t> m_epochs;
    std::vector<std::uint64_t> m_versions;
    std::vector<kernel::time_point> m_sentAt;
    double m_latencyMicroseconds { 0 };
    double m_steadyLatencyMicroseconds { 0 };
    double m_reportedLoad { 0 };
    kernel::time_point m_reportedAt;
    kernel::time_point m_lastSentAt;
    kernel::time_point m_lastSampleAt;
    kernel::time_point m_lastAnswerAt;
    bool m_isReachable { true };
    bool m_isDrainingByItself { false };
    bool m_isDrainingByDeclaration { false };
};

}
