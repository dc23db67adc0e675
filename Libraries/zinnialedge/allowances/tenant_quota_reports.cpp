// Exchange of the reports by which daemons keep the quotas of tenants together.

#include "Libraries/zinnialedge/allowances/tenant_quotas.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace zinnialedge::allowances {

using kernel::time_point;

static constexpr std::chrono::milliseconds reportInterval { 500 };
/// Interval between reports while requests wait for acknowledgements or little of a quota is left.
static constexpr std::chrono::milliseconds urgentReportInterval { 50 };
/// Minimum interval between answers, which limits the datagrams that the others can cause.
static constexpr std::chrono::milliseconds answerInterval { 10 };
/// Time after its last request in which a daemon outside the group reports. A daemon that stops gets requests for 3 s more, and has
/// to send its last report before it is killed.
static constexpr std::chrono::milliseconds reportHold { 2500 };
/// Time for which a member keeps its share after it has left the group: longer than a daemon takes to be silent.
static constexpr std::chrono::seconds formerShareHold { 5 };
/// Number of reports for which acknowledgements are accepted.
static constexpr std::size_t maximumSentReports = 128;
static constexpr std::uint64_t earlierReportCount = 64;
/// Bytes of a report's usages and acknowledgements. The rest of a datagram is for the sender's own record.
static constexpr std::size_t maximumReportBytes = 850;
static constexpr std::size_t usageBytes = 20;
static constexpr std::size_t acknowledgementBytes = 36;

