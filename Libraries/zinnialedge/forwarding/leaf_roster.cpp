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
/// Weight of one call in the typical latency over all leafs.
static constexpr double typicalLatencyWeight = 0.01;

leaf_roster::leaf_roster(std::string localDataCentre, kernel::random_hook random)
    : m_localDataCentre(std::move(localDataCentre))
    , m_random(std::move(random))
{
}

std::uint32_t leaf_roster::connectionLimitOf(std::string const& service) const
{
    auto const cap = m_routes ? m_routes->connectionCapOf(service) : service_rules {}.connectionCap;
    auto const connectionsPerDaemon = usedConnectionShare * cap / static_cast<double>(std::max<std::size_t>(m_daemonCount, 1));
    return std::max(1U, static_cast<std::uint32_t>(connectionsPerDaemon));
}

void leaf_roster::setConnectionSharing(route_table_pointer routes, std::size_t daemonCount)
{
    m_routes = std::move(routes);
    m_daemonCount = daemonCount;
    for (auto& [handle, record] : m_leafs)
        record.setConnectionLimit(connectionLimitOf(record.registration().service));
}

void leaf_roster::replaceRegistrations(std::vector<leaf_registration> const& registrations, time_point now)
{
    std::unordered_map<std::string, leaf_handle> kept;
    m_handlesByService.clear();
    for (auto const& each : registrations) {
        auto const known = m_handleById.find(each.id);
        bool const isSameIncarnation = known != m_handleById.end() && at(known->second).registration().startedAt == each.startedAt
            && at(known->second).registration().place == each.place && at(known->second).registration().service == each.service;
        leaf_handle handle = 0;
        if (isSameIncarnation) {
            handle = known->second;
            at(handle).updateRegistration(each, now);
        } else {
            handle = ++m_lastHandle;
            m_leafs.emplace(handle, leaf_record { each, connectionLimitOf(each.service), now });
        }
        kept[each.id] = handle;
        m_handlesByService[each.service].push_back(handle);
    }
    for (auto const& [id, handle] : m_handleById) {
        auto const found = kept.find(id);
        if (found != kept.end() && found->second == handle)
            continue;
        at(handle).markDeregistered();
    }
    m_handleById = std::move(kept);
    // Leafs that are no longer registered are retained until their calls have ended.
    std::unordered_set<leaf_handle> listed;
    for (auto const& [id, handle] : m_handleById)
        listed.insert(handle);
    std::erase_if(m_leafs, [&](auto const& entry) { return !listed.contains(entry.first) && entry.second.inFlight() == 0; });
}

void leaf_roster::recordCallDuration(kernel::duration callDuration)
{
    ++m_typicalLatencySampleCount;
    auto const weight = std::max(typicalLatencyWeight, 1 / static_cast<double>(m_typicalLatencySampleCount));
    m_typicalLatencyMicroseconds += weight * (std::chrono::duration<double, std::micro> { callDuration }.count() - m_typicalLatencyMicroseconds);
}

std::optional<leaf_pick> leaf_roster::pickLeaf(std::string const& service, std::span<leaf_handle const> excluded, kernel::duration timeLimit, time_point now) const
{
    auto const leafs = m_handlesByService.find(service);
    if (leafs == m_handlesByService.end())
        return std::nullopt;
    std::optional<leaf_pick> best;
    double bestDelay = 0;
    auto const offset = leafs->second.empty() ? 0 : m_random() % leafs->second.size();
    for (std::size_t index = 0; index < leafs->second.size(); ++index) {
        auto const handle = leafs->second[(index + offset) % leafs->second.size()];
        auto const& record = at(handle);
        if (!record.acceptsCalls() || !record.hasFreeConnection() || std::find(excluded.begin(), excluded.end(), handle) != excluded.end())
            continue;
        bool const isSuspect = record.isSuspect(now, timeLimit);
        bool const isRemote = record.registration().dataCentre != m_localDataCentre;
        auto const delay = record.delayScore(now, m_typicalLatencyMicroseconds) * (isRemote ? remoteDelayFactor : 1);
        bool const isBetter = !best || (best->isSuspect && !isSuspect) || (best->isSuspect == isSuspect && delay < bestDelay);
        if (!isBetter)
            continue;
        best = leaf_pick { handle, isSuspect };
        bestDelay = delay;
    }
    return best;
}

std::optional<kernel::duration> leaf_roster::recentCallDuration(std::string const& service, time_point now) const
{
    std::optional<kernel::duration> shortestDelay;
    auto const leafs = m_handlesByService.find(service);
    if (leafs == m_handlesByService.end())
        return shortestDelay;
    for (auto const handle : leafs->second) {
        auto const& record = at(handle);
        if (!record.acceptsCalls())
            continue;
        auto const delay = record.recentCallDuration(now, m_typicalLatencyMicroseconds);
        shortestDelay = shortestDelay ? std::min(*shortestDelay, delay) : delay;
    }
    return shortestDelay;
}

bool leaf_roster::hasAcceptingLeaf(std::string const& service, std::span<leaf_handle const> excluded) const
{
    auto const leafs = m_handlesByService.find(service);
    return leafs != m_handlesByService.end() && std::any_of(leafs->second.begin(), leafs->second.end(), [&](auto handle) {
        return at(handle).acceptsCalls() && std::find(excluded.begin(), excluded.end(), handle) == excluded.end();
    });
}

bool leaf_roster::hasHealthyLeafIn(std::string const& service, std::string const& dataCentre, kernel::duration timeLimit, time_point now) const
{
    auto const leafs = m_handlesByService.find(service);
    return leafs != m_handlesByService.end() && std::any_of(leafs->second.begin(), leafs->second.end(), [&](auto handle) {
        auto const& record = at(handle);
        return record.registration().dataCentre == dataCentre && record.acceptsCalls() && record.hasFreeConnection() && !record.isSuspect(now, timeLimit);
    });
}

std::vector<leaf_handle> leaf_roster::leafsIn(std::string const& service, std::string const& dataCentre) const
{
    std::vector<leaf_handle> found;
    if (auto const leafs = m_handlesByService.find(service); leafs != m_handlesByService.end())
        std::copy_if(leafs->second.begin(), leafs->second.end(), std::back_inserter(found), [&](auto handle) { return at(handle).registration().dataCentre == dataCentre; });
    return found;
}

}
