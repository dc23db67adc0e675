#pragma once

#include "Kernel/service_registry.h"
#include "Libraries/zinnialedge/configuration/daemon_settings.h"
#include "Libraries/zinnialedge/errors/error_kind.h"
#include <functional>
#include <memory>

namespace zinnialedge::daemons {

/// Creates and connects the services of one daemon.
class daemon {
public:
    static errors::error_or<std::unique_ptr<daemon>> create(configuration::daemon_settings const&);

    void start();
    /// Performs the planned stop: announces that the daemon is leaving, keeps serving until callers no longer use its address,
    /// rejects new requests, waits until all requests in flight are answered, and stops every service. Rejects new requests as soon as
    /// `isStopRepeated` returns true.
    void stopGracefully(std::function<bool()> const& isStopRepeated);

private:
    explicit daemon(configuration::daemon_settings);
    errors::error_or<void> createServices();
    void announceLeaving();
    void rejectNewRequests();
    void announceStop();
    bool isIdle();

    configuration::daemon_settings m_settings;
    std::uint64_t m_incarnation;
    kernel::service_registry m_registry;
};

}
