#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <string>
#include <vector>

namespace zinnialedge::forwarding {

/// Another daemon that calls leafs of its data centre for this one.
struct relay {
    std::string dataCentre;
    model::endpoint place;

    auto operator<=>(relay const&) const = default;
};

/// This daemon's part in the fleet.
struct fleet_share {
    /// By how many daemons the connections to a leaf are shared.
    std::size_t connectionHolders { 1 };
    /// By how many daemons the slack of the extra calls is shared; zero when this daemon has no part of it.
    std::size_t slackHolders { 1 };
    /// Daemons of other data centres that carry traffic.
    std::vector<relay> relays;

    bool operator==(fleet_share const&) const = default;
};

}
