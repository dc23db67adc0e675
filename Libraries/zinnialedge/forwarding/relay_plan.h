#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace zinnialedge::forwarding {

/// Shards that are asked through a daemon of that data centre.
struct relayed_shards {
    std::string dataCentre;
    std::vector<std::size_t> places;

    bool operator==(relayed_shards const&) const = default;
};

/// With fewer shards one message more costs about what it saves.
inline constexpr std::size_t leastRelayedShards = 4;

/// Divides shards that have no leaf in the own data centre among the data centres that have one: as few messages between
/// data centres as will do. What is left out is called directly. `hasLeaf(place, dataCentre)` tells where a shard has one.
std::vector<relayed_shards> planRelays(std::vector<std::size_t> farPlaces, std::vector<std::string> const& dataCentres, std::function<bool(std::size_t, std::string const&)> const& hasLeaf);

}
