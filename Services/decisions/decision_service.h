#pragma once

#include "Kernel/service_registry.h"
#include "Kernel/worker_thread.h"
#include "Libraries/zinnialedge/queries/query_engine.h"
#include "Services/decisions/messages.h"
#include <memory>

namespace zinnialedge::services::decisions {

struct decision_settings {
    queries::engine_settings engine;
    std::size_t callerInboxCapacity { 8192 };
    std::size_t platformInboxCapacity { 4096 };
    std::size_t peerInboxCapacity { 8192 };
};

/// Runs the query engine and the membership engine on one worker thread. The service owns no sockets: events and actions
/// pass through rings.
class decision_service final : public kernel::service {
public:
    decision_service(decision_settings, kernel::clock_hook, kernel::random_hook);

    std::string const& name() const override { return m_workerThread.name(); }
    void start() override { m_workerThread.start(); }
    void stop() override { m_workerThread.stop(); }
    bool requestState(kernel::text_receiver) override;
    bool requestMetrics(kernel::text_receiver) override;

    // Rings for the events of the other services; each ring has a single producer.
    kernel::ring<caller_event>& callerInbox() { return *m_callerInbox; }
    kernel::ring<target_event>& targetInbox() { return *m_targetInbox; }
    kernel::ring<platform_event>& platformInbox() { return *m_platformInbox; }
    kernel::ring<peer_event>& peerInbox() { return *m_peerInbox; }

    // Set the rings for the actions of each service. Call before start().
    void setCallerOutbox(std::shared_ptr<kernel::ring<caller_action>> outbox) { m_callerOutbox = std::move(outbox); }
    void setTargetOutbox(std::shared_ptr<kernel::ring<target_action>> outbox) { m_targetOutbox = std::move(outbox); }
    /// Enables membership with the given settings for this daemon. Call before start().
    void enableMembership(membership::membership_settings);
    void setPeerOutbox(std::shared_ptr<kernel::ring<peer_action>> outbox) { m_peerOutbox = std::move(outbox); }

    /// Announces the status "leaving" to the other daemons, so that directories no longer list this daemon; queries are still
    /// accepted.
    [[nodiscard]] bool announceLeaving();
    /// Rejects new non-repeatable requests from now on.
    [[nodiscard]] bool startRejectingTickets();
    /// Announces the end of this process to the other daemons. Calls `done` on the worker thread of this service.
    [[nodiscard]] bool announceStop(std::function<void()> done);

    /// Passes the objects in effect whose keys start with the prefix to the receiver, on the worker thread of this service.
    [[nodiscard]] bool requestObjects(std::string prefix, std::function<void(std::vector<configuration::stored_object>)>);

    static constexpr char const* serviceName = "decisions";

private:
    kernel::time_point handleTimers();
    void handle(caller_event&&);
    void handle(target_event&&);
    void handle(platform_event&&);
    void handle(peer_event&&);
    void handleObject(configuration::stored_object const&);
    void handleService(configuration::stored_object const&, std::string const& serviceName);
    /// Sends an accepted change to peers directly, so the change propagates even if the store fails right after the write.
    void pushToPeers(configuration::stored_object const&);
    void handleWithdrawnVms(std::set<std::string> addresses);
    void declareService(model::service_declaration);
    void handleDaemon(configuration::stored_object const&, std::string const& daemonName);
    void stepMembership(membership::membership_event const&);
    void perform(membership::member_changed const&);
    void perform(membership::configuration_difference_found const&);
    void perform(membership::suspects_received const&);
    /// Quotas are kept by daemons of the other kind only.
    void perform(membership::usage_received const&) { }
    void perform(membership::send_datagram&&);
    /// Changes the status of this daemon to serving once the daemon can answer queries.
    void serveWhenReady(kernel::time_point now);
    void updateCutOffState(kernel::time_point now);
    void updateTicketAdmission();
    void sendNewerObjects(configuration::objects_request const&);
    /// Returns the error for directory requests, or nothing while this daemon answers directory requests.
    std::optional<errors::error> findDirectoryError() const;
    void answerDirectory(directory_request const&);
    void stepQueries(queries::event const&);
    void perform(queries::action&&);
    void relayQuery(queries::relay_query&&);
    std::string describeState() const;
    std::string describeMetrics() const;

    decision_settings m_settings;
    kernel::clock_hook m_clock;
    kernel::timer_worker_thread m_workerThread;
    kernel::random_hook m_random;
    queries::query_engine m_engine;
    configuration::object_cache m_objects;
    std::set<std::string> m_withdrawnVmAddresses;
    membership::directory m_directory;
    std::optional<membership::membership_engine> m_membership;
    bool m_isStoreReachable { false };
    bool m_isCutOff { false };
    bool m_isRejectingTickets { false };
    std::optional<kernel::time_point> m_firstCutOffCheckAt;
    kernel::time_point m_storeLastReachableAt;
    bool m_isDigestOutdated { false };
    std::optional<kernel::time_point> m_firstConfiguredAt;

    std::shared_ptr<kernel::ring<caller_event>> m_callerInbox;
    std::shared_ptr<kernel::ring<target_event>> m_targetInbox;
    std::shared_ptr<kernel::ring<platform_event>> m_platformInbox;
    std::shared_ptr<kernel::ring<peer_event>> m_peerInbox;
    std::shared_ptr<kernel::ring<caller_action>> m_callerOutbox;
    std::shared_ptr<kernel::ring<target_action>> m_targetOutbox;
    std::shared_ptr<kernel::ring<peer_action>> m_peerOutbox;
};

}
