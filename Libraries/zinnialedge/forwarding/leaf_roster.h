#pragma once

#include "Libraries/zinnialedge/forwarding/leaf_record.h"
#include "Libraries/zinnialedge/forwarding/route_table.h"
#include "Libraries/zinnialedge/limits/held_maximum.h"
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>

namespace zinnialedge::forwarding {

/// Identifies one incarnation of a leaf in the roster. Handles are never reused.
using leaf_handle = std::uint32_t;

/// Settings for leafs that are cold, start or recover.
struct leaf_start_settings {
    allowances::cold_leaf_tolerance coldLeafs;
    pacing::pace_scope paceScope { pacing::pace_scope::declared };
    /// Time that is added to a time point to get the time since the epoch of the wall clock.
    kernel::duration wallClockOffset {};
};

struct leaf_pick {
    leaf_handle leaf { 0 };
    /// True when no healthy leaf of the service was available.
    bool isSuspect { false };
};

struct leaf_choice {
    std::optional<leaf_pick> pick;
    /// Number of leafs that were passed over because of the request limit of cold leafs.
    std::uint64_t heldBackCount { 0 };
};

/// Holds all leafs by service and selects leafs for calls.
class leaf_roster {
public:
    leaf_roster(std::string localDataCentre, kernel::random_hook, leaf_start_settings = {});

    /// Replaces the list of registered leafs. Records of unchanged incarnations are kept.
    void replaceRegistrations(std::vector<leaf_registration> const&, kernel::time_point now);
    /// Sets the route table with the connection caps, and the number of daemons that share the connections of a leaf.
    void setConnectionSharing(route_table_pointer, std::size_t daemonCount, kernel::time_point now);

    /// Sets the number of daemons that share the request limit of a leaf, and this daemon's place among them. A smaller number counts only
    /// after a hold time.
    void setLimitSharers(double sharers, double phase, kernel::time_point now);
    /// Applies numbers of sharers of cold leafs whose hold time has ended.
    void refreshStartRules(kernel::time_point now);

    /// Sets the data centres to whose leafs nothing may be sent. A leaf whose data centre is no longer among them counts as cold, because
    /// it may have become cold unnoticed.
    void setEvacuations(std::set<std::string>, kernel::time_point now);
    std::set<std::string> const& evacuatedDataCentres() const { return m_evacuatedDataCentres; }
    /// Returns the number of registered leafs in evacuated data centres.
    std::size_t evacuatedCount() const;
    std::size_t registeredCountIn(std::string const& dataCentre) const;
    /// Returns whether the service has a leaf to which calls could be sent if its data centre were not evacuated.
    bool hasEvacuatedLeaf(std::string const& service) const;

    /// Adds the duration of a successful call to the typical latency over all leafs.
    void recordCallDuration(kernel::duration callDuration);

    leaf_record& at(leaf_handle leaf) { return m_leafs.at(leaf); }
    leaf_record const& at(leaf_handle leaf) const { return m_leafs.at(leaf); }
    bool contains(leaf_handle leaf) const { return m_leafs.contains(leaf); }
    std::size_t size() const { return m_handleById.size(); }
    /// Returns the number of registered leafs that have replied since the given time.
    std::size_t repliedSince(kernel::time_point) const;
    /// Returns the typical duration of a successful call over all leafs.
    kernel::duration typicalCallDuration() const { return std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double, std::micro> { m_typicalLatencyMicroseconds }); }