std::uint64_t hashMember(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

// Received reports.

tenant_quotas::member_state& tenant_quotas::memberOf(usage_report const& report, time_point now)
{
    auto const found = m_members.find(report.member);
    if (found != m_members.end()) {
        if (found->second.hasEnded)
            addShare(found->second);
        return found->second;
    }
    removeFormerIncarnation(report.member, report.endpoint);
    auto& added = m_members[report.member];
    added.heardAt = now;
    added.weight = outsiderWeight;
    addShare(added);
    return added;
}

bool tenant_quotas::recordSequence(member_state& member, std::uint64_t sequence)
{
    if (sequence > member.lastSequence) {
        auto const step = sequence - member.lastSequence;
        auto const shifted = step < earlierReportCount ? member.earlierReports << step : 0;
        member.earlierReports = shifted | (member.lastSequence != 0 && step <= earlierReportCount ? std::uint64_t { 1 } << (step - 1) : 0);
        member.lastSequence = sequence;
        return true;
    }
    auto const age = member.lastSequence - sequence;
    if (age == 0 || age > earlierReportCount)
        return false;
    auto const bit = std::uint64_t { 1 } << (age - 1);
    return (std::exchange(member.earlierReports, member.earlierReports | bit) & bit) == 0;
}

void tenant_quotas::mergeAcknowledgement(member_state& member, usage_acknowledgement const& acknowledged)
{
    for (auto const& sent : m_sentReports) {
        if (sent.sequence > acknowledged.sequence)
            break;
        auto const age = acknowledged.sequence - sent.sequence;
        if (age > earlierReportCount || (age > 0 && ((acknowledged.earlierReports >> (age - 1)) & 1) == 0))
            continue;
        for (auto const& [index, count] : sent.counts) {
            auto& usage = member.usages[index];
            if (sent.sequence <= usage.acknowledgedSequence)
                continue;
            usage.acknowledged = count;
            usage.acknowledgedSequence = sent.sequence;
        }
    }
}

void tenant_quotas::mergeUsage(member_state& member, usage_report const& report, tenant_usage const& told, bool isAnswer, time_point now)
{
    auto const found = m_indexes.find(told.tenant);
    if (found == m_indexes.end())
        return;
    auto& tenant = m_tenants[found->second];
    auto& usage = member.usages[found->second];
    // A late report has an older count than the one that is known.
    if (report.sequence < usage.sequence)
        return;
    auto const ownAge = now - m_startedAt;
    bool const isYounger = report.age < ownAge || (report.areLevelsWanted && report.age < ownAge + m_tolerance.window);
    // What a member has accepted before this daemon could know is in the levels that others tell.
    bool const isKnown = usage.isCountKnown || (usage.sequence == 0 && !isYounger && tenant.createdAt <= member.firstHeardAt);
    auto const consumed = isKnown ? 0.0 : static_cast<double>(told.count - usage.count);
    usage.count = told.count;
    usage.sequence = report.sequence;
    usage.isCountKnown = false;
    usage.isOld = false;
    auto const fromReserve = member.isSilent ? std::min(usage.reserve, consumed) : 0;
    usage.reserve -= fromReserve;
    tenant.level = std::max(lowestLevel(tenant), tenant.level - (consumed - fromReserve));
    if (report.areLevelsWanted)
        return;
    auto const level = told.level - static_cast<double>(tenant.count - usage.acknowledged);
    // Only an answer says which own requests its level contains.
    if (!tenant.isLevelKnown && isAnswer)
        adoptLevel(found->second, member, level);
    auto const excess = level - allTokens(found->second);
    tenant.smallestExcess = std::min(tenant.smallestExcess.value_or(excess), excess);
}

void tenant_quotas::adoptLevel(std::size_t index, member_state const& origin, double level)
{
    auto& tenant = m_tenants[index];
    tenant.isLevelKnown = true;
    auto const total = std::clamp(level, lowestLevel(tenant), capacity(tenant));
    tenant.level = total > 0 ? total * activeShare() : total;
    for (auto& [name, member] : m_members) {
        auto& usage = member.usages[index];
        usage.isCountKnown |= usage.isOld && &member != &origin;
        if (member.isSilent && !member.hasEnded)
            usage.reserve = std::max(0.0, total) * member.weight / m_totalWeight;
    }
}

void tenant_quotas::endSilenceIfCaughtUp(member_state& member)
{
    for (std::size_t index = 0; index < m_tenants.size(); ++index) {
        auto const& usage = member.usages[index];
        if (usage.acknowledged < usage.awaitedCount && usage.acknowledged != m_tenants[index].count)
            return;
    }
    endSilence(member);
}

void tenant_quotas::merge(usage_report const& report, time_point now)
{
    if (report.member == m_ownName || m_limitedCount == 0)
        return;
    advance(now);
    auto& member = memberOf(report, now);
    member.endpoint = report.endpoint;
    if (!std::exchange(member.wasHeard, true))
        member.firstHeardAt = now;
    if (member.isSilent && !member.isReturning) {
        member.isReturning = true;
        member.isAnswerDue = true;
        for (std::size_t index = 0; index < m_tenants.size(); ++index)
            member.usages[index].awaitedCount = m_tenants[index].count;
    }
    bool isAnswer = false;
    for (auto const& each : report.acknowledgements) {
        if (each.member != hashMember(m_ownName))
            continue;
        isAnswer = true;
        mergeAcknowledgement(member, each);
    }
    bool const isNew = recordSequence(member, report.sequence);
    member.heardAt = now;
    // A member that is cut off leaves the group too, and uses its complete share meanwhile.
    if (!member.isInGroup && !member.isSilent && now - member.leftGroupAt >= formerShareHold)
        setWeight(member, outsiderWeight);
    if (isNew) {
        for (auto const& each : report.usages)
            mergeUsage(member, report, each, isAnswer, now);
    }
    member.isAcknowledgementDue |= !report.usages.empty();
    member.isAnswerDue |= report.isAnswerWanted || (report.areLevelsWanted && !areLevelsUnknown(now));
    member.areLevelsWanted = report.areLevelsWanted;
    if (report.isEnding && !member.isInGroup) {
        // The answer tells the member that its last counts are known.
        removeShare(member, true);
        member.isAnswerDue = true;
        return;
    }
    if (member.isSilent)
        endSilenceIfCaughtUp(member);
    for (std::size_t index = 0; index < m_tenants.size(); ++index)
        member.usages[index].levelAtContact = std::max(0.0, m_tenants[index].level);
    if (std::all_of(m_tenants.begin(), m_tenants.end(), [](auto const& each) { return each.isLevelKnown || each.requestsPerSecond <= 0; }))
        m_levelsUnknownUntil = std::min(m_levelsUnknownUntil, now);
}

// Sent reports.

std::vector<model::endpoint> tenant_quotas::receivers() const
{
    std::vector<model::endpoint> endpoints;
    for (auto const& [name, member] : m_members) {
        if (!member.hasEnded)
            endpoints.push_back(member.endpoint);
    }
    return endpoints;
}

std::optional<time_point> tenant_quotas::nextReportTime() const
{
    if (m_limitedCount == 0 || m_memberCount == 1)
        return std::nullopt;
    std::optional<time_point> next;
    if (isReporting())
        next = m_lastReportAt + (m_isReportUrgent ? urgentReportInterval : reportInterval);
    bool const isAnswerDue = std::any_of(m_members.begin(), m_members.end(), [](auto const& each) { return each.second.isAnswerDue; });
    if (isAnswerDue)
        next = next ? std::min(*next, m_lastAnswerAt + answerInterval) : m_lastAnswerAt + answerInterval;
    return next;
}

void tenant_quotas::appendReports(std::vector<addressed_report>& reports, std::vector<std::size_t> const& tenants, std::vector<usage_acknowledgement> const& acknowledgements, std::vector<model::endpoint> const& receivers, bool isAnswerWanted, time_point now)
{
    bool const areLevelsWanted = areLevelsUnknown(now);
    std::size_t bytes = 0;
    auto const addReport = [&] {
        usage_report report { .sequence = ++m_lastSequence, .age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_startedAt), .isAnswerWanted = isAnswerWanted, .areLevelsWanted = areLevelsWanted };
        // Each part of an answer acknowledges what the receiver has sent.
        if (receivers.size() == 1)
            report.acknowledgements = acknowledgements;
        reports.push_back({ std::move(report), receivers });
        m_sentReports.push_back({ m_lastSequence, {} });
        bytes = receivers.size() == 1 ? acknowledgementBytes * acknowledgements.size() : 0;
    };
    auto const reserveBytes = [&](std::size_t needed) {
        if (bytes + needed > maximumReportBytes)
            addReport();
        bytes += needed;
    };
    addReport();
    for (auto const& each : acknowledgements) {
        if (receivers.size() == 1)
            break;
        reserveBytes(acknowledgementBytes);
        reports.back().report.acknowledgements.push_back(each);
    }
    for (auto const index : tenants) {
        auto const& tenant = m_tenants[index];
        reserveBytes(tenant.name.size() + usageBytes);
        reports.back().report.usages.push_back({ tenant.name, tenant.count, allTokens(index) });
        m_sentReports.back().counts.emplace_back(index, tenant.count);
    }
    while (m_sentReports.size() > maximumSentReports)
        m_sentReports.pop_front();
}

