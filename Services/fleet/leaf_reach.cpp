// Which daemons reach leafs: what this one tells the others, and what it takes from them.

#include "Services/fleet/fleet_service.h"

namespace zinnialedge::services::fleet {

void fleet_service::handleLeafReachChanged(bool reachesLeafs)
{
    m_reachesLeafs = reachesLeafs;
    m_membershipLink.step(membership::leaf_reach_changed { reachesLeafs });
    handleMembersChanged();
}

void fleet_service::noteLeafReach(membership::member_changed const& change)
{
    auto const& address = change.record.callerEndpoint.address;
    bool const isLoss = m_reachMarks.observe(change.record.name, address, change.reachesLeafs);
    bool const isOwn = change.record.callerEndpoint == m_settings.callerEndpoint;
    if (isLoss && !isOwn && change.status != membership::member_status::dead)
        sendToTraffic(traffic::link_loss_told { m_liveDaemonCount });
    if (change.status == membership::member_status::dead)
        m_reachMarks.forget(change.record.name);
}

void fleet_service::markWithoutLeafs(std::string const& address)
{
    m_reachMarks.mark(address, std::chrono::steady_clock::now() + forwarding::withoutLeafsTime);
    handleMembersChanged();
}

}
