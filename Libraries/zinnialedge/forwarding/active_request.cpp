#include "Libraries/zinnialedge/forwarding/active_request.h"

#include <algorithm>
#include <cmath>

namespace zinnialedge::forwarding {

/// The share is a decimal fraction and has no exact binary form.
static constexpr double shareTolerance = 1e-9;

bool active_request::mayHaveRun() const
{
    return std::any_of(parts.begin(), parts.end(), [](auto const& part) { return part.mayHaveRun(); });
}

bool active_request::hasLeastShare() const
{
    // The daemon that asks knows what else it has.
    if (isRelayed())
        return true;
    return answered > 0 && static_cast<double>(answered) / static_cast<double>(parts.size()) + shareTolerance >= to->gather.leastShare;
}

bool active_request::canReachLeastShare() const
{
    if (isRelayed())
        return true;
    auto const possible = parts.size() - missing;
    return possible > 0 && static_cast<double>(possible) / static_cast<double>(parts.size()) + shareTolerance >= to->gather.leastShare;
}

bool active_request::lacksManyParts() const
{
    // Slow or failed leafs of a few shards are no congestion.
    static constexpr std::size_t toleratedPart = 7;
    return (parts.size() - answered - leftOut) * toleratedPart > parts.size();
}

std::size_t active_request::spareParts() const
{
    auto const needed = std::ceil(to->gather.leastShare * static_cast<double>(parts.size()) - shareTolerance);
    auto const possible = static_cast<double>(parts.size() - missing);
    return static_cast<std::size_t>(std::max(0.0, possible - std::max(needed, 1.0)));
}

}
