#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/allowances/usage_report.h"
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace zinnialedge::allowances {

/// Requests per second of one tenant over all daemons together.
struct tenant_quota {
    std::string tenant;
    double requestsPerSecond { 0 };
    /// Number of requests that may exceed the rate at once.
    double burst { 0 };

    auto operator<=>(tenant_quota const&) const = default;
};

/// Number of requests above the quota that all daemons together may accept in any window: a share of the quota, plus a constant.
struct quota_tolerance {
    std::chrono::milliseconds window { 5000 };
    double overage { 0 };
    double slack { 0 };

    auto operator<=>(quota_tolerance const&) const = default;
};

/// Weight of a daemon outside the serving group, which callers reach only until their list of addresses changes. A daemon of the group
/// has the weight 1.
inline constexpr double outsiderWeight = 0.25;

inline double weightOf(bool isInGroup)
{
    return isInGroup ? 1 : outsiderWeight;
}

struct quota_member {
    std::string name;
    model::endpoint endpoint;

    auto operator<=>(quota_member const&) const = default;
};

/// The quotas of all tenants, which the daemons keep together without a coordinator. Does no I/O.
///
/// Each daemon has one token bucket per tenant for the complete fleet. Its own requests consume tokens at once, those of other daemons
/// when they are reported. Requests that others have not acknowledged yet may take at most this daemon's part of the level, so that the
/// sum stays within the quota whatever the others accept meanwhile. A part of the level and of the rate is reserved for each member
/// that is silent.
class tenant_quotas {
public:
    explicit tenant_quotas(kernel::time_point startedAt);

    void setTolerance(quota_tolerance tolerance) { m_tolerance = tolerance; }
    /// Sets the tenants that have a quota. The consumed part of a quota that changes is kept.
    void setQuotas(std::vector<tenant_quota> const&, kernel::time_point now);
    /// Sets this daemon's name and the daemons that serve callers, with or without this daemon.
    void setMembers(std::string ownName, bool isInGroup, std::vector<quota_member> const&, kernel::time_point now);

    /// Takes that this daemon is about to stop, so that it tells the others when it has accepted its last request.
    void setLeaving();

    /// Counts a request and returns true, or returns false when the tenant's quota is exhausted. Tenants without a quota have no limit.
    [[nodiscard]] bool tryConsume(std::string const& tenant, kernel::time_point now);
    /// Takes back the count of a request that reached no leaf.
    void refund(std::string const& tenant, kernel::time_point now);
    /// Returns the time until a request of the tenant may be accepted, if the others accept none.
    kernel::duration retryAfter(std::string const& tenant, kernel::time_point now);
    /// Returns the time between two requests of the tenant that this daemon can accept.
    kernel::duration requestInterval(std::string const& tenant) const;

    void merge(usage_report const&, kernel::time_point now);
    /// Returns the time at which takeReports() has something to send, if quotas are kept.
    std::optional<kernel::time_point> nextReportTime() const;
    /// Returns the reports that are due; each fits into a datagram.
    std::vector<addressed_report> takeReports(kernel::time_point now);

    bool isActive() const { return m_limitedCount > 0; }
    /// Returns whether reports of all members arrive.
    bool isInformed(kernel::time_point now);
    std::size_t silentMemberCount() const { return m_silentCount; }
    std::size_t memberCount() const { return m_memberCount; }
    /// Returns the number of requests that the fleet may accept at once, without the parts that are reserved for silent members.
    double level(std::string const& tenant, kernel::time_point now);

private:
    struct tenant_state {
        std::string name;
        double requestsPerSecond { 0 };
        double burst { 0 };
        double level { 0 };
        /// Number of own requests since the start of the process.
        std::int64_t count { 0 };
        kernel::time_point createdAt;
        /// False until the level is known from a peer or a window has passed since the start.
        bool isLevelKnown { false };
        /// Smallest difference between the levels of the others and the own one, since the last correction.
        std::optional<double> smallestExcess;
    };

    /// What this daemon knows of one tenant's requests at another daemon.
    struct peer_usage {
        std::int64_t count { 0 };
        std::uint64_t sequence { 0 };
        /// Own count that the other daemon has merged.
        std::int64_t acknowledged { 0 };
        std::uint64_t acknowledgedSequence { 0 };
        /// Own count that a silent member has to merge before it counts as informed.
        std::int64_t awaitedCount { 0 };
        double levelAtContact { 0 };
        /// Number of tokens that are kept for the member while it is silent.
        double reserve { 0 };
        /// True until a count arrives after the member was silent.
        bool isOld { true };
        /// True when the next count is taken as known, because a level was adopted that contains it.
        bool isCountKnown { false };
    };

    struct member_state {
        model::endpoint endpoint;
        bool isInGroup { false };
        /// Number of shares of a member of the group that this member may use.
        double weight { 0 };
        bool isSilent { true };
        /// True after the member's last report for some time; nothing is reserved for it, and its counts are kept for its return.
        bool hasEnded { false };
        /// True when the member is heard again and has not merged all own counts yet.
        bool isReturning { false };
        bool wasHeard { false };
        kernel::time_point heardAt;
        kernel::time_point leftGroupAt;
        kernel::time_point firstHeardAt;
        std::uint64_t lastSequence { 0 };
        std::uint64_t earlierReports { 0 };
        bool isAcknowledgementDue { false };
        bool isAnswerDue { false };
        bool areLevelsWanted { false };
        std::vector<peer_usage> usages;
    };

    struct sent_report {
        std::uint64_t sequence { 0 };
        std::vector<std::pair<std::size_t, std::int64_t>> counts;
    };

    /// Fills the buckets, and updates which members are silent.
    void advance(kernel::time_point now);
    void fill(std::size_t index, double seconds);
    /// Makes room for a member whose requests are unknown: it gets its part of all buckets as a reserve.
    void addShare(member_state&);
    /// Gives the reserve of a silent member back to the buckets, or drops it when the member may have used it.
    void removeShare(member_state&, bool isReserveUnused);
    void setWeight(member_state&, double weight);
    void removeMembers(kernel::time_point now);
    /// Removes the earlier incarnation of the daemon at the endpoint.
    void removeFormerIncarnation(std::string const& name, model::endpoint const&);
    void beginSilence(member_state&, kernel::time_point now);
    void endSilence(member_state&);
    void endSilenceIfCaughtUp(member_state&);
    member_state& memberOf(usage_report const&, kernel::time_point now);
    void mergeAcknowledgement(member_state&, usage_acknowledgement const&);
    /// Records the sequence number and returns whether the report is new.
    static bool recordSequence(member_state&, std::uint64_t sequence);
    void mergeUsage(member_state&, usage_report const&, tenant_usage const&, bool isAnswer, kernel::time_point now);
    void adoptLevel(std::size_t index, member_state const& origin, double level);
    void correctLevels();
    bool areLevelsUnknown(kernel::time_point now) const { return now < m_levelsUnknownUntil; }

    double capacity(tenant_state const&) const;
    double allTokens(std::size_t index) const;
    double lowestLevel(tenant_state const&) const;
    /// Returns the number of own requests that some member has not acknowledged.
    std::int64_t unacknowledged(std::size_t index) const;
    /// Returns the number of own requests that may be unacknowledged.
    double allowance(std::size_t index, std::int64_t unacknowledgedCount) const;
    /// Returns the number of requests above the level that all daemons together may have in flight between each other.
    double inFlightTolerance(tenant_state const&) const;
    /// Returns the part of the buckets that is not reserved for silent members, from 0 to 1.
    double activeShare() const;
    std::vector<model::endpoint> receivers() const;
    /// Returns whether this daemon exchanges reports: it serves callers, or has accepted requests lately.
    bool isReporting() const { return (m_isInGroup && !m_isLeaving) || m_lastConsumedAt; }
    /// Appends reports with these tenants' counts, as many as datagrams are needed.
    void appendReports(std::vector<addressed_report>&, std::vector<std::size_t> const& tenants, std::vector<usage_acknowledgement> const&, std::vector<model::endpoint> const& receivers, bool isAnswerWanted, kernel::time_point now);

    quota_tolerance m_tolerance;
    kernel::time_point m_startedAt;
    std::string m_ownName;
    bool m_isInGroup { true };
    std::vector<tenant_state> m_tenants;
    std::unordered_map<std::string, std::size_t> m_indexes;
    std::size_t m_limitedCount { 0 };
    std::map<std::string, member_state> m_members;
    /// Number of members that have not ended, this daemon included.
    std::size_t m_memberCount { 1 };
    std::size_t m_silentCount { 0 };
    double m_totalWeight { 1 };
    double m_silentWeight { 0 };
    kernel::time_point m_filledAt;
    kernel::time_point m_levelsUnknownUntil;
    kernel::time_point m_lastContactAt;
    kernel::time_point m_levelsCorrectedAt;
    std::optional<kernel::time_point> m_lastConsumedAt;
    std::deque<sent_report> m_sentReports;
    std::uint64_t m_lastSequence { 0 };
    kernel::time_point m_lastReportAt;
    kernel::time_point m_lastAnswerAt;
    bool m_isReportUrgent { false };
    bool m_isLeaving { false };
};

}
