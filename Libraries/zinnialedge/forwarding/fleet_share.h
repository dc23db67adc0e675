#pragma once

#include "Libraries/zinnialedge/allowances/tenant_quotas.h"
#include "Libraries/zinnialedge/model/endpoint.h"
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
    /// Daemons to which complete requests may be passed on while this daemon reaches no leafs.
    std::vector<relay> detours;
    /// Number of equal shares into which the request limit of a leaf is divided; this daemon may use one of them.
    double daemonsSharingLeafLimits { 1 };
    /// Name of this daemon among the daemons that keep quotas together.
    std::string quotaMemberName {};
    /// True when this daemon is one of those that serve callers.
    bool isServingCallers { true };
    /// Other daemons that serve callers and keep quotas together with this one.
    std::vector<allowances::quota_member> quotaMembers {};

    bool operator==(fleet_share const&) const = default;
};

}
