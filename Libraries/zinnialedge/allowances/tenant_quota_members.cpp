// Members with which a daemon keeps quotas, and the parts of the quotas that are theirs.

#include "Libraries/zinnialedge/allowances/tenant_quotas.h"

#include <algorithm>
#include <utility>

namespace zinnialedge::allowances {

using kernel::time_point;

/// Time for which the share of a silent member that no longer serves callers stays reserved. Callers keep addresses for 3 s, and
/// daemons may be cut off from each other.
static constexpr std::chrono::seconds silentMemberHold { 20 };

void tenant_quotas::setMembers(std::string ownName, bool isInGroup, std::vector<quota_member> const& members, time_point now)
{
    advance(now);
    m_ownName = std::move(ownName);
    m_totalWeight += weightOf(isInGroup) - weightOf(m_isInGroup);
    m_isInGroup = isInGroup;
    for (auto& [name, member] : m_members) {
        bool const isListed = std::any_of(members.begin(), members.end(), [&](auto const& each) { return each.name == name; });
        // The share of a member that was never heard is kept for as long as that of others after they leave the group.
        if (member.isInGroup && !isListed && !member.wasHeard)
            member.heardAt = now;
        if (member.isInGroup && !isListed)
            member.leftGroupAt = now;
        member.isInGroup = isListed;
        if (isListed)
            setWeight(member, weightOf(true));
    }
    for (auto const& each : members) {
        auto const found = m_members.find(each.name);
        if (found != m_members.end()) {
            if (found->second.hasEnded)
                addShare(found->second);
            continue;
        }
        removeFormerIncarnation(each.name, each.endpoint);
        auto& added = m_members[each.name];
        added.endpoint = each.endpoint;
        added.isInGroup = true;
        added.weight = weightOf(true);
        added.heardAt = now;
        addShare(added);
        m_isReportUrgent = true;
    }
    removeMembers(now);
}

void tenant_quotas::setLeaving()
{
    m_isLeaving = true;
    if (!m_lastConsumedAt)
        m_lastConsumedAt = m_startedAt;
}

void tenant_quotas::addShare(member_state& member)
{
    auto const share = member.weight / (m_totalWeight + member.weight);
    member.usages.resize(m_tenants.size());
    for (std::size_t index = 0; index < m_tenants.size(); ++index) {
        auto const part = std::max(0.0, allTokens(index)) * share;
        for (auto& [name, other] : m_members)
            other.usages[index].reserve *= 1 - share;
        // A daemon that starts can accept one request before it hears of the others.
        auto& level = m_tenants[index].level;
        if (level > 0)
            level = std::max(std::min(level, 1.0), level * (1 - share));
        member.usages[index].reserve = part;
    }
    member.hasEnded = false;
    member.isSilent = true;
    member.isReturning = false;
    ++m_memberCount;
    ++m_silentCount;
    m_totalWeight += member.weight;
    m_silentWeight += member.weight;
}

void tenant_quotas::setWeight(member_state& member, double weight)
{
    auto const change = weight - std::exchange(member.weight, weight);
    m_totalWeight += member.hasEnded ? 0 : change;
    m_silentWeight += member.hasEnded || !member.isSilent ? 0 : change;
}

void tenant_quotas::removeShare(member_state& member, bool isReserveUnused)
{
    if (member.hasEnded)
        return;
    for (std::size_t index = 0; index < m_tenants.size() && member.isSilent; ++index) {
        m_tenants[index].level += isReserveUnused ? member.usages[index].reserve : 0;
        member.usages[index].reserve = 0;
    }
    m_silentCount -= member.isSilent ? 1 : 0;
    m_silentWeight -= member.isSilent ? member.weight : 0;
    --m_memberCount;
    m_totalWeight -= member.weight;
    member.hasEnded = true;
    member.isSilent = true;
    member.isReturning = false;
}

void tenant_quotas::removeFormerIncarnation(std::string const& name, model::endpoint const& endpoint)
{
    for (auto each = m_members.begin(); each != m_members.end();) {
        if (each->first != name && each->second.endpoint == endpoint) {
            removeShare(each->second, false);
            each = m_members.erase(each);
        } else {
            ++each;
        }
    }
}

void tenant_quotas::removeMembers(time_point now)
{
    for (auto each = m_members.begin(); each != m_members.end();) {
        auto& member = each->second;
        if (!member.isInGroup && !member.hasEnded && now - member.heardAt >= silentMemberHold) {
            removeShare(member, true);
            each = m_members.erase(each);
        } else {
            ++each;
        }
    }
}

}
