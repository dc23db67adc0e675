#include "Libraries/zinnialedge/forwarding/relay_plan.h"

#include <algorithm>

namespace zinnialedge::forwarding {

std::vector<relayed_shards> planRelays(std::vector<std::size_t> remoteShards, std::vector<std::string> const& dataCentres, std::function<bool(std::size_t, std::string const&)> const& hasAcceptingLeaf)
{
    std::vector<relayed_shards> plan;
    while (remoteShards.size() >= minimumRelayedShards) {
        relayed_shards largest;
        for (auto const& dataCentre : dataCentres) {
            relayed_shards covered { dataCentre, {} };
            std::copy_if(remoteShards.begin(), remoteShards.end(), std::back_inserter(covered.shardIndices), [&](auto shard) { return hasAcceptingLeaf(shard, dataCentre); });
            if (covered.shardIndices.size() > largest.shardIndices.size())
                largest = std::move(covered);
        }
        if (largest.shardIndices.size() < minimumRelayedShards)
            break;
        std::erase_if(remoteShards, [&](auto shard) { return std::find(largest.shardIndices.begin(), largest.shardIndices.end(), shard) != largest.shardIndices.end(); });
        plan.push_back(std::move(largest));
    }
    return plan;
}

}
