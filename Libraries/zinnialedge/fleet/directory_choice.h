#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <optional>
#include <string>
#include <vector>

namespace zinnialedge::fleet {

/// Daemon to which the directory may direct callers.
struct serving_daemon {
    std::string name;
    std::string dataCentre;
    model::endpoint place;
    /// False while the daemon has lost its links to all leafs. It passes requests on to other daemons meanwhile.
    bool reachesLeafs { true };
    /// Processor share of the daemon's VM, in cores. Empty when the daemon does not tell it.
    std::optional<double> strength {};

    auto operator<=>(serving_daemon const&) const = default;
};

/// Returns the daemons that reach leafs, or all of them when none does: a list without any daemon would leave callers nowhere to go.
std::vector<serving_daemon> daemonsWithLeafs(std::vector<serving_daemon>);

/// Returns the daemons that carry the traffic: the strongest few of each data centre, equally strong ones by the hash of their names. If
/// the strength of any daemon is unknown, strengths are ignored, as daemons of earlier versions do. The result depends only on the set
/// of daemons, so all daemons that know the same set compute the same group. A small group keeps its connections to leafs in use and
/// has more information about the leafs' queues.
std::vector<serving_daemon> chooseServingGroup(std::vector<serving_daemon> const&);

/// Returns the endpoints for a caller in the given data centre: the group's endpoints in that data centre, or those of the
/// complete group when the data centre has fewer than two.
std::vector<model::endpoint> chooseEndpoints(std::vector<serving_daemon> const&, std::string const& dataCentre);

}
