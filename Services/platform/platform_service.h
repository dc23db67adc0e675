#pragma once

#include "Kernel/duty.h"
#include "Kernel/registry.h"
#include "Libraries/zinnialedge/configuration/call_budget.h"
#include "Libraries/zinnialedge/membership/daemon_record.h"
#include "Libraries/zinnialedge/wire/http_client.h"
#include "Services/decisions/decision_service.h"
#include "Services/platform/command_writer.h"
#include <memory>

namespace zinnialedge::services::platform {

struct platform_settings {
    model::endpoint store;
    /// Names this process in the objects that it writes.
    std::string writer;
    double callsPerSecond { 2 };
    double callBurst { 60 };
};

/// Talks to the platform's object store: lists and watches its objects, registers this daemon and writes what operators
/// command. Every call is paid from one budget.
class platform_service final : public kernel::service {
public:
    platform_service(platform_settings, kernel::clock_hook, kernel::random_hook, decisions::decision_service&);
    ~platform_service() override;

    /// What to register once the store answers. Call before start().
    void setRegistration(membership::daemon_record);
    /// Carries the commands into the store; `receive` is called on this service's thread. Any thread may call it.
    /// False when they can't be taken now.
    [[nodiscard]] bool submit(std::vector<configuration::object_commands>, std::string const& partner, command_receiver receive);
    /// Whether this daemon watches the store for its data centre; the others hear of changes from their peers and poll
    /// when they hear nothing. Any thread may call it.
    [[nodiscard]] bool setWatching(bool);
    /// Tells that a peer has just confirmed that the configuration here is the newest. Any thread may call it.
    [[nodiscard]] bool noteConfirmed();

    std::string const& name() const override { return m_duty.name(); }
    void start() override;
    void stop() override { m_duty.stop(); }
    bool requestState(kernel::state_receiver) override;

    /// Writes in the registration that this daemon leaves.
    [[nodiscard]] bool announceLeaving();

    static constexpr char const* serviceName = "platform";

private:
    class timer;

    void list();
    void handleList(wire::http_result const&);
    void followChanges();
    void watch();
    void pollLater();
    void poll();
    void handleChanges(wire::http_result const&);
    void registerDaemon();
    void retryLater();
    void call(wire::http_request, std::chrono::milliseconds timeout, std::function<void(wire::http_result)>);
    void callOverNewConnection(wire::http_request, std::function<void(wire::http_result)>);
    void schedule(kernel::time_point, std::function<void()>);
    void setReachable(bool);
    void pass(configuration::stored_object);
    void noteAccepted(configuration::stored_object);

    kernel::io_duty m_duty;
    platform_settings m_settings;
    kernel::clock_hook m_clock;
    kernel::random_hook m_random;
    decisions::decision_service& m_decisions;
    configuration::call_budget m_budget;
    command_writer m_writer;
    std::unique_ptr<wire::http_client> m_client;
    std::unique_ptr<timer> m_pollTimer;
    membership::daemon_record m_registration;
    /// The newest versions of services seen here.
    std::map<std::string, std::uint64_t> m_knownVersions;
    std::uint64_t m_revision { 0 };
    /// When the call that waits, or the last one, was sent.
    kernel::time_point m_askedAt;
    std::uint64_t m_failures { 0 };
    unsigned m_failuresInARow { 0 };
    kernel::time_point m_confirmedAt;
    bool m_isWatching { true };
    bool m_isReachable { false };
    bool m_isListed { false };
    bool m_isRegistered { false };
};

}
