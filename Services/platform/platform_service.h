#pragma once

#include "Kernel/duty.h"
#include "Kernel/registry.h"
#include "Libraries/zinnialedge/membership/daemon_record.h"
#include "Libraries/zinnialedge/wire/http_client.h"
#include "Services/decisions/decision_service.h"
#include <memory>

namespace zinnialedge::services::platform {

/// Talks to the platform's object store: lists and watches its objects, and registers this daemon.
class platform_service final : public kernel::service {
public:
    platform_service(model::endpoint store, kernel::random_hook, decisions::decision_service&);
    ~platform_service() override;

    /// What to register once the store answers. Call before start().
    void setRegistration(membership::daemon_record);

    std::string const& name() const override { return m_duty.name(); }
    void start() override;
    void stop() override { m_duty.stop(); }
    bool requestState(kernel::state_receiver) override;

    static constexpr char const* serviceName = "platform";

private:
    class retry_timer;

    void list();
    void handleList(wire::http_result const&);
    void watch();
    void handleWatch(wire::http_result const&);
    void registerDaemon();
    void retryLater();
    void call(wire::http_request, std::chrono::milliseconds timeout, std::function<void(wire::http_result)>);
    void setReachable(bool);
    void pass(configuration::stored_object);

    kernel::io_duty m_duty;
    kernel::random_hook m_random;
    decisions::decision_service& m_decisions;
    model::endpoint m_store;
    std::unique_ptr<wire::http_client> m_watchClient;
    std::unique_ptr<wire::http_client> m_writeClient;
    std::unique_ptr<retry_timer> m_timer;
    membership::daemon_record m_registration;
    std::uint64_t m_revision { 0 };
    std::uint64_t m_calls { 0 };
    std::uint64_t m_failures { 0 };
    unsigned m_failuresInARow { 0 };
    bool m_isReachable { false };
    bool m_isListed { false };
    bool m_isRegistered { false };
};

}
