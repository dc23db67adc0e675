#pragma once

#include "Kernel/service_registry.h"
#include "Kernel/worker_thread.h"
#include "Libraries/zinnialedge/configuration/partner_keys.h"
#include "Libraries/zinnialedge/wire/http_server.h"
#include "Services/operators/command_handler.h"
#include <map>

namespace zinnialedge::services::operators {

/// Explains what would become of the request that the parameters of GET /route describe. Passes a JSON object or an error to the receiver,
/// on any thread. Returns false when it can't accept the request now.
using route_explainer = std::function<bool(std::map<std::string, std::string> const& parameters, std::function<void(errors::error_or<std::string>)> receiver)>;

/// HTTP service for operators: GET /state, GET /metrics, GET /route, POST /log-level, POST /commands.
class operator_service final : public kernel::service {
public:
    /// `processDescription` is a JSON object with the constant properties of this process: name, version, incarnation. `limits` are those of
    /// the port.
    static errors::error_or<std::shared_ptr<operator_service>> create(model::endpoint const&, std::string processDescription, configuration::partner_keys, kernel::service_registry const&, wire::http_server_options limits = { .connections = defaultConnections });

    std::string const& name() const override { return m_workerThread.name(); }
    void start() override { m_workerThread.start(); }
    void stop() override { m_workerThread.stop(); }
    bool requestState(kernel::text_receiver) override;
    std::uint16_t port() const { return m_server->port(); }
    /// Sets the hook that serves GET /route, which is not served without one. Call before start().
    void setRouteExplainer(route_explainer explainer) { m_routeExplainer = std::move(explainer); }

    static constexpr char const* serviceName = "operators";
    static constexpr std::size_t defaultConnections = 64;

private:
    struct result_collection;

    operator_service(std::string processDescription, configuration::partner_keys, kernel::service_registry const&);
    errors::error_or<void> listen(model::endpoint const&, wire::http_server_options limits);
    void handleRequest(wire::http_request const&, wire::http_responder const&);
    void collectState(wire::http_responder const&);
    void collectMetrics(wire::http_responder const&);
    void explainRoute(wire::http_request const&, wire::http_responder const&);
    void changeLogLevel(wire::http_request const&, wire::http_responder const&);
    /// Returns a receiver that adds the result of the service to the collection, on the worker thread of this service.
    kernel::text_receiver makeResultReceiver(std::shared_ptr<result_collection> const&, std::string const& service);
    void startCollectionTimeout(std::shared_ptr<result_collection> const&);

    kernel::io_worker_thread m_workerThread;
    std::string m_processDescription;
    kernel::service_registry const& m_registry;
    command_handler m_commandHandler;
    route_explainer m_routeExplainer;
    std::unique_ptr<wire::http_server> m_server;
};

}
