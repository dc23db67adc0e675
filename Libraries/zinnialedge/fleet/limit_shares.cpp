#include "Libraries/zinnialedge/fleet/limit_shares.h"

#include <algorithm>
#include <xxhash.h>

namespace zinnialedge::fleet {

static constexpr std::uint64_t phaseSteps = 1'000'000;

double countLimitShares(std::size_t groupSize, std::size_t liveDaemonCount, bool isInGroup)
{
    if (groupSize == 0)
        return static_cast<double>(std::max<std::size_t>(liveDaemonCount, 1));
    auto const outsideCount = liveDaemonCount - std::min(liveDaemonCount, groupSize);
    auto const groupShares = static_cast<double>(groupSize) + static_cast<double>(outsideCount) / static_cast<double>(outsideDaemonsPerShare);
    return isInGroup ? groupShares : groupShares * static_cast<double>(outsideDaemonsPerShare);
}

double limitPhaseAmong(std::set<model::endpoint> const& daemons, model::endpoint const& self)
{
    auto const precedingCount = std::distance(daemons.begin(), daemons.lower_bound(self));
    auto const total = std::max(daemons.size(), static_cast<std::size_t>(precedingCount) + 1);
    auto const name = toString(self);
    auto const fraction = static_cast<double>(XXH3_64bits(name.data(), name.size()) % phaseSteps) / static_cast<double>(phaseSteps);
    return (static_cast<double>(precedingCount) + fraction) / static_cast<double>(total);
}

}
