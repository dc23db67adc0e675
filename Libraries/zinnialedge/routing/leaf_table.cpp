#include "Libraries/zinnialedge/routing/leaf_table.h"

#include "Kernel/verify.h"
#include <algorithm>
#include <iterator>
#include <set>

namespace zinnialedge::routing {

/// Percentage of a leaf's connections that is kept in reserve for changes of the group's membership.
static constexpr std::uint32_t connectionReservePercent = 15;
static constexpr std::size_t keptMaps = 2;
/// A leaf is slow when its calls take more than this many times as long as those of the fastest leaf.
static constexpr double slowFactor = 3;
/// Calls shorter than this count as this long in the comparison, so that small differences do not make a leaf slow.
static constexpr double negligibleMicroseconds = 3000;
/// One slow leaf of a shard may be avoided for this many leafs, and always at least one.
static constexpr std::size_t avoidedPart = 3;

std::uint32_t connectionShare(model::target_declaration const& target, std::uint32_t groupSize)
{
    auto const usable = target.connectionCap * (100 - connectionReservePercent) / 100;
    return std::max<std::uint32_t>(1, usable / std::max<std::uint32_t>(1, groupSize));
}

std::vector<leaf_change> leaf_table::declare(std::shared_ptr<model::service_declaration const> const& declaration)
{
    auto& routes = m_services[declaration->name];
    routes.declaration = declaration;
    partition_map map { declaration->epoch, std::vector<std::vector<leaf_handle>>(declaration->shardCount) };
    std::vector<leaf_change> changes;
    for (auto const& target : declaration->targets) {
        auto const handle = declareLeaf(routes, target);
        map.leafsOfShard[target.shard].push_back(handle);
        changes.push_back({ handle, target.place, at(handle).connectionShare() });
    }
    if (!routes.maps.empty() && routes.maps.front().epoch == map.epoch)
        routes.maps.front() = std::move(map);
    else
        routes.maps.insert(routes.maps.begin(), std::move(map));
    if (routes.maps.size() > keptMaps)
        routes.maps.resize(keptMaps);
    auto retired = retireLeafs(routes);
    changes.insert(changes.end(), retired.begin(), retired.end());
    routes.isPinKnown = false;
    return changes;
}

leaf_handle leaf_table::declareLeaf(service_routes& routes, model::target_declaration const& target)
{
    auto const share = connectionShare(target, routes.declaration->groupSize);
    auto const found = routes.handles.find(target.name);
    if (found != routes.handles.end()) {
        at(found->second).redeclare(target, share);
        return found->second;
    }
    auto const handle = static_cast<leaf_handle>(m_leafs.size());
    m_leafs.emplace_back(routes.declaration->name, target, share);
    routes.handles.emplace(target.name, handle);
    return handle;
}

std::vector<leaf_change> leaf_table::retireLeafs(service_routes& routes)
{
    std::set<leaf_handle> kept;
    for (auto const& map : routes.maps) {
        for (auto const& leafs : map.leafsOfShard)
            kept.insert(leafs.begin(), leafs.end());
    }
    std::vector<leaf_change> changes;
    for (auto entry = routes.handles.begin(); entry != routes.handles.end();) {
        if (kept.contains(entry->second)) {
            ++entry;
            continue;
        }
        at(entry->second).noteGone();
        changes.push_back({ entry->second, at(entry->second).place(), 0 });
        entry = routes.handles.erase(entry);
    }
    return changes;
}

std::vector<leaf_change> leaf_table::remove(std::string const& service)
{
    auto const found = m_services.find(service);
    if (found == m_services.end())
        return {};
    found->second.maps.clear();
    auto changes = retireLeafs(found->second);
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

bool leaf_table::isRepartitioning(std::string const& service) const
{
    auto const found = m_services.find(service);
    return found != m_services.end() && found->second.maps.size() > 1;
}

void leaf_table::forgetPin(std::string const& service)
{
    auto const found = m_services.find(service);
    if (found != m_services.end())
        found->second.isPinKnown = false;
}

std::optional<model::snapshot> leaf_table::choosePin(std::string const& service)
{
    auto const found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    auto& routes = found->second;
    if (!routes.isPinKnown) {
        routes.pin = findPin(routes);
        routes.isPinKnown = true;
    }
    return routes.pin;
}

bool leaf_table::isShardServed(partition_map const& map, std::uint32_t shard, std::uint64_t version) const
{
    auto const& leafs = map.leafsOfShard[shard];
    return std::any_of(leafs.begin(), leafs.end(), [&](auto handle) {
        return at(handle).isTakingNewWork() && at(handle).isServing(map.epoch, version);
    });
}

std::optional<model::snapshot> leaf_table::choosePinForKey(std::string const& service, std::string const& key)
{
    auto const pin = choosePin(service);
    if (!pin)
        return std::nullopt;
    auto const shardIn = [&](partition_map const& map) { return model::shardOfKey(key, static_cast<std::uint32_t>(map.leafsOfShard.size())); };
    auto const* pinned = findMap(service, pin->epoch);
    VERIFY(pinned);
    if (isShardServed(*pinned, shardIn(*pinned), pin->version))
        return pin;
    for (auto const& map : m_services.at(service).maps) {
        auto const shard = shardIn(map);
        std::set<std::uint64_t, std::greater<>> versions;
        for (auto const handle : map.leafsOfShard[shard])
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
    for (std::uint32_t shard = 0; shard < map.leafsOfShard.size(); ++shard)
        served += isShardServed(map, shard, version) ? 1 : 0;
    return served;
}

std::optional<model::snapshot> leaf_table::findPin(service_routes const& routes) const
{
    std::optional<model::snapshot> best;
    double bestCover = 0;
    for (auto const& map : routes.maps) {
        std::set<std::uint64_t, std::greater<>> versions;
        for (auto const& leafs : map.leafsOfShard) {
            for (auto const handle : leafs)
                versions.insert(at(handle).versions().begin(), at(handle).versions().end());
        }
        for (auto const version : versions) {
            double const cover = static_cast<double>(countServedShards(map, version)) / static_cast<double>(map.leafsOfShard.size());
            // Newer epochs and versions come first, so an older snapshot is preferred only when it covers more shards.
            if (cover > bestCover) {
                best = model::snapshot { map.epoch, version };
                bestCover = cover;
            }
        }
    }
    return best;
}

bool leaf_table::hasRoom(std::string const& service, std::uint64_t epoch, std::uint32_t shard) const
{
    auto const* map = findMap(service, epoch);
    if (!map || shard >= map->leafsOfShard.size())
        return false;
    auto const& leafs = map->leafsOfShard[shard];
    return std::any_of(leafs.begin(), leafs.end(), [&](auto handle) { return at(handle).isTakingNewWork() && at(handle).hasRoom(); });
}

std::vector<leaf_table::candidate> leaf_table::findCandidates(std::string const& service, model::snapshot pin, std::uint32_t shard, std::span<leaf_handle const> excluded, kernel::time_point now) const
{
    auto const* map = findMap(service, pin.epoch);
    if (!map || shard >= map->leafsOfShard.size())
        return {};
    std::vector<candidate> candidates;
    for (auto const handle : map->leafsOfShard[shard]) {
        auto const& each = at(handle);
        if (!each.isTakingNewWork() || !each.isServing(pin.epoch, pin.version))
            continue;
        bool const isExcluded = std::find(excluded.begin(), excluded.end(), handle) != excluded.end();
        candidates.push_back({ handle, each.expectedDelayMicroseconds(now), each.callMicroseconds(now), isExcluded });
    }
    std::sort(candidates.begin(), candidates.end(), [](auto const& left, auto const& right) { return left.callMicroseconds < right.callMicroseconds; });
    return candidates;
}

static bool isMuchSlower(double microseconds, double referenceMicroseconds)
{
    return microseconds > slowFactor * std::max(referenceMicroseconds, negligibleMicroseconds);
}

std::vector<leaf_table::candidate> leaf_table::keepUsable(std::vector<candidate> const& candidates) const
{
    std::vector<candidate> usable;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(usable), [](auto const& each) { return !each.isExcluded; });
    if (usable.empty() || !m_isChoosingByDelay)
        return usable;
    double const reference = usable.front().callMicroseconds;
    // If many leafs are slow, the load is the cause, and avoiding these leafs would add load to the others.
    auto const mostAvoided = std::max<std::size_t>(1, candidates.size() / avoidedPart);
    for (std::size_t avoided = 0; avoided < mostAvoided && usable.size() > 1 && isMuchSlower(usable.back().callMicroseconds, reference); ++avoided)
        usable.pop_back();
    return usable;
}

leaf_choice leaf_table::choose(std::string const& service, model::snapshot pin, std::uint32_t shard, std::span<leaf_handle const> excluded, kernel::time_point now, kernel::random_hook const& random) const
{
    auto const candidates = findCandidates(service, pin, shard, excluded, now);
    auto usable = keepUsable(candidates);
    leaf_choice choice;
    choice.isWorthWaiting = !usable.empty();
    choice.isSlow = !usable.empty() && isMuchSlower(usable.front().callMicroseconds, candidates.front().callMicroseconds);
    std::erase_if(usable, [this](auto const& each) { return !at(each.handle).hasRoom(); });
    if (usable.empty())
        return choice;
    auto const first = random() % usable.size();
    choice.chosen = usable[first].handle;
    if (usable.size() == 1 || !m_isChoosingByDelay)
        return choice;
    auto const second = (first + 1 + random() % (usable.size() - 1)) % usable.size();
    if (usable[second].delayMicroseconds < usable[first].delayMicroseconds)
        choice.chosen = usable[second].handle;
    return choice;
}

std::optional<leaf_handle> leaf_table::findProbe(std::string const& service, model::snapshot pin, std::uint32_t shard, std::span<leaf_handle const> asked, kernel::time_point now) const
{
    auto const candidates = findCandidates(service, pin, shard, asked, now);
    for (auto const& each : candidates) {
        if (!each.isExcluded && isMuchSlower(each.callMicroseconds, candidates.front().callMicroseconds) && at(each.handle).isProbeDue(now))
            return each.handle;
    }
    return std::nullopt;
}

double leaf_table::callsPerSecond(std::string const& service, model::snapshot pin, std::uint32_t shard, kernel::time_point now) const
{
    double sum = 0;
    for (auto const& each : keepUsable(findCandidates(service, pin, shard, {}, now)))
        sum += at(each.handle).callsPerSecond(now);
    return sum;
}

}
