#include "Libraries/zinnialedge/fleet/limit_shares.h"

#include <algorithm>

namespace zinnialedge::fleet {

double countLimitShares(std::size_t groupSize, std::size_t liveDaemonCount, bool isInGroup)
{
    if (groupSize == 0)
        return static_cast<double>(std::max<std::size_t>(liveDaemonCount, 1));
    auto const outsideCount = liveDaemonCount - std::min(liveDaemonCount, groupSize);
    auto const groupShares = static_cast<double>(groupSize) + static_cast<double>(outsideCount) / static_cast<double>(outsideDaemonsPerShare);
    return isInGroup ? groupShares : groupShares * static_cast<double>(outsideDaemonsPerShare);
}

}
