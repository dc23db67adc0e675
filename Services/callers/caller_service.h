#pragma once

#include "Kernel/service_registry.h"
#include "Kernel/worker_thread.h"
#include "Libraries/zinnialedge/wire/http_server.h"
#include "Services/callers/latency_metrics.h"
#include "Services/decisions/decision_service.h"
#include <unordered_map>

namespace zinnialedge::services::callers {

struct caller_settings {
    model::endpoint endpoint;
    std::size_t connections { 4096 };
    std::size_t bodyBytes { 65'536 };
};

/// HTTP service for callers: POST /query, GET /directory, GET /health.
class caller_service final : public kernel::service {
public:
    static errors::error_or<std::shared_ptr<caller_service>> create(caller_settings const&, kernel::clock_hook, decisions::decision_service&);

    std::string const& name() const override { return m_workerThread.name(); }
    void start() override { m_workerThread.start(); }
    void stop() override { m_workerThread.stop(); }
    bool requestState(kernel::text_receiver) override;
    bool requestMetrics(kernel::text_receiver) override;

    std::uint16_t port() const { return m_server->port(); }
    /// Reports the state "leaving" in GET /health; requests are still accepted.
    [[nodiscard]] bool announceLeaving();
    /// Rejects new queries without a ticket from now on; queries in flight are answered.
    [[nodiscard]] bool startRejectingQueries();
    /// Passes the number of callers that wait for an answer to the receiver.
    [[nodiscard]] bool requestWaitingCallerCount(std::function<void(std::size_t)>);

    static constexpr char const* serviceName = "callers";

private:
    struct waiting_caller {
        wire::http_responder respond;
        std::string service;
        kernel::time_point receivedAt;
    };

    caller_service(caller_settings const&, kernel::clock_hook, decisions::decision_service&);
    errors::error_or<void> listen(caller_settings const&);
    void handleRequest(wire::http_request const&, wire::http_responder const&);
    void handleQuery(wire::http_request const&, wire::http_responder const&);
    void handleDirectory(wire::http_request const&, wire::http_responder const&);
    void submitEvent(decisions::caller_event&&, queries::caller_token, waiting_caller, std::string const& requestId);
    /// Handles the end of the connection of a waiting caller.
    void handleCallerDisconnect(queries::caller_token);
    void handleAction(decisions::caller_action&&);
    void sendAnswer(queries::answer_caller const&);
    void sendAnswer(decisions::directory_response const&);

    kernel::io_worker_thread m_workerThread;
    kernel::clock_hook m_clock;
    decisions::decision_service& m_decisionService;
    std::unique_ptr<wire::http_server> m_server;
    /// Waiting callers by the HTTP server's request number.
    std::unordered_map<queries::caller_token, waiting_caller> m_waitingCallers;
    latency_metrics m_latencyMetrics;
    std::uint64_t m_overloadRejectionCount { 0 };
    std::uint64_t m_abandonedRequestCount { 0 };
    bool m_isLeaving { false };
    bool m_isRejectingQueries { false };
};

}