std::vector<addressed_report> tenant_quotas::takeReports(time_point now)
{
    std::vector<addressed_report> reports;
    if (m_limitedCount == 0)
        return reports;
    advance(now);
    auto const acknowledge = [](member_state& member, std::string const& name) {
        member.isAcknowledgementDue = false;
        return usage_acknowledgement { hashMember(name), member.lastSequence, member.earlierReports };
    };
    if (isReporting() && now >= m_lastReportAt + (m_isReportUrgent ? urgentReportInterval : reportInterval)) {
        bool const isUrgent = std::exchange(m_isReportUrgent, false);
        m_lastReportAt = now;
        std::vector<std::size_t> tenants;
        std::vector<usage_acknowledgement> acknowledgements;
        for (std::size_t index = 0; index < m_tenants.size(); ++index) {
            auto const& tenant = m_tenants[index];
            bool const isNews = std::any_of(m_members.begin(), m_members.end(), [&](auto const& each) { return !each.second.hasEnded && each.second.usages[index].acknowledged != tenant.count; });
            bool const isLow = !isUrgent && tenant.requestsPerSecond > 0 && allTokens(index) < capacity(tenant) - 1;
            if (isNews || isLow)
                tenants.push_back(index);
            // The report is repeated soon if it or its acknowledgement is lost.
            auto const waiting = unacknowledged(index);
            m_isReportUrgent |= waiting > 0 && static_cast<double>(waiting + 1) >= allowance(index, waiting) / 2;
        }
        for (auto& [name, member] : m_members) {
            if (member.isAcknowledgementDue)
                acknowledgements.push_back(acknowledge(member, name));
        }
        bool const isEnding = (!m_isInGroup || m_isLeaving) && now - *m_lastConsumedAt > reportHold;
        appendReports(reports, tenants, acknowledgements, receivers(), isUrgent && !isEnding, now);
        if (isEnding) {
            m_lastConsumedAt.reset();
            reports.back().report.isEnding = true;
        }
    }
    if (now < m_lastAnswerAt + answerInterval)
        return reports;
    for (auto& [name, member] : m_members) {
        if (!std::exchange(member.isAnswerDue, false))
            continue;
        m_lastAnswerAt = now;
        std::vector<std::size_t> tenants;
        for (std::size_t index = 0; index < m_tenants.size(); ++index) {
            auto const& tenant = m_tenants[index];
            if (member.usages[index].acknowledged != tenant.count || (member.areLevelsWanted && tenant.requestsPerSecond > 0))
                tenants.push_back(index);
        }
        // A member that returns has to acknowledge all counts before it counts as informed.
        appendReports(reports, tenants, { acknowledge(member, name) }, { member.endpoint }, member.isReturning, now);
        // The last report to the member may have been lost.
        reports.back().report.isEnding = !isReporting();
    }
    return reports;
}

}
