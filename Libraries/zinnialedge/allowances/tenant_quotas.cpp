#include "Libraries/zinnialedge/allowances/tenant_quotas.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace zinnialedge::allowances {

using kernel::duration;
using kernel::time_point;

/// Maximum level after a start, since an earlier process may have accepted requests of the current window.
static constexpr double initialLevel = 5;
/// Share of the slack by which buckets are larger than the burst, which makes up for reports that arrive late.
static constexpr double bucketSlackShare = 0.25;
/// Share of the tolerance that requests may use of which not all daemons know yet. The rest covers restarts and rounding.
static constexpr double inFlightShare = 0.5;
/// Time after which a member is silent: two reports may be missing.
static constexpr std::chrono::milliseconds silenceTime { 1200 };
/// Time in which a daemon acknowledges a report, as seen by a caller that is refused.
static constexpr std::chrono::milliseconds acknowledgementTime { 100 };
static constexpr std::chrono::seconds correctionInterval { 2 };
/// Differences between the daemons' levels up to this one, and up to the tokens of this time, come from reports in flight.
static constexpr double normalExcessTokens = 1;
static constexpr double normalExcessSeconds = 0.2;

/// Longer waits would overflow in arithmetic with points in time.
static constexpr std::chrono::duration<double> longestWait { std::chrono::hours { 24 * 365 } };

static double secondsOf(duration elapsed)
{
    return std::chrono::duration<double> { elapsed }.count();
}

static duration toDuration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::min(std::chrono::duration<double> { seconds }, longestWait));
}

tenant_quotas::tenant_quotas(time_point startedAt)
    : m_startedAt(startedAt)
    , m_filledAt(startedAt)
    , m_levelsUnknownUntil(startedAt + m_tolerance.window)
    , m_lastContactAt(startedAt)
    , m_levelsCorrectedAt(startedAt)
    , m_lastReportAt(startedAt)
    , m_lastAnswerAt(startedAt)
{
}

double tenant_quotas::capacity(tenant_state const& tenant) const
{
    return std::max(1.0, tenant.burst + m_tolerance.slack * bucketSlackShare);
}

double tenant_quotas::inFlightTolerance(tenant_state const& tenant) const
{
    auto const quota = tenant.requestsPerSecond * secondsOf(m_tolerance.window) + tenant.burst;
    return inFlightShare * (m_tolerance.slack + m_tolerance.overage * quota);
}

double tenant_quotas::lowestLevel(tenant_state const& tenant) const
{
    return -(1 + tenant.requestsPerSecond + inFlightTolerance(tenant));
}

double tenant_quotas::normalExcess(tenant_state const& tenant)
{
    return normalExcessTokens + tenant.requestsPerSecond * normalExcessSeconds;
}

double tenant_quotas::activeShare() const
{
    return (m_totalWeight - m_silentWeight) / m_totalWeight;
}

double tenant_quotas::allTokens(std::size_t index) const
{
    auto total = m_tenants[index].level;
    for (auto const& [name, member] : m_members)
        total += member.isSilent && !member.hasEnded ? member.usages[index].reserve : 0;
    return total;
}

std::int64_t tenant_quotas::unacknowledged(std::size_t index) const
{
    std::int64_t greatest = 0;
    for (auto const& [name, member] : m_members) {
        if (!member.isSilent && !member.hasEnded)
            greatest = std::max(greatest, m_tenants[index].count - member.usages[index].acknowledged);
    }
    return greatest;
}

double tenant_quotas::allowance(std::size_t index, std::int64_t unacknowledgedCount) const
{
    // All daemons together exceed the level by no more than the tolerance, even if each uses its allowance before it hears of the others.
    auto const& tenant = m_tenants[index];
    auto const sharedLevel = std::max(0.0, tenant.level) + static_cast<double>(unacknowledgedCount);
    auto const tolerance = inFlightTolerance(tenant) / m_totalWeight;
    return std::max(1.0, weightOf(m_isInGroup) * (sharedLevel / (m_totalWeight - m_silentWeight) + tolerance));
}

// Configuration.

