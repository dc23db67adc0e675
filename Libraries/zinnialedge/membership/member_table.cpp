#include "Libraries/zinnialedge/membership/member_table.h"

#include <algorithm>

namespace zinnialedge::membership {

/// With at least `sufficientLocalMembers` members in the local data centre, only one in `remoteProbeInterval` probes goes to a
/// member of another data centre.
static constexpr std::size_t sufficientLocalMembers = 32;
/// The same for probes. Traffic between data centres is charged, and the members of a data centre find a dead one together.
static constexpr std::size_t sufficientLocalTargets = 4;
static constexpr std::uint64_t remoteProbeInterval = 4;
static constexpr int selectionAttempts = 8;
/// About twice the number of daemons of a large deployment, since restarted daemons count as new members until the old ones are evicted.
static constexpr std::size_t maximumMembers = 8192;

member_table::member_table(kernel::random_hook random)
    : m_random(std::move(random))
{
}

bool member_table::isLive(std::string const& name) const
{
    return m_members.contains(name) && !m_deadNames.contains(name);
}

bool member_table::isLiveAt(model::endpoint const& endpoint) const
{
    auto const found = m_namesByEndpoint.find(endpoint);
    return found != m_namesByEndpoint.end() && isLive(found->second);
}

member_update const* member_table::find(std::string const& name) const
{
    auto const found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

std::vector<std::string> member_table::apply(member_update const& update, std::string const& localDataCentre, kernel::time_point now)
{
    auto const& name = update.record.name;
    auto const* known = find(name);
    if (known ? !supersedes(update, *known) : !isSelfDeclared(update.status))
        return {};
    // Datagrams are not authenticated, so the number of names that they bring is limited.
    if (!known && m_members.size() >= maximumMembers)
        return {};
    if (known && !isSelfDeclared(update.status) && update.record.incarnation > known->record.incarnation)
        return {}; // A suspect or dead update carries no endpoint, so a new incarnation can't be recorded from such an update.
    std::vector<std::string> changed;
    if (isSelfDeclared(update.status)) {
        auto const holder = m_namesByEndpoint.find(update.record.peerEndpoint);
        if (holder != m_namesByEndpoint.end() && holder->second != name) {
            auto previous = m_members.at(holder->second);
            if (isLive(holder->second) && previous.record.incarnation > update.record.incarnation)
                return {}; // A later process uses this endpoint now, so the update is about a process that has ended.
            if (isLive(holder->second)) {
                previous.status = member_status::dead;
                changed = apply(previous, localDataCentre, now);
            }
        }
        if (known && known->record.peerEndpoint != update.record.peerEndpoint)
            m_namesByEndpoint.erase(known->record.peerEndpoint);
        m_namesByEndpoint[update.record.peerEndpoint] = name;
    }
    bool const wasRecorded = known;
    bool const wasLive = isLive(name);
    auto& member = m_members[name];
    auto record = isSelfDeclared(update.status) ? update.record : member.record;
    // What other members report says nothing about the member's links and strength.
    auto const& declared = isSelfDeclared(update.status) ? update : member;
    member = { std::move(record), update.version, update.status, declared.reachesLeafs, declared.strength };
    if (update.status == member_status::suspect && member.record.dataCentre != localDataCentre)
        m_remoteSuspects.insert(name);
    else
        m_remoteSuspects.erase(name);
    if (update.status == member_status::dead) {
        m_deadNames.insert(name);
        m_namesByDeathTime.emplace(now, name);
    } else {
        m_deadNames.erase(name);
        // A member that was dead may still be listed in its probe order.
        auto& order = member.record.dataCentre == localDataCentre ? m_localOrder : m_remoteOrder;
        bool const isListed = wasRecorded && !wasLive && std::find(order.names.begin(), order.names.end(), name) != order.names.end();
        if (!wasLive && !isListed)
            insertAtRandomIndex(order, name);
    }
    changed.push_back(name);
    return changed;
}

void member_table::insertAtRandomIndex(probe_order& order, std::string const& name)
{
    // The index is random so that the observers of a new member don't all probe the member at the same time.
    auto const index = static_cast<std::ptrdiff_t>(m_random() % (order.names.size() + 1));
    order.names.insert(order.names.begin() + index, name);
}

std::optional<std::string> member_table::takeNextLive(probe_order& order)
{
    while (!order.names.empty()) {
        if (order.nextIndex >= order.names.size()) {
            order.nextIndex = 0;
            for (auto index = order.names.size() - 1; index > 0; --index)
                std::swap(order.names[index], order.names[m_random() % (index + 1)]);
        }
        auto const& name = order.names[order.nextIndex];
        if (isLive(name)) {
            ++order.nextIndex;
            return name;
        }
        order.names.erase(order.names.begin() + static_cast<std::ptrdiff_t>(order.nextIndex));
    }
    return std::nullopt;
}

bool member_table::shouldChooseLocal(std::size_t sufficientCount) const
{
    if (m_localOrder.names.size() >= sufficientCount)
        return m_random() % remoteProbeInterval != 0;
    auto const total = m_localOrder.names.size() + m_remoteOrder.names.size();
    return total > 0 && m_random() % total < m_localOrder.names.size();
}

std::optional<std::string> member_table::takeNextToProbe()
{
    // A remote suspect may be the first sign of a cut, which must be found for all members beyond it.
    bool const isLocal = shouldChooseLocal(m_remoteSuspects.empty() ? sufficientLocalTargets : sufficientLocalMembers);
    auto name = takeNextLive(isLocal ? m_localOrder : m_remoteOrder);
    return name ? name : takeNextLive(isLocal ? m_remoteOrder : m_localOrder);
}

std::optional<std::string> member_table::pickRandomLive(std::string const& excluded)
{
    for (int attempt = 0; attempt < selectionAttempts; ++attempt) {
        auto const& names = shouldChooseLocal(sufficientLocalMembers) ? m_localOrder.names : m_remoteOrder.names;
        if (names.empty())
            continue;
        auto const& name = names[m_random() % names.size()];
        if (name != excluded && isLive(name))
            return name;
    }
    return std::nullopt;
}

member_update const* member_table::findNextDeclared(std::string const& name) const
{
    auto candidate = m_members.upper_bound(name);
    for (std::size_t visitedCount = 0; visitedCount < m_members.size(); ++visitedCount, ++candidate) {
        if (candidate == m_members.end())
            candidate = m_members.begin();
        if (isSelfDeclared(candidate->second.status))
            return &candidate->second;
    }
    return nullptr;
}

void member_table::evictDead(kernel::time_point before)
{
    while (!m_namesByDeathTime.empty() && m_namesByDeathTime.begin()->first <= before) {
        auto const name = m_namesByDeathTime.begin()->second;
        m_namesByDeathTime.erase(m_namesByDeathTime.begin());
        bool const hasLaterDeath = std::any_of(m_namesByDeathTime.begin(), m_namesByDeathTime.end(), [&](auto const& death) { return death.second == name; });
        if (!m_deadNames.contains(name) || hasLaterDeath)
            continue;
        auto const holder = m_namesByEndpoint.find(m_members.at(name).record.peerEndpoint);
        if (holder != m_namesByEndpoint.end() && holder->second == name)
            m_namesByEndpoint.erase(holder);
        m_deadNames.erase(name);
        m_members.erase(name);
    }
}

}
