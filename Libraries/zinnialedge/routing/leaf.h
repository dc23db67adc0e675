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

    void updateDeclaration(model::target_declaration const&, std::uint32_t connectionShare);
    void recordStatus(std::vector<std::uint64_t> epochs, std::vector<std::uint64_t> versions, double load, bool isDraining, kernel::time_point now);
    void recordCallSent(kernel::time_point now);
    /// Records the end of a call. `sentAt` must be a time that was passed to recordCallSent().
    void recordCallEnded(kernel::time_point sentAt, kernel::time_point now, bool wasAnswered);
    void recordShed();
    void recordDrainingRefusal();
    /// Marks the leaf as unreachable: no connection is open and none can be opened. The next status marks the leaf as
    /// reachable again, with the limit of a cold start.
    void markUnreachable();
    /// Sets the number of open connections to the leaf, which bounds the calls in flight.
    void setOpenConnections(std::uint32_t);
    void markRemoved() { m_lifecycle.handleRemoval(); }

    std::string const& service() const { return m_service; }
    std::string const& name() const { return m_name; }
    model::endpoint const& endpoint() const { return m_endpoint; }
    target_state state() const { return m_lifecycle.state(); }
    std::uint32_t inFlight() const { return static_cast<std::uint32_t>(m_sendTimes.size()); }
    std::uint32_t limit() const { return m_callLimit.value(); }
    std::uint32_t connectionShare() const { return m_connectionShare; }
    double reportedLoad() const { return m_reportedLoad; }
    std::chrono::microseconds latency() const { return std::chrono::microseconds { static_cast<std::int64_t>(m_averageLatencyMicroseconds) }; }

    bool isReachable() const { return m_isReachable; }
    bool isAcceptingCalls() const { return m_isReachable && m_lifecycle.state() == target_state::serving; }
    bool hasFreeCapacity() const { return inFlight() < m_callLimit.value(); }
    /// Returns true when no call to the leaf is in flight and none was sent within the probe interval.
    bool isProbeDue(kernel::time_point now) const;
    /// Returns the number of calls per second that the leaf completes for this daemon when its limit is fully used.
    double maximumCallsPerSecond(kernel::time_point now) const;
    bool servesSnapshot(std::uint64_t epoch, std::uint64_t version) const;
    std::vector<std::uint64_t> const& versions() const { return m_versions; }
    std::vector<std::uint64_t> const& epochs() const { return m_epochs; }

    /// Returns the duration of calls to the leaf: the recent average, or the time without a reply while calls are in
    /// flight if that is longer.
    double recentCallMicroseconds(kernel::time_point now) const { return std::max(m_longTermLatencyMicroseconds, unresponsiveMicroseconds(now)); }
    /// Returns the estimated duration of a call that is sent now.
    double expectedDelayMicroseconds(kernel::time_point now) const;

private:
    std::uint32_t maximumCallsInFlight(std::uint32_t connections) const;
    double oldestCallAgeMicroseconds(kernel::time_point now) const;
    double unresponsiveMicroseconds(kernel::time_point now) const;
    void addLatencySample(double microseconds, kernel::time_point now);

    std::string m_service;
    std::string m_name;
    model::endpoint m_endpoint;
    std::uint32_t m_slots;
    std::uint32_t m_connectionShare;
    limits::concurrency_limit m_callLimit;
    target_lifecycle m_lifecycle;
    std::vector<std::uint64_t> m_epochs;
    std::vector<std::uint64_t> m_versions;
    std::vector<kernel::time_point> m_sendTimes;
    double m_averageLatencyMicroseconds { 0 };
    double m_longTermLatencyMicroseconds { 0 };
    double m_reportedLoad { 0 };
    kernel::time_point m_lastStatusAt;
    kernel::time_point m_lastCallSentAt;
    kernel::time_point m_lastSampleAt;
    kernel::time_point m_lastReplyAt;
    bool m_isReachable { true };
    bool m_hasReportedDraining { false };
    bool m_isDeclaredDraining { false };
};

}
