#pragma once

#include "Services/fleet/snapshot_codec.h"
#include "Services/fleet/store_link.h"
#include <memory>
#include <set>

namespace zinnialedge::services::fleet {

/// Knows the evacuated data centres, from the store or from other daemons. Knows none and reads nothing when the deployment has no
/// evacuations.
class evacuation_link {
public:
    evacuation_link(boost::asio::io_context&, model::endpoint const& store, bool isEnabled, zinnialedge::fleet::store_protocol const&, zinnialedge::fleet::store_budget&, store_link_hooks);

    /// Returns the link to the store, or null when the deployment has no evacuations.
    store_link* link() { return m_link.get(); }
    /// Returns false while the store is not reached although the deployment has evacuations.
    bool isConnected() const { return !m_link || m_link->mirror().isConnected(); }
    /// Returns whether no change is deferred.
    bool isSettled() const { return !m_link || m_link->mirror().isSettled(); }
    /// Returns whether leafs may be called: the evacuations are known, or have remained unknown for so long after the first call of this
    /// function that the daemon serves without them.
    bool mayCallLeafs(kernel::time_point now);
    /// Returns the names of all evacuations, including those of unknown data centres.
    std::set<std::string> dataCentres() const;
    /// Returns what this daemon knows, for other daemons; empty when it does not know whether there are evacuations.
    std::optional<object_snapshot> snapshot() const;
    /// Takes what another daemon knows, if that is newer. Calls the hook for changes when something changed.
    void adopt(std::optional<object_snapshot> const&, model::endpoint const& origin);
    /// Takes over the evacuations as a daemon that was polled has them. Returns false when they are older than the local ones.
    bool replicate(object_snapshot const&, bool isSettled, model::endpoint const& origin);

private:
    bool isKnown() const;
    void reportAdoption(object_snapshot const&, model::endpoint const& origin);

    std::unique_ptr<store_link> m_link;
    std::function<void()> m_changed;
    std::optional<kernel::time_point> m_waitEndsAt;
};

}