void tenant_quotas::setQuotas(std::vector<tenant_quota> const& quotas, time_point now)
{
    advance(now);
    for (auto& each : m_tenants)
        each.requestsPerSecond = 0;
    for (auto const& quota : quotas) {
        if (quota.requestsPerSecond <= 0)
            continue;
        auto const [found, isNew] = m_indexes.try_emplace(quota.tenant, m_tenants.size());
        auto const before = isNew ? 0 : capacity(m_tenants[found->second]);
        if (isNew) {
            m_tenants.push_back({ .name = quota.tenant, .createdAt = now, .isLevelKnown = !areLevelsUnknown(now) });
            for (auto& [name, member] : m_members)
                member.usages.emplace_back();
        }
        auto& tenant = m_tenants[found->second];
        tenant.requestsPerSecond = quota.requestsPerSecond;
        tenant.burst = quota.burst;
        auto const after = capacity(tenant);
        if (isNew) {
            auto const total = std::min(after, initialLevel + quota.requestsPerSecond * secondsOf(now - m_startedAt));
            for (auto& [name, member] : m_members)
                member.usages.back().reserve = member.isSilent && !member.hasEnded ? total * member.weight / m_totalWeight : 0;
            tenant.level = total * activeShare();
            continue;
        }
        // The consumed part stays consumed, so that a change adds no tokens for requests that have been accepted already.
        auto const changed = tenant.level + (after - before) * activeShare();
        tenant.level = after < before ? std::min(tenant.level, std::max(0.0, changed)) : changed;
    }
    m_limitedCount = static_cast<std::size_t>(std::count_if(m_tenants.begin(), m_tenants.end(), [](auto const& each) { return each.requestsPerSecond > 0; }));
}

// Time.

void tenant_quotas::fill(std::size_t index, double seconds)
{
    auto& tenant = m_tenants[index];
    if (tenant.requestsPerSecond <= 0)
        return;
    auto const all = capacity(tenant);
    tenant.level = std::clamp(tenant.level + tenant.requestsPerSecond * seconds * activeShare(), lowestLevel(tenant), std::max(1.0, all * activeShare()));
    for (auto& [name, member] : m_members) {
        auto const share = member.weight / m_totalWeight;
        auto& reserve = member.usages[index].reserve;
        if (member.isSilent && !member.hasEnded)
            reserve = std::min(all * share, reserve + tenant.requestsPerSecond * seconds * share);
    }
}

void tenant_quotas::advance(time_point now)
{
    auto const seconds = secondsOf(now - m_filledAt);
    m_filledAt = now;
    for (std::size_t index = 0; index < m_tenants.size(); ++index)
        fill(index, seconds);
    for (auto& [name, member] : m_members) {
        if (!member.isSilent && !member.hasEnded && now - member.heardAt > silenceTime)
            beginSilence(member, now);
    }
    removeMembers(now);
    if (m_silentCount + 1 < m_memberCount)
        m_lastContactAt = now;
    // What the others have accepted meanwhile is no longer known well enough.
    if (m_memberCount > 1 && now - m_lastContactAt > m_tolerance.window) {
        m_levelsUnknownUntil = now + m_tolerance.window;
        for (auto& each : m_tenants) {
            // A daemon outside the group that was not used for some time accepts one request before it hears of the others.
            if (std::exchange(each.isLevelKnown, false) && each.level > 0 && !m_isInGroup)
                each.level = std::max(1.0, each.level);
        }
    } else if (!areLevelsUnknown(now)) {
        for (auto& each : m_tenants)
            each.isLevelKnown = true;
    }
    if (now - m_levelsCorrectedAt >= correctionInterval) {
        correctLevels();
        m_levelsCorrectedAt = now;
    }
}

void tenant_quotas::beginSilence(member_state& member, time_point now)
{
    member.isSilent = true;
    member.isReturning = false;
    ++m_silentCount;
    m_silentWeight += member.weight;
    for (std::size_t index = 0; index < m_tenants.size(); ++index) {
        auto& tenant = m_tenants[index];
        auto& usage = member.usages[index];
        usage.isOld = true;
        auto const filled = usage.levelAtContact + tenant.requestsPerSecond * secondsOf(now - member.heardAt);
        usage.reserve = std::min(capacity(tenant), filled) * member.weight / m_totalWeight;
        // The tokens that have filled the bucket meanwhile do not make up for own requests of which the member does not know.
        auto const remaining = filled * activeShare() - static_cast<double>(std::max<std::int64_t>(0, tenant.count - usage.acknowledged));
        tenant.level = std::max(lowestLevel(tenant), std::min(remaining, tenant.level - usage.reserve));
    }
}

