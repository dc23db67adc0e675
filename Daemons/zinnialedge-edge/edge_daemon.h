#pragma once

#include "Kernel/registry.h"
#include "Libraries/zinnialedge/configuration/edge_settings.h"
#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/fleet/store_protocol.h"
#include "Libraries/zinnialedge/forwarding/edge_protocol.h"
#include <functional>
#include <memory>

namespace zinnialedge::daemons {

/// How this daemon speaks with callers, leafs and the store.
struct edge_protocols {
    forwarding::edge_protocol edge;
    fleet::store_protocol store;
};

/// Wires the services of one daemon that forwards requests by declared routes.
class edge_daemon {
public:
    static errors::error_or<std::unique_ptr<edge_daemon>> create(configuration::edge_settings const&, edge_protocols);

    void start();
    /// Takes over what of new settings a running daemon can, and logs what waits for the next start.
    void applySettings(configuration::edge_settings const&);
    /// The planned stop: leaves directory and readiness, serves on while callers may still hold its address, and ends when
    /// nothing is in flight, or when `isHurried` says so.
    void leave(std::function<bool()> const& isHurried);

private:
    explicit edge_daemon(configuration::edge_settings);
    errors::error_or<void> wire(edge_protocols);

    configuration::edge_settings m_settings;
    std::uint64_t m_incarnation;
    kernel::registry m_registry;
};

}
