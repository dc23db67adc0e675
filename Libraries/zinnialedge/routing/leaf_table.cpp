#include "Libraries/zinnialedge/routing/leaf_table.h"

#include "Kernel/verify.h"
#include <algorithm>
#include <iterator>
#include <set>

namespace zinnialedge::routing {

/// Percentage of a leaf's connections that is kept in reserve for changes of the group's membership.
static constexpr std::uint32_t connectionReservePercent = 15;
static constexpr std::size_t retainedMapCount = 2;
/// A leaf is slow when its calls take more than this many times as long as those of the fastest leaf.
static constexpr double slowLeafFactor = 3;
/// Calls shorter than this count as this long in the comparison, so that small differences do not make a leaf slow.
static constexpr double minimumComparedMicroseconds = 3000;
/// One slow leaf of a shard may be avoided for this many leafs, and always at least one.
static constexpr std::size_t leafsPerAvoidedLeaf = 3;

std::uint32_t connectionShare(model::target_declaration const& target, std::uint32_t daemonGroupSize)
{
    auto const usable = target.connectionCap * (100 - connectionReservePercent) / 100;
    return std::max<std::uint32_t>(1, usable / std::max<std::uint32_t>(1, daemonGroupSize));
}

std::vector<leaf_connection_change> leaf_table::applyDeclaration(std::shared_ptr<model::service_declaration const> const& declaration)
{
    auto& routes = m_services[declaration->name];
    routes.declaration = declaration;
    partition_map map { declaration->epoch, std::vector<std::vector<leaf_handle>>(declaration->shardCount) };
    std::vector<leaf_connection_change> changes;
    for (auto const& target : declaration->targets) {
        auto const handle = addOrUpdateLeaf(routes, target);
        map.leafsByShard[target.shard].push_back(handle);
        changes.push_back({ handle, target.place, at(handle).connectionShare() });
    }
    if (!routes.maps.empty() && routes.maps.front().epoch == map.epoch)
        routes.maps.front() = std::move(map);
    else
        routes.maps.insert(routes.maps.begin(), std::move(map));
    if (routes.maps.size() > retainedMapCount)
        routes.maps.resize(retainedMapCount);
    auto retired = removeUnmappedLeafs(routes);
    changes.insert(changes.end(), retired.begin(), retired.end());
    routes.isPinCached = false;
    return changes;
}

leaf_handle leaf_table::addOrUpdateLeaf(service_routes& routes, model::target_declaration const& target)
{
    auto const share = connectionShare(target, routes.declaration->daemonGroupSize);
    auto const found = routes.handleByName.find(target.name);
    if (found != routes.handleByName.end()) {
        at(found->second).updateDeclaration(target, share);
        return found->second;
    }
    auto const handle = static_cast<leaf_handle>(m_leafs.size());
    m_leafs.emplace_back(routes.declaration->name, target, share);
    routes.handleByName.emplace(target.name, handle);
    return handle;
}

std::vector<leaf_connection_change> leaf_table::removeUnmappedLeafs(service_routes& routes)
{
    std::set<leaf_handle> mappedLeafs;
    for (auto const& map : routes.maps) {
        for (auto const& leafs : map.leafsByShard)
            mappedLeafs.insert(leafs.begin(), leafs.end());
    }
    std::vector<leaf_connection_change> changes;
    for (auto entry = routes.handleByName.begin(); entry != routes.handleByName.end();) {
        if (mappedLeafs.contains(entry->second)) {
            ++entry;
            continue;
        }
        at(entry->second).markRemoved();
        changes.push_back({ entry->second, at(entry->second).endpoint(), 0 });
        entry = routes.handleByName.erase(entry);
    }
    return changes;
}

std::vector<leaf_connection_change> leaf_table::removeService(std::string const& service)
{
    auto const found = m_services.find(service);
    if (found == m_services.end())
        return {};
    found->second.maps.clear();
    auto changes = removeUnmappedLeafs(found->second);
    m_services.erase(found);
    return changes;
}

std::shared_ptr<model::service_declaration const> leaf_table::findService(std::string const& name) const
{
    auto const found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second.declaration;
}

std::vector<std::string> leaf_table::serviceNames() const
{
    std::vector<std::string> names;
    names.reserve(m_services.size());
    for (auto const& [name, routes] : m_services)
        names.push_back(name);
    return names;
}

leaf& leaf_table::at(leaf_handle handle)
{
    VERIFY(handle < m_leafs.size());
    return m_leafs[handle];
}

leaf const& leaf_table::at(leaf_handle handle) const
{
    VERIFY(handle < m_leafs.size());
    return m_leafs[handle];
}

partition_map const* leaf_table::findMap(std::string const& service, std::uint64_t epoch) const
{
    auto const found = m_services.find(service);
    if (found == m_services.end())
        return nullptr;
    for (auto const& map : found->second.maps) {
        if (map.epoch == epoch)
            return &map;
    }
    return nullptr;
}

bool leaf_table::hasTwoPartitionMaps(std::string const& service) const
{
    auto const found = m_services.find(service);
    return found != m_services.end() && found->second.maps.size() > 1;
}

void leaf_table::invalidatePin(std::string const& service)
{
    auto const found = m_services.find(service);
    if (found != m_services.end())
        found->second.isPinCached = false;
}

std::optional<model::snapshot> leaf_table::choosePin(std::string const& service)
{
    auto const found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    auto& routes = found->second;
    if (!routes.isPinCached) {
        routes.cachedPin = computePin(routes);
        routes.isPinCached = true;
    }
    return routes.cachedPin;
}

bool leaf_table::isShardServed(partition_map const& map, std::uint32_t shard, std::uint64_t version) const
{
    auto const& leafs = map.leafsByShard[shard];
    return std::any_of(leafs.begin(), leafs.end(), [&](auto handle) {
        return at(handle).isAcceptingCalls() && at(handle).servesSnapshot(map.epoch, version);
    });
}

std::optional<model::snapshot> leaf_table::choosePinForShardOfKey(std::string const& service, std::string const& key)
{
    auto const pin = choosePin(service);
    if (!pin)
        return std::nullopt;
    auto const shardOf = [&](partition_map const& map) { return model::shardOfKey(key, static_cast<std::uint32_t>(map.leafsByShard.size())); };
    auto const* pinned = findMap(service, pin->epoch);
    VERIFY(pinned);
    if (isShardServed(*pinned, shardOf(*pinned), pin->version))
        return pin;
    for (auto const& map : m_services.at(service).maps) {
        auto const shard = shardOf(map);
        std::set<std::uint64_t, std::greater<>> versions;
        for (auto const handle : map.leafsByShard[shard])
            versions.insert(at(handle).versions().begin(), at(handle).versions().end());
        for (auto const version : versions) {
            if (isShardServed(map, shard, version))
                return model::snapshot { map.epoch, version };
        }
    }
    return pin;
}

std::size_t leaf_table::countServedShards(partition_map const& map, std::uint64_t version) const
{
    std::size_t served = 0;
    for (std::uint32_t shard = 0; shard < map.leafsByShard.size(); ++shard)
        served += isShardServed(map, shard, version) ? 1 : 0;
    return served;
}

std::optional<model::snapshot> leaf_table::computePin(service_routes const& routes) const
{
    std::optional<model::snapshot> best;
    double bestCoverage = 0;
    for (auto const& map : routes.maps) {
        std::set<std::uint64_t, std::greater<>> versions;
        for (auto const& leafs : map.leafsByShard) {
            for (auto const handle : leafs)
                versions.insert(at(handle).versions().begin(), at(handle).versions().end());
        }
        for (auto const version : versions) {
            double const coverage = static_cast<double>(countServedShards(map, version)) / static_cast<double>(map.leafsByShard.size());
            // Newer epochs and versions come first, so an older snapshot is preferred only when it covers more shards.
            if (coverage > bestCoverage) {
                best = model::snapshot { map.epoch, version };
                bestCoverage = coverage;
            }
        }
    }
    return best;
}

bool leaf_table::hasLeafWithFreeCapacity(std::string const& service, std::uint64_t epoch, std::uint32_t shard) const
{
    auto const* map = findMap(service, epoch);
    if (!map || shard >= map->leafsByShard.size())
        return false;
    auto const& leafs = map->leafsByShard[shard];
    return std::any_of(leafs.begin(), leafs.end(), [&](auto handle) { return at(handle).isAcceptingCalls() && at(handle).hasFreeCapacity(); });
}

std::vector<leaf_table::candidate> leaf_table::findCandidates(std::string const& service, model::snapshot pin, std::uint32_t shard, std::span<leaf_handle const> excluded, kernel::time_point now) const
{
    auto const* map = findMap(service, pin.epoch);
    if (!map || shard >= map->leafsByShard.size())
        return {};
    std::vector<candidate> candidates;
    for (auto const handle : map->leafsByShard[shard]) {
        auto const& each = at(handle);
        if (!each.isAcceptingCalls() || !each.servesSnapshot(pin.epoch, pin.version))
            continue;
        bool const isExcluded = std::find(excluded.begin(), excluded.end(), handle) != excluded.end();
        candidates.push_back({ handle, each.expectedDelayMicroseconds(now), each.recentCallMicroseconds(now), isExcluded });
    }
    std::sort(candidates.begin(), candidates.end(), [](auto const& left, auto const& right) { return left.recentCallMicroseconds < right.recentCallMicroseconds; });
    return candidates;
}

static bool isMuchSlower(double microseconds, double referenceMicroseconds)
{
    return microseconds > slowLeafFactor * std::max(referenceMicroseconds, minimumComparedMicroseconds);
}

std::vector<leaf_table::candidate> leaf_table::selectUsable(std::vector<candidate> const& candidates) const
{
    std::vector<candidate> usable;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(usable), [](auto const& each) { return !each.isExcluded; });
    if (usable.empty() || !m_isComparingDelays)
        return usable;
    double const reference = usable.front().recentCallMicroseconds;
    // If many leafs are slow, the load is the cause, and avoiding these leafs would add load to the others.
    auto const maximumAvoidedCount = std::max<std::size_t>(1, candidates.size() / leafsPerAvoidedLeaf);
    for (std::size_t avoided = 0; avoided < maximumAvoidedCount && usable.size() > 1 && isMuchSlower(usable.back().recentCallMicroseconds, reference); ++avoided)
        usable.pop_back();
    return usable;
}

