#include "Libraries/zinnialedge/forwarding/relay_plan.h"

#include <algorithm>

namespace zinnialedge::forwarding {

std::vector<relayed_shards> planRelays(std::vector<std::size_t> farPlaces, std::vector<std::string> const& dataCentres, std::function<bool(std::size_t, std::string const&)> const& hasLeaf)
{
    std::vector<relayed_shards> plan;
    while (farPlaces.size() >= leastRelayedShards) {
        relayed_shards best;
        for (auto const& dataCentre : dataCentres) {
            relayed_shards covered { dataCentre, {} };
            std::copy_if(farPlaces.begin(), farPlaces.end(), std::back_inserter(covered.places), [&](auto place) { return hasLeaf(place, dataCentre); });
            if (covered.places.size() > best.places.size())
                best = std::move(covered);
        }
        if (best.places.size() < leastRelayedShards)
            break;
        std::erase_if(farPlaces, [&](auto place) { return std::find(best.places.begin(), best.places.end(), place) != best.places.end(); });
        plan.push_back(std::move(best));
    }
    return plan;
}

}
