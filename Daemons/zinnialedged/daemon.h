#pragma once

#include "Kernel/registry.h"
#include "Libraries/zinnialedge/configuration/daemon_settings.h"
#include "Libraries/zinnialedge/errors/error_kind.h"
#include <memory>

namespace zinnialedge::daemons {

/// Wires the services of one daemon together.
class daemon {
public:
    static errors::error_or<std::unique_ptr<daemon>> create(configuration::daemon_settings const&);

    void start();
    /// Takes no new requests, waits until those in flight are answered, and stops every service.
    void leave();

private:
    explicit daemon(configuration::daemon_settings);
    errors::error_or<void> wire();
    bool isIdle();

    configuration::daemon_settings m_settings;
    std::uint64_t m_incarnation;
    kernel::registry m_registry;
};

}
