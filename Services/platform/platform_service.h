#pragma once

#include "Kernel/service_registry.h"
#include "Kernel/worker_thread.h"
#include "Libraries/zinnialedge/configuration/call_budget.h"
#include "Libraries/zinnialedge/configuration/vm_view.h"
#include "Libraries/zinnialedge/membership/daemon_record.h"
#include "Libraries/zinnialedge/wire/http_client.h"
#include "Services/decisions/decision_service.h"
#include "Services/platform/command_writer.h"
#include <memory>

namespace zinnialedge::services::platform {

struct platform_settings {
    model::endpoint store;
    /// Name of this process in the objects that the process writes.
    std::string writer;
    double callsPerSecond { 2 };
    double maximumCallBurst { 60 };
};

/// Client of the platform's object store: lists and watches objects, registers this daemon and writes the changes that
/// operators command. All calls to the store count against one budget.
class platform_service final : public kernel::service {
public:
    platform_service(platform_settings, kernel::clock_hook, kernel::random_hook, decisions::decision_service&);
    ~platform_service() override;

    /// Sets the record that is registered once the store responds. Call before start().
    void setRegistrationRecord(membership::daemon_record);
    /// Writes the commands to the store and calls `receive` on the worker thread of this service. Thread-safe.
    /// Returns false when the thread's queue is full.
    [[nodiscard]] bool submitCommands(std::vector<configuration::service_commands>, std::string const& partner, command_receiver receive);
    /// Sets whether this daemon watches the store on behalf of its data centre. Daemons that do not watch receive changes
    /// from their peers, and poll the store when no peer confirms their configuration. Thread-safe.
    [[nodiscard]] bool setWatching(bool);
    /// Records that a peer has just confirmed that the configuration of this daemon is the newest. Thread-safe.
    [[nodiscard]] bool recordConfirmation();

    std::string const& name() const override { return m_workerThread.name(); }
    void start() override;
    void stop() override { m_workerThread.stop(); }
    bool requestState(kernel::text_receiver) override;

    /// Marks this daemon as leaving in its registration.
    [[nodiscard]] bool announceLeaving();

    static constexpr char const* serviceName = "platform";

private:
    class replaceable_timer;

    void requestListing();
    void handleList(wire::http_result const&);
    void followChanges();
    void requestChanges();
    void schedulePoll();
    void pollChanges();
    void handleChanges(wire::http_result const&);
    void pollVms();
    void handleVms(wire::http_result const&);
    void registerDaemon();
    void scheduleRetry();
    void callOverSharedConnection(wire::http_request, std::chrono::milliseconds timeout, std::function<void(wire::http_result)>);
    void callOverNewConnection(wire::http_request, std::function<void(wire::http_result)>);
    void schedule(kernel::time_point, std::function<void()>);
    void setReachable(bool);
    void forwardObject(configuration::stored_object);
    void recordAcceptedObject(configuration::stored_object);

    kernel::io_worker_thread m_workerThread;
    platform_settings m_settings;
    kernel::clock_hook m_clock;
    kernel::random_hook m_random;
    decisions::decision_service& m_decisionService;
    configuration::call_budget m_budget;
    command_writer m_commandWriter;
    std::unique_ptr<wire::http_client> m_sharedClient;
    std::unique_ptr<replaceable_timer> m_pollTimer;
    configuration::vm_view m_vmView;
    membership::daemon_record m_registration;
    /// Newest version of each service object that this daemon has seen.
    std::map<std::string, std::uint64_t> m_knownServiceVersions;
    std::uint64_t m_revision { 0 };
    /// Time at which the list, watch or poll call in flight, or the last such call, was sent.
    kernel::time_point m_lastCallSentAt;
    std::uint64_t m_failureCount { 0 };
    unsigned m_consecutiveFailureCount { 0 };
    kernel::time_point m_lastConfirmedAt;
    bool m_isWatching { true };
    bool m_isReachable { false };
    bool m_hasListing { false };
    bool m_isRegistered { false };
};

}
