#include "Libraries/zinnialedge/forwarding/leaf_roster.h"

#include <algorithm>
#include <unordered_set>

namespace zinnialedge::forwarding {

using kernel::time_point;

/// Share of a leaf's connections that the daemons use. The rest covers the overlap while daemons join.
static constexpr double usedConnectionShare = 0.85;
/// Factor on the expected delay of leafs in other data centres: a remote leaf is preferred only when the local leafs would
/// take more than this many times as long, because traffic between data centres is charged.
static constexpr double remoteDelayFactor = 3;
/// Time for which a leaf that is no longer registered is remembered. The store's entry of a leaf may lapse and return while the
/// store is away, and a copy of the store may bring back the entry of a leaf that has left.
static constexpr std::chrono::minutes formerLeafRetention { 10 };
/// Longest time without calls of a leaf that starts while its service has calls. Its replies show how much it bears, and without calls its
/// start would last for as long as the other leafs look faster.
static constexpr std::chrono::milliseconds longestIdleStart { 300 };
/// Weight of one call in the typical latency over all leafs.
static constexpr double typicalLatencyWeight = 0.01;

std::uint32_t leaf_roster::connectionLimitOf(std::string const& service) const
{
    auto const cap = m_routes ? m_routes->connectionCapOf(service) : service_rules {}.connectionCap;
    auto const connectionsPerDaemon = usedConnectionShare * cap / static_cast<double>(std::max<std::size_t>(m_daemonCount, 1));
    return std::max(1U, static_cast<std::uint32_t>(connectionsPerDaemon));
}

void leaf_roster::setConnectionSharing(route_table_pointer routes, std::size_t daemonCount, time_point now)
{
    m_routes = std::move(routes);
    m_daemonCount = daemonCount;
    for (auto& [handle, record] : m_leafs) {
        record.setConnectionLimit(connectionLimitOf(record.registration().service));
        record.setStartRules(startRulesOf(record.registration().service, now), now);
    }
}

std::optional<leaf_handle> leaf_roster::findIncarnation(leaf_registration const& registration) const
{
    auto const isSameIncarnation = [&](leaf_handle handle) {
        auto const& known = at(handle).registration();
        return known.startedAt == registration.startedAt && known.place == registration.place && known.service == registration.service;
    };
    if (auto const registered = m_handleById.find(registration.id); registered != m_handleById.end() && isSameIncarnation(registered->second))
        return registered->second;
    if (auto const former = m_formerLeafs.find(registration.id); former != m_formerLeafs.end() && isSameIncarnation(former->second.leaf))
        return former->second.leaf;
    return std::nullopt;
}

void leaf_roster::replaceRegistrations(std::vector<leaf_registration> const& registrations, time_point now)
{
    std::unordered_map<std::string, leaf_handle> kept;
    m_handlesByService.clear();
    for (auto const& each : registrations) {
        auto const known = findIncarnation(each);
        auto const handle = known ? *known : addLeaf(each, now);
        if (known)
            at(handle).updateRegistration(each, now);
        auto& record = at(handle);
        record.setEvacuated(isInEvacuatedDataCentre(record));
        kept[each.id] = handle;
        m_handlesByService[each.service].push_back(handle);
    }
    for (auto const& [id, handle] : m_handleById) {
        auto const found = kept.find(id);
        if (found != kept.end() && found->second == handle)
            continue;
        at(handle).markDeregistered();
        m_formerLeafs[id] = { handle, now };
    }
    m_handleById = std::move(kept);
    m_hasRegistrations = m_hasRegistrations || !registrations.empty();
    std::erase_if(m_formerLeafs, [&](auto const& entry) {
        auto const registered = m_handleById.find(entry.first);
        return now - entry.second.deregisteredAt > formerLeafRetention || (registered != m_handleById.end() && registered->second == entry.second.leaf);
    });
    // Leafs that are no longer registered are retained until their calls have ended.
    std::unordered_set<leaf_handle> retained;
    for (auto const& [id, handle] : m_handleById)
        retained.insert(handle);
    for (auto const& [id, former] : m_formerLeafs)
        retained.insert(former.leaf);
    std::erase_if(m_leafs, [&](auto const& entry) { return !retained.contains(entry.first) && entry.second.inFlight() == 0; });
}

std::size_t leaf_roster::repliedSince(time_point start) const
{
    return static_cast<std::size_t>(std::count_if(m_handleById.begin(), m_handleById.end(), [&](auto const& entry) { return at(entry.second).lastReplyAt() >= start; }));
}

void leaf_roster::recordCallDuration(kernel::duration callDuration)
{
    ++m_typicalLatencySampleCount;
    auto const weight = std::max(typicalLatencyWeight, 1 / static_cast<double>(m_typicalLatencySampleCount));
    m_typicalLatencyMicroseconds += weight * (std::chrono::duration<double, std::micro> { callDuration }.count() - m_typicalLatencyMicroseconds);
}

/// Returns whether the leaf is cold or in its start phase, and has been without calls for too long.
static bool isIdleStart(leaf_record const& record, time_point now)
{
    return record.isPaced() && (record.isStarting() || record.isCold(now)) && record.inFlight() == 0 && now - std::max(record.lastSentAt(), record.paceStartedAt()) >= longestIdleStart;
}

std::optional<leaf_pick> leaf_roster::pickLeaf(std::string const& service, std::span<leaf_handle const> excluded, kernel::duration timeLimit, time_point now, bool mayTryStarting) const
{
    auto const leafs = m_handlesByService.find(service);
    if (leafs == m_handlesByService.end())
        return std::nullopt;
    auto const choice = chooseLeaf(service, excluded, timeLimit, leafs->second.empty() ? 0 : m_random() % leafs->second.size(), now, mayTryStarting);
    m_heldBackCount += choice.heldBackCount;
    return choice.pick;
}

double leaf_roster::expectedDelay(leaf_record const& record, time_point now) const
{
    return record.delayScore(now, m_typicalLatencyMicroseconds) * (record.registration().dataCentre != m_localDataCentre ? remoteDelayFactor : 1);
}

leaf_choice leaf_roster::chooseLeaf(std::string const& service, std::span<leaf_handle const> excluded, kernel::duration timeLimit, std::size_t offset, time_point now, bool mayTryStarting) const
{
    auto const leafs = m_handlesByService.find(service);
    if (leafs == m_handlesByService.end())
        return {};
    std::uint64_t heldBackCount = 0;
    std::optional<leaf_pick> best;
    double bestDelay = 0;
    // The idle leaf to try, of the local data centre if possible.
    std::optional<leaf_handle> idle;
    for (std::size_t index = 0; index < leafs->second.size(); ++index) {
        auto const handle = leafs->second[(index + offset) % leafs->second.size()];
        auto const& record = at(handle);
        if (std::find(excluded.begin(), excluded.end(), handle) != excluded.end())
            continue;
        if (!record.hasRoom(now)) {
            heldBackCount += record.hasColdLimit(now) && record.hasRoomExceptCold(now) ? 1 : 0;
            continue;
        }
        bool const isSuspect = record.isSuspect(now, timeLimit);
        bool const isRemote = record.registration().dataCentre != m_localDataCentre;
        if (mayTryStarting && !isSuspect && isIdleStart(record, now) && (!idle || !isRemote))
            idle = handle;
        auto const delay = expectedDelay(record, now);
        bool const isBetter = !best || (best->isSuspect && !isSuspect) || (best->isSuspect == isSuspect && delay < bestDelay);
        if (!isBetter)
            continue;
        best = leaf_pick { handle, isSuspect };
        bestDelay = delay;
    }
    // A leaf of another data centre is tried only where the calls go to other data centres anyway, because their traffic is charged.
    auto const isLocal = [&](leaf_handle leaf) { return at(leaf).registration().dataCentre == m_localDataCentre; };
    if (idle && (isLocal(*idle) || !isLocal(best->leaf)))
        best = leaf_pick { *idle, false };
    return { best, heldBackCount };
}

std::optional<kernel::duration> leaf_roster::recentCallDuration(std::string const& service, time_point now) const
{
    std::optional<kernel::duration> shortestDelay;
    auto const leafs = m_handlesByService.find(service);
    if (leafs == m_handlesByService.end())
        return shortestDelay;
    for (auto const handle : leafs->second) {
        auto const& record = at(handle);
        if (!record.acceptsCalls(now))
            continue;
        auto const delay = record.recentCallDuration(now, m_typicalLatencyMicroseconds);
        shortestDelay = shortestDelay ? std::min(*shortestDelay, delay) : delay;
    }
    return shortestDelay;
}

bool leaf_roster::hasAcceptingLeaf(std::string const& service, std::span<leaf_handle const> excluded, time_point now) const
{
    auto const leafs = m_handlesByService.find(service);
    return leafs != m_handlesByService.end() && std::any_of(leafs->second.begin(), leafs->second.end(), [&](auto handle) {
        return at(handle).acceptsCalls(now) && std::find(excluded.begin(), excluded.end(), handle) == excluded.end();
    });
}

bool leaf_roster::hasHealthyLeafIn(std::string const& service, std::string const& dataCentre, kernel::duration timeLimit, time_point now) const
{
    auto const leafs = m_handlesByService.find(service);
    return leafs != m_handlesByService.end() && std::any_of(leafs->second.begin(), leafs->second.end(), [&](auto handle) {
        auto const& record = at(handle);
        bool const needsDirectCall = (record.rateLimit().isInForce() || record.hasColdLimit(now)) && dataCentre != m_localDataCentre;
        return record.registration().dataCentre == dataCentre && record.hasRoom(now) && !needsDirectCall && !record.isSuspect(now, timeLimit);
    });
}

void leaf_roster::pauseLeaf(leaf_handle leaf, kernel::duration length, time_point now)
{
    at(leaf).pause(length, now);
    m_lastPauseEnd = std::max(m_lastPauseEnd, at(leaf).currentPause().endsAt());
}

std::optional<leaf_handle> leaf_roster::findLeaf(std::string const& leafId) const
{
    auto const found = m_handleById.find(leafId);
    return found == m_handleById.end() ? std::nullopt : std::optional { found->second };
}

bool leaf_roster::markLeaving(std::string const& leafId)
{
    auto const found = m_handleById.find(leafId);
    return found != m_handleById.end() && at(found->second).markLeaving();
}

std::optional<time_point> leaf_roster::firstPauseEnd(std::string const& service, time_point now) const
{
    std::optional<time_point> earliest;
    auto const leafs = m_handlesByService.find(service);
    if (leafs == m_handlesByService.end() || !hasPausedLeafs(now))
        return earliest;
    for (auto const handle : leafs->second) {
        auto const& record = at(handle);
        if (!record.isAvailable())
            continue;
        if (record.acceptsCalls(now))
            return std::nullopt;
        auto const end = record.currentPause().endsAt();
        earliest = earliest ? std::min(*earliest, end) : end;
    }
    return earliest;
}

double leaf_roster::acceptingShare(std::string const& service, time_point now) const
{
    auto const leafs = m_handlesByService.find(service);
    if (leafs == m_handlesByService.end())
        return 1;
    std::size_t available = 0;
    std::size_t accepting = 0;
    for (auto const handle : leafs->second) {
        auto const& record = at(handle);
        available += record.wouldBeAvailable() ? record.registration().slots : 0;
        accepting += record.acceptsCalls(now) ? record.registration().slots : 0;
    }
    return available == 0 ? 1 : static_cast<double>(accepting) / static_cast<double>(available);
}

std::chrono::milliseconds leaf_roster::warmupTimeOf(std::string const& service) const
{
    auto const* const rules = m_routes ? m_routes->rulesOf(service) : nullptr;
    return rules ? rules->warmupTime.value_or(std::chrono::milliseconds { 0 }) : std::chrono::milliseconds { 0 };
}

void leaf_roster::setEvacuations(std::set<std::string> dataCentres, time_point now)
{
    m_evacuatedDataCentres = std::move(dataCentres);
    // Leafs that are not registered at the moment may return as the same incarnation.
    for (auto& [handle, record] : m_leafs) {
        bool const wasEvacuated = record.isEvacuated();
        record.setEvacuated(isInEvacuatedDataCentre(record));
        if (wasEvacuated && !record.isEvacuated())
            record.becomeCold(warmupTimeOf(record.registration().service), now);
    }
}

std::size_t leaf_roster::evacuatedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_handleById.begin(), m_handleById.end(), [&](auto const& entry) { return at(entry.second).isEvacuated(); }));
}

