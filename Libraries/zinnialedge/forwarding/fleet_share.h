#pragma once

#include "Libraries/zinnialedge/allowances/tenant_quotas.h"
#include "Libraries/zinnialedge/model/endpoint.h"
#include <optional>
#include <string>
#include <vector>

namespace zinnialedge::forwarding {

/// Daemon that calls leafs on behalf of this daemon.
struct relay {
    std::string dataCentre;
    model::endpoint endpoint;

    auto operator<=>(relay const&) const = default;
};

/// This daemon's share of limits that apply to the fleet, and the relays that this daemon can use.
struct fleet_share {
    /// Number of daemons that share the connections to a leaf.
    std::size_t daemonsSharingConnections { 1 };
    /// Number of daemons that share the slack of extra calls; zero when this daemon has no share of the slack.
    std::size_t daemonsSharingSlack { 1 };
    /// Daemons of other data centres that serve traffic.
    std::vector<relay> relays;
    /// Daemons of the serving group to which complete requests may be passed on, without this one.
    std::vector<relay> detours;
    /// This daemon as the others list it, if it belongs to the serving group and reaches leafs.
    std::optional<relay> self {};
    /// Number of equal shares into which the request limit of a leaf is divided; this daemon may use one of them.
    double daemonsSharingLeafLimits { 1 };
    /// Share of the daemons with an equal share that come before this one, from 0 to below 1.
    double limitPhase { 0 };
    /// Name of this daemon among the daemons that keep quotas together.
    std::string quotaMemberName {};
    /// True when this daemon is one of those that serve callers.
    bool isServingCallers { true };
    /// Other daemons that serve callers and keep quotas together with this one.
    std::vector<allowances::quota_member> quotaMembers {};

    bool operator==(fleet_share const&) const = default;
};

}
