#include "Services/operators/operator_service.h"

#include "Kernel/event_log.h"
#include "Libraries/zinnialedge/wire/caller_codec.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <map>

namespace zinnialedge::services::operators {

namespace json = boost::json;
using errors::error_kind;

static constexpr std::chrono::milliseconds collectionTimeout { 1000 };
static constexpr int statusOk = 200;

/// Results of one state or metrics request that is sent to all services.
struct operator_service::result_collection {
    explicit result_collection(boost::asio::io_context& context)
        : timer(context)
    {
    }

    std::map<std::string, std::string> results;
    std::size_t expectedCount { 0 };
    bool isComplete { false };
    boost::asio::steady_timer timer;
    std::function<void(std::map<std::string, std::string> const&)> onComplete;

    void completeOnce()
    {
        if (isComplete)
            return;
        isComplete = true;
        timer.cancel();
        onComplete(results);
    }
};

errors::error_or<std::shared_ptr<operator_service>> operator_service::create(model::endpoint const& endpoint, std::string processDescription, configuration::partner_keys keys, kernel::service_registry const& registry, wire::http_server_options limits)
{
    std::shared_ptr<operator_service> created { new operator_service(std::move(processDescription), std::move(keys), registry) };
    if (auto listenResult = created->listen(endpoint, std::move(limits)); !listenResult)
        return tl::unexpected(listenResult.error());
    return created;
}

operator_service::operator_service(std::string processDescription, configuration::partner_keys keys, kernel::service_registry const& registry)
    : m_workerThread(serviceName)
    , m_processDescription(std::move(processDescription))
    , m_registry(registry)
    , m_commandHandler(std::move(keys), registry, [this](std::function<void()> work) { return m_workerThread.post(std::move(work)); })
{
}

errors::error_or<void> operator_service::listen(model::endpoint const& endpoint, wire::http_server_options limits)
{
    limits.formatErrorBody = [](errors::error const& reason) { return wire::formatError(reason); };
    auto server = wire::http_server::listen(m_workerThread.context(), endpoint, std::move(limits), [this](wire::http_request const& request, wire::http_responder const& respond) { handleRequest(request, respond); });
    if (!server)
        return tl::unexpected(server.error());
    m_server = std::move(*server);
    return {};
}

void operator_service::handleRequest(wire::http_request const& request, wire::http_responder const& respond)
{
    auto const path = wire::requestPath(request);
    if (path == "/state" && request.method == "GET") {
        collectState(respond);
    } else if (path == "/metrics" && request.method == "GET") {
        collectMetrics(respond);
    } else if (path == "/route" && request.method == "GET" && m_routeExplainer) {
        explainRoute(request, respond);
    } else if (path == "/commands" && request.method == "POST") {
        m_commandHandler.handle(request, respond);
    } else if (path == "/log-level" && request.method == "POST") {
        changeLogLevel(request, respond);
    } else {
        errors::error const reason { error_kind::unknown_route, request.method + " " + path + " is not served; expected GET /state, GET /metrics, " + (m_routeExplainer ? "GET /route, " : "") + "POST /log-level or POST /commands", {} };
        respond({ propertiesOf(reason.kind).httpStatus, wire::formatError(reason), {} });
    }
}

kernel::text_receiver operator_service::makeResultReceiver(std::shared_ptr<result_collection> const& pendingCollection, std::string const& service)
{
    return [this, pendingCollection, service](std::string const& text) {
        // If the worker thread's queue is full, the result is dropped and is missing from the collection after the timeout.
        (void)m_workerThread.post([pendingCollection, service, text] {
            pendingCollection->results[service] = text;
            if (pendingCollection->results.size() >= pendingCollection->expectedCount)
                pendingCollection->completeOnce();
        });
    };
}

void operator_service::startCollectionTimeout(std::shared_ptr<result_collection> const& pendingCollection)
{
    // An unresponsive service must not delay the results of the other services.
    pendingCollection->timer.expires_after(collectionTimeout);
    pendingCollection->timer.async_wait([pendingCollection](boost::system::error_code failure) {
        if (!failure)
            pendingCollection->completeOnce();
    });
}

void operator_service::collectState(wire::http_responder const& respond)
{
    auto const pendingCollection = std::make_shared<result_collection>(m_workerThread.context());
    pendingCollection->onComplete = [this, respond](std::map<std::string, std::string> const& results) {
        auto state = json::parse(m_processDescription).as_object();
        json::object services;
        for (auto const& service : m_registry.all()) {
            auto const result = results.find(service->name());
            services[service->name()] = result == results.end() ? json::value { { "unanswered", true } } : json::parse(result->second);
        }
        state["log_level"] = kernel::logLevel();
        state["services"] = std::move(services);
        respond({ statusOk, json::serialize(state), {} });
    };
    for (auto const& service : m_registry.all())
        pendingCollection->expectedCount += service->requestState(makeResultReceiver(pendingCollection, service->name())) ? 1 : 0;
    startCollectionTimeout(pendingCollection);
}

void operator_service::collectMetrics(wire::http_responder const& respond)
{
    auto const pendingCollection = std::make_shared<result_collection>(m_workerThread.context());
    pendingCollection->onComplete = [respond](std::map<std::string, std::string> const& results) {
        std::string text;
        for (auto const& [service, result] : results)
            text += result;
        respond({ statusOk, text, {}, "text/plain; version=0.0.4" });
    };
    for (auto const& service : m_registry.all())
        pendingCollection->expectedCount += service->requestMetrics(makeResultReceiver(pendingCollection, service->name())) ? 1 : 0;
    startCollectionTimeout(pendingCollection);
}

void operator_service::explainRoute(wire::http_request const& request, wire::http_responder const& respond)
{
    auto const fail = [respond](errors::error const& reason) { respond({ propertiesOf(reason.kind).httpStatus, wire::formatError(reason), {} }); };
    bool const isAccepted = m_routeExplainer(wire::parseQueryParameters(request), [this, respond, fail](errors::error_or<std::string> const& explanation) {
        (void)m_workerThread.post([respond, fail, explanation] {
            if (explanation)
                respond({ statusOk, *explanation, {} });
            else
                fail(explanation.error());
        });
    });
    if (!isAccepted)
        fail({ error_kind::leaving, "the daemon is stopping", {} });
}

void operator_service::changeLogLevel(wire::http_request const& request, wire::http_responder const& respond)
{
    if (!kernel::setLogLevel(request.body)) {
        errors::error const reason { error_kind::malformed_command, "expected trace, debug, info, warn or error as the body", {} };
        respond({ propertiesOf(reason.kind).httpStatus, wire::formatError(reason), {} });
        return;
    }
    kernel::logEvent(kernel::log_level::info, "log_level_changed", { { "to", request.body } });
    respond({ statusOk, R"({"log_level":")" + request.body + "\"}", {} });
}

bool operator_service::requestState(kernel::text_receiver receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] { receiver(R"({"connections":)" + std::to_string(m_server->connectionCount()) + "}"); });
}

}
