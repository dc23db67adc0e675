#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/model/query.h"
#include "Libraries/zinnialedge/routing/leaf.h"
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace zinnialedge::routing {

/// Leafs that own each shard in one partition epoch.
struct partition_map {
    std::uint64_t epoch { 0 };
    std::vector<std::vector<leaf_handle>> leafsByShard;
};

/// Result of the search for a leaf that can take a call.
struct leaf_choice {
    /// Leaf that can take the call now, if any.
    std::optional<leaf_handle> chosenLeaf;
    /// True when the shard has a leaf that may take the call, now or once its calls in flight fall below its limit.
    bool hasUsableLeaf { false };
    /// True when the fastest leaf that may take the call is much slower than the fastest leaf of the shard.
    bool isFastestUsableLeafSlow { false };
};

/// Change of the number of connections to one leaf.
struct leaf_connection_change {
    leaf_handle handle { 0 };
    model::endpoint endpoint;
    /// Number of connections to keep open; zero closes all of them.
    std::uint32_t connections { 0 };
};

/// Holds the leafs and partition maps of all services that this daemon serves, and chooses the leaf for each call.
class leaf_table {
public:
    /// Applies a declaration and returns the connection changes. Keeps the map of the previous epoch, so that queries can use that
    /// epoch while shards do not serve the new epoch yet.
    std::vector<leaf_connection_change> applyDeclaration(std::shared_ptr<model::service_declaration const> const&);
    std::vector<leaf_connection_change> removeService(std::string const& service);

    std::shared_ptr<model::service_declaration const> findService(std::string const& name) const;
    std::vector<std::string> serviceNames() const;
    leaf& at(leaf_handle);
    leaf const& at(leaf_handle) const;
    std::size_t size() const { return m_leafs.size(); }

    /// Returns the newest snapshot that every shard serves, or else the snapshot that the largest part of the shards serves.
    /// The pin is the snapshot under which all shards of a query are read.
    std::optional<model::snapshot> choosePin(std::string const& service);
    /// Returns the pin for a request that reads only the shard of its key: the result of choosePin() when that shard serves
    /// that snapshot, or else the newest snapshot that the shard serves.
    std::optional<model::snapshot> choosePinForShardOfKey(std::string const& service, std::string const& key);
    /// Drops the cached pin of the service. Must be called when a leaf serves other snapshots, or starts or stops taking work.
    void invalidatePin(std::string const& service);

    /// Returns true while the maps of two partition epochs are in use.
    bool hasTwoPartitionMaps(std::string const& service) const;
    partition_map const* findMap(std::string const& service, std::uint64_t epoch) const;
    /// Makes chooseLeaf() select any leaf with free capacity at random, regardless of its expected delay.
    void disableDelayComparison() { m_isComparingDelays = false; }
    /// Returns true when a leaf of the shard could take one more call now, regardless of the snapshots that the leaf serves.
    bool hasLeafWithFreeCapacity(std::string const& service, std::uint64_t epoch, std::uint32_t shard) const;
    /// Chooses the leaf with the shorter expected delay of two random leafs of the shard that serve the snapshot, take work
    /// and are not excluded. Leafs that are much slower than the fastest leaf are avoided, even when the fastest leaf is at its limit.
    leaf_choice chooseLeaf(std::string const& service, model::snapshot, std::uint32_t shard, std::span<leaf_handle const> excluded, kernel::time_point now, kernel::random_hook const&) const;
    /// Returns a leaf of the shard that is avoided because it is slow and that is due for a probe, if any.
    std::optional<leaf_handle> findLeafToProbe(std::string const& service, model::snapshot, std::uint32_t shard, std::span<leaf_handle const> calledLeafs, kernel::time_point now) const;
    /// Returns the maximum number of calls per second that the leafs of the shard complete for this daemon, without the
    /// avoided leafs.
    double maximumCallsPerSecond(std::string const& service, model::snapshot, std::uint32_t shard, kernel::time_point now) const;

private:
    /// Leaf that serves the wanted snapshot, with the estimates by which leafs are compared.
    struct candidate {
        leaf_handle handle { 0 };
        double expectedDelayMicroseconds { 0 };
        double recentCallMicroseconds { 0 };
        bool isExcluded { false };
    };

    struct service_routes {
        std::shared_ptr<model::service_declaration const> declaration;
        /// Partition maps in use, newest epoch first.
        std::vector<partition_map> maps;
        std::map<std::string, leaf_handle> handleByName;
        std::optional<model::snapshot> cachedPin;
        bool isPinCached { false };
    };

    leaf_handle addOrUpdateLeaf(service_routes&, model::target_declaration const&);
    std::vector<leaf_connection_change> removeUnmappedLeafs(service_routes&);
    std::vector<candidate> findCandidates(std::string const& service, model::snapshot, std::uint32_t shard, std::span<leaf_handle const> excluded, kernel::time_point now) const;
    /// Returns the candidates without the excluded leafs and without the slow leafs that are avoided.
    std::vector<candidate> selectUsable(std::vector<candidate> const&) const;
    std::size_t countServedShards(partition_map const&, std::uint64_t version) const;
    bool isShardServed(partition_map const&, std::uint32_t shard, std::uint64_t version) const;
    std::optional<model::snapshot> computePin(service_routes const&) const;

    std::map<std::string, service_routes> m_services;
    std::vector<leaf> m_leafs;
    bool m_isComparingDelays { true };
};

/// Returns the number of connections to one leaf that each member of the service's group may hold.
std::uint32_t connectionShare(model::target_declaration const&, std::uint32_t daemonGroupSize);

}
