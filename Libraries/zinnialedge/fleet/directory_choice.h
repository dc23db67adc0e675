#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <string>
#include <vector>

namespace zinnialedge::fleet {

/// A daemon that callers may be sent to.
struct directory_entry {
    std::string name;
    std::string dataCentre;
    model::endpoint place;

    auto operator<=>(directory_entry const&) const = default;
};

/// The daemons that carry the traffic: a few in each data centre, the same for all who choose among the same daemons. A
/// small group keeps its connections to leafs in use and knows more of their queues.
std::vector<directory_entry> chooseGroup(std::vector<directory_entry> const&);

/// The places for a caller in that data centre: those of the group there, or the whole group when they are too few to lose one.
std::vector<model::endpoint> chooseDaemons(std::vector<directory_entry> const&, std::string const& dataCentre);

}
