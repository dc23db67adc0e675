// Which daemons serve callers: the directory, readiness, and the shares of limits that follow from the serving group.

#include "Services/fleet/fleet_service.h"

#include "Libraries/zinnialedge/fleet/limit_shares.h"
#include <algorithm>
#include <random>
#include <set>

namespace zinnialedge::services::fleet {

using membership::member_status;

static constexpr int statusOk = 200;
static constexpr int statusUnavailable = 503;

forwarding::fleet_share fleet_service::computeFleetShare()
{
    std::set<model::endpoint> liveEndpoints { m_settings.callerEndpoint };
    for (auto const& [name, member] : m_membershipLink.engine().members().members()) {
        if (member.status != member_status::dead)
            liveEndpoints.insert(member.record.callerEndpoint);
    }
    m_liveDaemonCount = liveEndpoints.size();
    m_storeBudget.setDaemonCount(m_liveDaemonCount, std::chrono::steady_clock::now());
    auto const daemons = servingDaemons();
    auto const callable = zinnialedge::fleet::chooseServingGroup(zinnialedge::fleet::daemonsWithLeafs(daemons));
    // Daemons that have lost their links keep their shares, since they and those that take their place may both use them meanwhile.
    auto group = zinnialedge::fleet::chooseServingGroup(daemons);
    std::copy_if(callable.begin(), callable.end(), std::back_inserter(group), [&](auto const& each) { return std::find(group.begin(), group.end(), each) == group.end(); });
    forwarding::fleet_share share;
    addQuotaMembers(share, group);
    bool const isInGroup = std::any_of(group.begin(), group.end(), [this](auto const& each) { return each.place == m_settings.callerEndpoint; });
    if (group.empty() || group.size() > liveEndpoints.size()) {
        share.daemonsSharingConnections = liveEndpoints.size();
        share.daemonsSharingSlack = liveEndpoints.size();
        share.daemonsSharingLeafLimits = zinnialedge::fleet::countLimitShares(0, liveEndpoints.size(), false);
        share.limitPhase = zinnialedge::fleet::limitPhaseAmong(liveEndpoints, m_settings.callerEndpoint);
        return share;
    }
    share.daemonsSharingConnections = group.size() + (liveEndpoints.size() - group.size()) / zinnialedge::fleet::outsideDaemonsPerShare;
    share.daemonsSharingLeafLimits = zinnialedge::fleet::countLimitShares(group.size(), liveEndpoints.size(), isInGroup);
    auto equalEndpoints = liveEndpoints;
    std::erase_if(equalEndpoints, [&](auto const& endpoint) { return isInGroup != std::any_of(group.begin(), group.end(), [&](auto const& each) { return each.place == endpoint; }); });
    share.limitPhase = zinnialedge::fleet::limitPhaseAmong(equalEndpoints, m_settings.callerEndpoint);
    // One extra holder is counted: a member that some daemons do not know yet must not make the sum of shares exceed the total.
    share.daemonsSharingSlack = isInGroup ? std::max(group.size(), std::min(liveEndpoints.size(), group.size() + 1)) : 0;
    for (auto const& each : callable) {
        forwarding::relay const remote { each.dataCentre, { each.place.address, m_settings.relayEndpoint.port } };
        if (each.dataCentre != m_settings.dataCentre)
            share.relays.push_back(remote);
        if (each.reachesLeafs && each.place != m_settings.callerEndpoint)
            share.detours.push_back(remote);
        else if (each.reachesLeafs)
            share.self = remote;
    }
    return share;
}

void fleet_service::addQuotaMembers(forwarding::fleet_share& share, std::vector<zinnialedge::fleet::serving_daemon> const& group) const
{
    share.quotaMemberName = memberName();
    share.isServingCallers = false;
    for (auto const& each : group) {
        if (each.place == m_settings.callerEndpoint) {
            share.isServingCallers = true;
            continue;
        }
        // A restarted daemon counts as two members for a time, of which the later one sends reports.
        membership::daemon_record const* latest = nullptr;
        for (auto const& [name, member] : m_membershipLink.engine().members().members()) {
            if (member.record.callerEndpoint == each.place && member.status != member_status::dead && (!latest || member.record.incarnation > latest->incarnation))
                latest = &member.record;
        }
        if (latest)
            share.quotaMembers.push_back({ latest->name, latest->peerEndpoint });
    }
}

std::vector<zinnialedge::fleet::serving_daemon> fleet_service::servingDaemons() const
{
    std::vector<zinnialedge::fleet::serving_daemon> daemons;
    std::set<model::endpoint> endpoints;
    auto const now = std::chrono::steady_clock::now();
    if (m_isServing && !m_isLeaving) {
        daemons.push_back({ m_settings.name, m_settings.dataCentre, m_settings.callerEndpoint, m_reachesLeafs, m_settings.strength });
        endpoints.insert(m_settings.callerEndpoint);
    }
    for (auto const& [name, member] : m_membershipLink.engine().members().members()) {
        // A restarted daemon counts as two members until its earlier incarnation is declared dead.
        if (member.status == member_status::serving && endpoints.insert(member.record.callerEndpoint).second)
            daemons.push_back({ name.substr(0, name.rfind('.')), member.record.dataCentre, member.record.callerEndpoint, member.reachesLeafs && !m_reachMarks.isMarked(member.record.callerEndpoint.address, now), member.strength });
    }
    return daemons;
}

void fleet_service::answerDirectory(std::string const& dataCentre, wire::http_responder const& respond)
{
    ++m_directoryAnswerCount;
    auto addresses = zinnialedge::fleet::chooseEndpoints(zinnialedge::fleet::daemonsWithLeafs(servingDaemons()), dataCentre);
    if (addresses.empty()) {
        respond({ statusUnavailable, "{}", {} });
        return;
    }
    std::shuffle(addresses.begin(), addresses.end(), std::minstd_rand { static_cast<std::uint32_t>(m_random()) });
    respond({ statusOk, m_protocol.formatDirectory(addresses, m_settings.directoryValidity), {} });
}

void fleet_service::answerReadiness(wire::http_responder const& respond)
{
    respond({ m_isServing && !m_isLeaving ? statusOk : statusUnavailable, "{}", {} });
}

}
