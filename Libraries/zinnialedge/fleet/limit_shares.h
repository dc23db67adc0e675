#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <cstddef>
#include <set>

namespace zinnialedge::fleet {

/// Daemons outside the serving group get few requests, so that this many of them need as much as one daemon in the group.
inline constexpr std::size_t outsideDaemonsPerShare = 4;

/// Returns the number of equal shares into which a leaf's request limit is divided when this daemon uses one of them. All live daemons
/// together use the complete limit. Without a group, all daemons have the same share.
double countLimitShares(std::size_t groupSize, std::size_t liveDaemonCount, bool isInGroup);

/// Returns this daemon's phase among daemons that have equal shares, from 0 to below 1. Daemons that know of each other get phases that are
/// spread evenly. Daemons that each know only themselves get phases that are as good as random.
double limitPhaseAmong(std::set<model::endpoint> const& daemons, model::endpoint const& self);

}