std::size_t leaf_roster::registeredCountIn(std::string const& dataCentre) const
{
    return static_cast<std::size_t>(std::count_if(m_handleById.begin(), m_handleById.end(), [&](auto const& entry) { return at(entry.second).registration().dataCentre == dataCentre; }));
}

bool leaf_roster::hasEvacuatedLeaf(std::string const& service) const
{
    auto const leafs = m_handlesByService.find(service);
    return leafs != m_handlesByService.end() && std::any_of(leafs->second.begin(), leafs->second.end(), [&](auto handle) { return at(handle).isEvacuated() && at(handle).wouldBeAvailable(); });
}

std::size_t leaf_roster::slotCount(std::string const& service) const
{
    std::size_t count = 0;
    if (auto const leafs = m_handlesByService.find(service); leafs != m_handlesByService.end()) {
        for (auto const handle : leafs->second)
            count += at(handle).isAvailable() ? at(handle).registration().slots : 0;
    }
    return count;
}

std::vector<leaf_handle> leaf_roster::registeredLeafs() const
{
    std::vector<leaf_handle> handles;
    handles.reserve(m_handleById.size());
    for (auto const& [id, handle] : m_handleById)
        handles.push_back(handle);
    return handles;
}

std::size_t leaf_roster::availableCount() const
{
    return static_cast<std::size_t>(std::count_if(m_handleById.begin(), m_handleById.end(), [&](auto const& entry) { return at(entry.second).isAvailable(); }));
}