    /// Returns the leaf of the service that is expected to reply first, without the excluded leafs. Returns nothing when no leaf
    /// has a free connection. Leafs of the local data centre are preferred. With `mayTryStarting`, a leaf that starts and has had no call
    /// for some time is returned although another leaf is expected to reply first.
    std::optional<leaf_pick> pickLeaf(std::string const& service, std::span<leaf_handle const> excluded, kernel::duration timeLimit, kernel::time_point now, bool mayTryStarting = false) const;
    /// Returns what pickLeaf() decides, and counts nothing. Leafs that are equal are taken in their order from `offset` on, which pickLeaf()
    /// chooses at random.
    leaf_choice chooseLeaf(std::string const& service, std::span<leaf_handle const> excluded, kernel::duration timeLimit, std::size_t offset, kernel::time_point now, bool mayTryStarting = false) const;
    /// Returns the score in microseconds by which leafs are compared; it is higher for leafs of other data centres.
    double expectedDelay(leaf_record const&, kernel::time_point now) const;
    /// Returns the recent call duration of the fastest leaf of the service; empty when no leaf accepts calls.
    std::optional<kernel::duration> recentCallDuration(std::string const& service, kernel::time_point now) const;
    /// Returns the time at which the first leaf of the service ends its pause, if the service has no leaf that accepts calls but
    /// has leafs that will accept calls after their pauses.
    std::optional<kernel::time_point> firstPauseEnd(std::string const& service, kernel::time_point now) const;
    /// Returns the share of the service's slots that belong to leafs without a pause and outside evacuated data centres.
    double acceptingShare(std::string const& service, kernel::time_point now) const;
    /// Returns whether any leaf of any service is paused.
    bool hasPausedLeafs(kernel::time_point now) const { return now < m_lastPauseEnd; }
    bool hasEvacuations() const { return !m_evacuatedDataCentres.empty(); }
    /// Returns the number of calls that the service's available leafs can run at the same time.
    std::size_t slotCount(std::string const& service) const;
    void pauseLeaf(leaf_handle, kernel::duration length, kernel::time_point now);
    /// Puts a request limit of a leaf in force. Returns whether the limit is new or has changed.
    bool limitLeaf(leaf_handle, double requestsPerSecond, kernel::time_point now);
    /// Returns the handle of the registered leaf with this id.
    std::optional<leaf_handle> findLeaf(std::string const& leafId) const;
    /// Returns the earliest time at which request limits allow a call to a leaf of the service, without the excluded leafs and
    /// behind `callsAhead` other calls. Returns nothing when no leaf accepts calls. Free connections are not checked.
    std::optional<kernel::time_point> nextCallTime(std::string const& service, std::span<leaf_handle const> excluded, std::size_t callsAhead, kernel::time_point now) const;
    /// Returns the mean time between two calls that the request limits of the service's leafs allow.
    kernel::duration limitedCallInterval(std::string const& service, kernel::time_point now) const;
    /// Returns the latency that a call to the leaf usually has, as the other leafs of the service show that do not start themselves, on a
    /// machine as fast as the leaf's. Returns nothing when no other leaf shows it.
    std::optional<kernel::duration> usualLatencyFor(leaf_handle, kernel::time_point now) const;
    /// Returns whether the pace of the service's leafs is determined after a start.
    bool isPaced(std::string const& service) const;
    std::size_t coldCount(kernel::time_point now) const;
    std::size_t startingCount() const;
    /// Returns how often a leaf was passed over because of the request limit of cold leafs.
    std::uint64_t heldBackCount() const { return m_heldBackCount; }
    /// Marks the registered leaf with this id as leaving. Returns false when there is none or when this was known.
    bool markLeaving(std::string const& leafId);
    /// Returns true when the data centre has a healthy leaf of the service with room for a call. In other data centres, leafs
    /// with a request limit, named or for cold leafs, do not count, because a relay would spend its own share of the limit instead of this daemon's.
    bool hasHealthyLeafIn(std::string const& service, std::string const& dataCentre, kernel::duration timeLimit, kernel::time_point now) const;
    /// Returns leafs that have room for a call and satisfy the predicate, those that replied last first, or in random order.
    std::vector<leaf_handle> chooseProbeTargets(std::size_t count, bool areLatestFirst, std::function<bool(leaf_handle)> const& isSuitable, kernel::time_point now) const;
    /// Returns the number of registered leafs that accept calls, or will after a pause.
    std::size_t availableCount() const;
    /// Returns the handles of all registered leafs.
    std::vector<leaf_handle> registeredLeafs() const;
    std::vector<leaf_handle> leafsOf(std::string const& service) const;
    std::vector<leaf_handle> leafsIn(std::string const& service, std::string const& dataCentre) const;
    /// Returns true when a leaf of the service accepts calls, without the excluded leafs. Free connections are not checked.
    bool hasAcceptingLeaf(std::string const& service, std::span<leaf_handle const> excluded, kernel::time_point now) const;
    std::string const& localDataCentre() const { return m_localDataCentre; }

private:
    struct former_leaf {
        leaf_handle leaf { 0 };
        kernel::time_point deregisteredAt;
    };

    std::uint32_t connectionLimitOf(std::string const& service) const;
    leaf_start_rules startRulesOf(std::string const& service, kernel::time_point now) const;
    /// Adds a new incarnation.
    leaf_handle addLeaf(leaf_registration const&, kernel::time_point now);
    /// Returns the known leaf of the same incarnation, whether it is still registered or not.
    std::optional<leaf_handle> findIncarnation(leaf_registration const&) const;

    bool isInEvacuatedDataCentre(leaf_record const& record) const { return m_evacuatedDataCentres.contains(record.registration().dataCentre); }
    /// Returns the time for which the service's leafs are cold after a start; zero when the service declares none.
    std::chrono::milliseconds warmupTimeOf(std::string const& service) const;

    std::string m_localDataCentre;
    kernel::random_hook m_random;
    route_table_pointer m_routes;
    std::size_t m_daemonCount { 1 };
    double m_typicalLatencyMicroseconds { 0 };
    std::uint64_t m_typicalLatencySampleCount { 0 };
    std::unordered_map<leaf_handle, leaf_record> m_leafs;
    std::unordered_map<std::string, leaf_handle> m_handleById;
    /// Leafs that are no longer registered. An incarnation that is registered again keeps its state.
    std::unordered_map<std::string, former_leaf> m_formerLeafs;
    kernel::time_point m_lastPauseEnd;
    std::set<std::string> m_evacuatedDataCentres;
    std::unordered_map<std::string, std::vector<leaf_handle>> m_handlesByService;
    leaf_handle m_lastHandle { 0 };
    limits::held_maximum m_limitSharers;
    leaf_start_settings m_startSettings;
    /// Number of daemons to assume for the limit of cold leafs until this daemon has had time to hear of the others.
    limits::held_maximum m_assumedSharers;
    double m_limitPhase { 0 };
    bool m_hasRegistrations { false };
    mutable std::uint64_t m_heldBackCount { 0 };
};

}