leaf_choice leaf_table::chooseLeaf(std::string const& service, model::snapshot pin, std::uint32_t shard, std::span<leaf_handle const> excluded, kernel::time_point now, kernel::random_hook const& random) const
{
    auto const candidates = findCandidates(service, pin, shard, excluded, now);
    auto usable = selectUsable(candidates);
    leaf_choice choice;
    choice.hasUsableLeaf = !usable.empty();
    choice.isFastestUsableLeafSlow = !usable.empty() && isMuchSlower(usable.front().recentCallMicroseconds, candidates.front().recentCallMicroseconds);
    std::erase_if(usable, [this](auto const& each) { return !at(each.handle).hasFreeCapacity(); });
    if (usable.empty())
        return choice;
    auto const first = random() % usable.size();
    choice.chosenLeaf = usable[first].handle;
    if (usable.size() == 1 || !m_isComparingDelays)
        return choice;
    auto const second = (first + 1 + random() % (usable.size() - 1)) % usable.size();
    if (usable[second].expectedDelayMicroseconds < usable[first].expectedDelayMicroseconds)
        choice.chosenLeaf = usable[second].handle;
    return choice;
}

std::optional<leaf_handle> leaf_table::findLeafToProbe(std::string const& service, model::snapshot pin, std::uint32_t shard, std::span<leaf_handle const> calledLeafs, kernel::time_point now) const
{
    auto const candidates = findCandidates(service, pin, shard, calledLeafs, now);
    for (auto const& each : candidates) {
        if (!each.isExcluded && isMuchSlower(each.recentCallMicroseconds, candidates.front().recentCallMicroseconds) && at(each.handle).isProbeDue(now))
            return each.handle;
    }
    return std::nullopt;
}

double leaf_table::maximumCallsPerSecond(std::string const& service, model::snapshot pin, std::uint32_t shard, kernel::time_point now) const
{
    double sum = 0;
    for (auto const& each : selectUsable(findCandidates(service, pin, shard, {}, now)))
        sum += at(each.handle).maximumCallsPerSecond(now);
    return sum;
}

}
