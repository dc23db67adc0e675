#include "Libraries/zinnialedge/membership/member_table.h"

#include <algorithm>

namespace zinnialedge::membership {

/// With so many members in the own data centre, only one probe of so many goes to another one.
static constexpr std::size_t enoughNearMembers = 32;
static constexpr std::uint64_t farProbeInterval = 4;
static constexpr int pickAttempts = 8;

member_table::member_table(kernel::random_hook random)
    : m_random(std::move(random))
{
}

bool member_table::isLiving(std::string const& name) const
{
    return m_members.contains(name) && !m_dead.contains(name);
}

bool member_table::isLivingAt(model::endpoint const& place) const
{
    auto const found = m_byPlace.find(place);
    return found != m_byPlace.end() && isLiving(found->second);
}

member_update const* member_table::find(std::string const& name) const
{
    auto const found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

std::vector<std::string> member_table::apply(member_update const& update, std::string const& ownDataCentre, kernel::time_point now)
{
    auto const& name = update.record.name;
    auto const* known = find(name);
    if (known ? !supersedes(update, *known) : !isDeclared(update.status))
        return {};
    if (known && !isDeclared(update.status) && update.record.incarnation > known->record.incarnation)
        return {}; // The place of that incarnation is not known.
    std::vector<std::string> changed;
    if (isDeclared(update.status)) {
        auto const holder = m_byPlace.find(update.record.peers);
        if (holder != m_byPlace.end() && holder->second != name) {
            auto replaced = m_members.at(holder->second);
            if (isLiving(holder->second) && replaced.record.incarnation > update.record.incarnation)
                return {}; // A process of before, whose address another one has now.
            if (isLiving(holder->second)) {
                replaced.status = member_status::dead;
                changed = apply(replaced, ownDataCentre, now);
            }
        }
        if (known && known->record.peers != update.record.peers)
            m_byPlace.erase(known->record.peers);
        m_byPlace[update.record.peers] = name;
    }
    bool const wasKnown = known;
    bool const wasLiving = isLiving(name);
    auto& member = m_members[name];
    auto record = isDeclared(update.status) ? update.record : member.record;
    member = { std::move(record), update.version, update.status };
    if (update.status == member_status::dead) {
        m_dead.insert(name);
        m_deaths.emplace(now, name);
    } else {
        m_dead.erase(name);
        // A member that was dead may still wait in its order.
        auto& order = member.record.dataCentre == ownDataCentre ? m_near : m_far;
        bool const isListed = wasKnown && !wasLiving && std::find(order.names.begin(), order.names.end(), name) != order.names.end();
        if (!wasLiving && !isListed)
            insert(order, name);
    }
    changed.push_back(name);
    return changed;
}

void member_table::insert(probe_order& order, std::string const& name)
{
    // At a random place, so that many observers don't probe a new member at the same time.
    auto const place = static_cast<std::ptrdiff_t>(m_random() % (order.names.size() + 1));
    order.names.insert(order.names.begin() + place, name);
}

std::optional<std::string> member_table::nextOf(probe_order& order)
{
    while (!order.names.empty()) {
        if (order.next >= order.names.size()) {
            order.next = 0;
            for (auto index = order.names.size() - 1; index > 0; --index)
                std::swap(order.names[index], order.names[m_random() % (index + 1)]);
        }
        auto const& name = order.names[order.next];
        if (isLiving(name)) {
            ++order.next;
            return name;
        }
        order.names.erase(order.names.begin() + static_cast<std::ptrdiff_t>(order.next));
    }
    return std::nullopt;
}

bool member_table::choosesNear() const
{
    if (m_near.names.size() >= enoughNearMembers)
        return m_random() % farProbeInterval != 0;
    auto const total = m_near.names.size() + m_far.names.size();
    return total > 0 && m_random() % total < m_near.names.size();
}

std::optional<std::string> member_table::nextToProbe()
{
    bool const isNear = choosesNear();
    auto name = nextOf(isNear ? m_near : m_far);
    return name ? name : nextOf(isNear ? m_far : m_near);
}

std::optional<std::string> member_table::pick(std::string const& except)
{
    for (int attempt = 0; attempt < pickAttempts; ++attempt) {
        auto const& names = choosesNear() ? m_near.names : m_far.names;
        if (names.empty())
            continue;
        auto const& name = names[m_random() % names.size()];
        if (name != except && isLiving(name))
            return name;
    }
    return std::nullopt;
}

member_update const* member_table::following(std::string const& name) const
{
    auto each = m_members.upper_bound(name);
    for (std::size_t seen = 0; seen < m_members.size(); ++seen, ++each) {
        if (each == m_members.end())
            each = m_members.begin();
        if (isDeclared(each->second.status))
            return &each->second;
    }
    return nullptr;
}

void member_table::forgetDead(kernel::time_point before)
{
    while (!m_deaths.empty() && m_deaths.begin()->first <= before) {
        auto const name = m_deaths.begin()->second;
        m_deaths.erase(m_deaths.begin());
        bool const diedAgain = std::any_of(m_deaths.begin(), m_deaths.end(), [&](auto const& death) { return death.second == name; });
        if (!m_dead.contains(name) || diedAgain)
            continue;
        auto const place = m_byPlace.find(m_members.at(name).record.peers);
        if (place != m_byPlace.end() && place->second == name)
            m_byPlace.erase(place);
        m_dead.erase(name);
        m_members.erase(name);
    }
}

}
