#pragma once

#include "Kernel/registry.h"
#include "Libraries/zinnialedge/configuration/daemon_settings.h"
#include "Libraries/zinnialedge/errors/error_kind.h"
#include <functional>
#include <memory>

namespace zinnialedge::daemons {

/// Wires the services of one daemon together.
class daemon {
public:
    static errors::error_or<std::unique_ptr<daemon>> create(configuration::daemon_settings const&);

    void start();
    /// The planned stop: says so, serves on until no caller can come any more, takes no new requests, waits until those
    /// in flight are answered, and stops every service. Waits no longer once `isHurried` says so.
    void leave(std::function<bool()> const& isHurried);

private:
    explicit daemon(configuration::daemon_settings);
    errors::error_or<void> wire();
    void announceLeaving();
    void refuseNew();
    void announceStop();
    bool isIdle();

    configuration::daemon_settings m_settings;
    std::uint64_t m_incarnation;
    kernel::registry m_registry;
};

}
