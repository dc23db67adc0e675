#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace zinnialedge::forwarding {

/// Shards that are queried through a daemon of another data centre.
struct relayed_shards {
    std::string dataCentre;
    std::vector<std::size_t> shardIndices;

    bool operator==(relayed_shards const&) const = default;
};

/// Minimum number of shards in a relay call. With fewer shards the additional message costs about as much as it saves.
inline constexpr std::size_t minimumRelayedShards = 4;

/// Assigns shards without a leaf in the local data centre to data centres that have a leaf for them, with few messages between
/// data centres. Shards that are not in the plan are called directly. `hasAcceptingLeaf(shard, dataCentre)` returns whether
/// the data centre has a leaf of the shard that accepts calls.
std::vector<relayed_shards> planRelays(std::vector<std::size_t> remoteShards, std::vector<std::string> const& dataCentres, std::function<bool(std::size_t, std::string const&)> const& hasAcceptingLeaf);

}
