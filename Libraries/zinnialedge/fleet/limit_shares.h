#pragma once

#include <cstddef>

namespace zinnialedge::fleet {

/// Daemons outside the serving group get few requests, so that this many of them need as much as one daemon in the group.
inline constexpr std::size_t outsideDaemonsPerShare = 4;

/// Returns the number of equal shares into which a leaf's request limit is divided when this daemon uses one of them. All live daemons
/// together use the complete limit. Without a group, all daemons have the same share.
double countLimitShares(std::size_t groupSize, std::size_t liveDaemonCount, bool isInGroup);

}