std::vector<leaf_handle> leaf_roster::chooseProbeTargets(std::size_t count, bool areLatestFirst, std::function<bool(leaf_handle)> const& isSuitable, time_point now) const
{
    auto chosen = registeredLeafs();
    std::erase_if(chosen, [&](auto handle) { return !at(handle).hasRoom(now) || !isSuitable(handle); });
    for (std::size_t index = chosen.size(); index > 1; --index)
        std::swap(chosen[index - 1], chosen[m_random() % index]);
    if (areLatestFirst)
        std::stable_sort(chosen.begin(), chosen.end(), [&](auto left, auto right) { return at(left).lastReplyAt() > at(right).lastReplyAt(); });
    chosen.resize(std::min(chosen.size(), count));
    return chosen;
}

std::vector<leaf_handle> leaf_roster::leafsOf(std::string const& service) const
{
    auto const leafs = m_handlesByService.find(service);
    return leafs == m_handlesByService.end() ? std::vector<leaf_handle> {} : leafs->second;
}

std::vector<leaf_handle> leaf_roster::leafsIn(std::string const& service, std::string const& dataCentre) const
{
    std::vector<leaf_handle> found;
    if (auto const leafs = m_handlesByService.find(service); leafs != m_handlesByService.end())
        std::copy_if(leafs->second.begin(), leafs->second.end(), std::back_inserter(found), [&](auto handle) { return at(handle).registration().dataCentre == dataCentre; });
    return found;
}

}
