#pragma once

#include "Kernel/service_registry.h"
#include "Libraries/zinnialedge/configuration/edge_settings.h"
#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/fleet/store_protocol.h"
#include "Libraries/zinnialedge/forwarding/edge_protocol.h"
#include <functional>
#include <memory>

namespace zinnialedge::daemons {

/// Protocols between this daemon and its callers, its leafs and the store.
struct edge_protocols {
    forwarding::edge_protocol edge;
    fleet::store_protocol store;
};

/// Creates and connects the services of a daemon that forwards requests along declared routes.
class edge_daemon {
public:
    static errors::error_or<std::unique_ptr<edge_daemon>> create(configuration::edge_settings const&, edge_protocols);

    void start();
    /// Applies the settings that can change while the daemon runs, and logs the changed settings that need a restart.
    void applySettings(configuration::edge_settings const&);
    /// Performs the planned stop: withdraws the daemon from the directory and from readiness, keeps serving while callers may
    /// still use its address, and stops all services when each request that was read has its answer. Calls `isStopRepeated` regularly, so that
    /// further signals are handled.
    void stopGracefully(std::function<bool()> const& isStopRepeated);

private:
    explicit edge_daemon(configuration::edge_settings);
    errors::error_or<void> createServices(edge_protocols);

    configuration::edge_settings m_settings;
    std::uint64_t m_incarnation;
    kernel::service_registry m_registry;
};

}
