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

/// Which leafs own each shard in one partition epoch.
struct partition_map {
    std::uint64_t epoch { 0 };
    std::vector<std::vector<leaf_handle>> leafsOfShard;
};

/// The result of looking for a leaf for a call.
struct leaf_choice {
    /// Set when a leaf can take the call now.
    std::optional<leaf_handle> chosen;
    /// True when a leaf could take it later: all that may are at their limit.
    bool isWorthWaiting { false };
    /// True when the leaf that is chosen, or waited for, is much slower than another one of the shard.
    bool isSlow { false };
};

/// What changed for the connections to leafs.
struct leaf_change {
    leaf_handle handle { 0 };
    model::endpoint place;
    /// Zero: close them all.
    std::uint32_t connections { 0 };
};

/// All leafs of the services that this daemon serves, their partition maps, and the choice among them.
class leaf_table {
public:
    /// Takes over a declaration. The map of the epoch before stays until every shard serves the new one.
    std::vector<leaf_change> declare(std::shared_ptr<model::service_declaration const> const&);
    std::vector<leaf_change> remove(std::string const& service);

    std::shared_ptr<model::service_declaration const> findService(std::string const& name) const;
    std::vector<std::string> serviceNames() const;
    leaf& at(leaf_handle);
    leaf const& at(leaf_handle) const;
    std::size_t size() const { return m_leafs.size(); }

    /// The newest snapshot that every shard can serve, or else the one with the widest cover.
    std::optional<model::snapshot> choosePin(std::string const& service);
    /// For a request that reads the shard of its key: the pin above when that shard serves it, or else the newest that it serves.
    std::optional<model::snapshot> choosePinForKey(std::string const& service, std::string const& key);
    /// Called when what a leaf serves, or whether it takes work, has changed.
    void forgetPin(std::string const& service);

    /// True while maps of two partition epochs are in use.
    bool isRepartitioning(std::string const& service) const;
    partition_map const* findMap(std::string const& service, std::uint64_t epoch) const;
    /// From now on choose() takes any leaf with room, whatever its expected delay.
    void chooseAtRandom() { m_isChoosingByDelay = false; }
    /// Whether any leaf of the shard could take one more call now, whatever it serves.
    bool hasRoom(std::string const& service, std::uint64_t epoch, std::uint32_t shard) const;
    /// The better of two leafs of the shard that serve the snapshot, take work and are not excluded. One that is much slower
    /// than the best is not used while the best can be waited for.
    leaf_choice choose(std::string const& service, model::snapshot, std::uint32_t shard, std::span<leaf_handle const> excluded, kernel::time_point now, kernel::random_hook const&) const;
    /// A leaf of the shard that is avoided for being slow, and that no call has tried for a while.
    std::optional<leaf_handle> findProbe(std::string const& service, model::snapshot, std::uint32_t shard, std::span<leaf_handle const> asked, kernel::time_point now) const;
    /// How many calls a second the leafs of the shard that are not avoided serve for this daemon at most.
    double callsPerSecond(std::string const& service, model::snapshot, std::uint32_t shard, kernel::time_point now) const;

private:
    /// A leaf that serves a snapshot, with its expected delay.
    struct candidate {
        leaf_handle handle { 0 };
        double delayMicroseconds { 0 };
        double callMicroseconds { 0 };
        bool isExcluded { false };
    };

    struct service_routes {
        std::shared_ptr<model::service_declaration const> declaration;
        /// Newest first.
        std::vector<partition_map> maps;
        std::map<std::string, leaf_handle> handles;
        std::optional<model::snapshot> pin;
        bool isPinKnown { false };
    };

    leaf_handle declareLeaf(service_routes&, model::target_declaration const&);
    std::vector<leaf_change> retireLeafs(service_routes&);
    std::vector<candidate> findCandidates(std::string const& service, model::snapshot, std::uint32_t shard, std::span<leaf_handle const> excluded, kernel::time_point now) const;
    /// Takes out the excluded leafs and the slow ones.
    std::vector<candidate> keepUsable(std::vector<candidate> const&) const;
    std::size_t countServedShards(partition_map const&, std::uint64_t version) const;
    bool isShardServed(partition_map const&, std::uint32_t shard, std::uint64_t version) const;
    std::optional<model::snapshot> findPin(service_routes const&) const;

    std::map<std::string, service_routes> m_services;
    std::vector<leaf> m_leafs;
    bool m_isChoosingByDelay { true };
};

/// How many connections to one leaf a member of the service's group may hold.
std::uint32_t connectionShare(model::target_declaration const&, std::uint32_t groupSize);

}