void tenant_quotas::endSilence(member_state& member)
{
    member.isSilent = false;
    member.isReturning = false;
    --m_silentCount;
    m_silentWeight -= member.weight;
    for (std::size_t index = 0; index < m_tenants.size(); ++index) {
        auto& usage = member.usages[index];
        m_tenants[index].level += usage.reserve;
        usage.reserve = 0;
        usage.levelAtContact = std::max(0.0, m_tenants[index].level);
    }
}

void tenant_quotas::correctLevels()
{
    // Buckets drift apart when daemons stop and resume. A bucket that all others exceed for some time refuses requests without need.
    for (std::size_t index = 0; index < m_tenants.size(); ++index) {
        auto& tenant = m_tenants[index];
        auto const normal = normalExcess(tenant);
        if (m_silentCount == 0 && tenant.smallestExcess && *tenant.smallestExcess > normal)
            tenant.level = std::min(capacity(tenant), tenant.level + *tenant.smallestExcess - normal);
        tenant.smallestExcess.reset();
    }
}

// Requests.

bool tenant_quotas::tryConsume(std::string const& name, time_point now)
{
    auto const found = m_indexes.find(name);
    if (found == m_indexes.end() || m_tenants[found->second].requestsPerSecond <= 0)
        return true;
    advance(now);
    m_lastConsumedAt = now;
    auto& tenant = m_tenants[found->second];
    auto const unacknowledgedCount = unacknowledged(found->second);
    auto const allowed = allowance(found->second, unacknowledgedCount);
    auto const used = static_cast<double>(unacknowledgedCount + 1);
    bool const isAllowed = tenant.level >= 1 && used <= allowed;
    if (isAllowed) {
        tenant.level -= 1;
        ++tenant.count;
    }
    // A daemon outside the group tells the others that it accepts requests before they reserve anything for it.
    bool const isNewcomer = !m_isInGroup && m_silentCount > 0;
    m_isReportUrgent |= isNewcomer || (isAllowed && (tenant.level < tenant.burst / 2 || used >= allowed / 2)) || (!isAllowed && unacknowledgedCount > 0);
    return isAllowed;
}

void tenant_quotas::refund(std::string const& name, time_point now)
{
    auto const found = m_indexes.find(name);
    if (found == m_indexes.end() || m_tenants[found->second].requestsPerSecond <= 0)
        return;
    advance(now);
    auto& tenant = m_tenants[found->second];
    tenant.level = std::min(std::max(1.0, capacity(tenant) * activeShare()), tenant.level + 1);
    --tenant.count;
}

duration tenant_quotas::requestInterval(std::string const& name) const
{
    auto const found = m_indexes.find(name);
    if (found == m_indexes.end() || m_tenants[found->second].requestsPerSecond <= 0)
        return duration::zero();
    return toDuration(1 / (m_tenants[found->second].requestsPerSecond * activeShare()));
}

duration tenant_quotas::retryAfter(std::string const& name, time_point now)
{
    auto const missing = 1 - level(name, now);
    // Otherwise the request waits for the others to acknowledge earlier ones.
    if (missing <= 0)
        return acknowledgementTime;
    return toDuration(missing * secondsOf(requestInterval(name)));
}

double tenant_quotas::level(std::string const& name, time_point now)
{
    advance(now);
    auto const found = m_indexes.find(name);
    return found == m_indexes.end() ? std::numeric_limits<double>::infinity() : m_tenants[found->second].level;
}

bool tenant_quotas::isInformed(time_point now)
{
    advance(now);
    // A daemon that exchanges no reports leaves nothing unused.
    return !isReporting() || std::none_of(m_members.begin(), m_members.end(), [](auto const& each) { return each.second.isInGroup && each.second.isSilent; });
}

}
