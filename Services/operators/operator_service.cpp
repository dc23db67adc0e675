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
struct operator_service::collection {
    explicit collection(boost::asio::io_context& context)
        : timer(context)
    {
    }

    std::map<std::string, std::string> parts;
    std::size_t awaited { 0 };
    bool isFinished { false };
    boost::asio::steady_timer timer;
    std::function<void(std::map<std::string, std::string> const&)> finish;

    void finishOnce()
    {
        if (isFinished)
            return;
        isFinished = true;
        timer.cancel();
        finish(parts);
    }
};

errors::error_or<std::shared_ptr<operator_service>> operator_service::create(model::endpoint const& place, std::string about, configuration::partner_keys keys, kernel::registry const& registry)
{
    std::shared_ptr<operator_service> made { new operator_service(std::move(about), std::move(keys), registry) };
    if (auto listening = made->listen(place); !listening)
        return tl::unexpected(listening.error());
    return made;
}

operator_service::operator_service(std::string about, configuration::partner_keys keys, kernel::registry const& registry)
    : m_duty(serviceName)
    , m_about(std::move(about))
    , m_registry(registry)
    , m_commands(std::move(keys), registry, [this](std::function<void()> work) { return m_duty.post(std::move(work)); })
{
}

errors::error_or<void> operator_service::listen(model::endpoint const& place)
{
    wire::http_server_limits limits;
    limits.describeError = [](errors::error const& reason) { return wire::formatError(reason); };
    auto server = wire::http_server::listen(m_duty.context(), place, std::move(limits), [this](wire::http_request const& request, wire::http_responder const& respond) { handleRequest(request, respond); });
    if (!server)
        return tl::unexpected(server.error());
    m_server = std::move(*server);
    return {};
}

void operator_service::handleRequest(wire::http_request const& request, wire::http_responder const& respond)
{
    auto const path = wire::pathOf(request);
    if (path == "/state" && request.method == "GET") {
        collectState(respond);
    } else if (path == "/metrics" && request.method == "GET") {
        collectMetrics(respond);
    } else if (path == "/commands" && request.method == "POST") {
        m_commands.handle(request, respond);
    } else if (path == "/log-level" && request.method == "POST") {
        changeLogLevel(request, respond);
    } else {
        errors::error const reason { error_kind::unknown_route, request.method + " " + path + " is not served; expected GET /state, GET /metrics, POST /log-level or POST /commands", {} };
        respond({ answerFor(reason.kind).httpStatus, wire::formatError(reason), {} });
    }
}

kernel::state_receiver operator_service::makeReceiver(std::shared_ptr<collection> const& collected, std::string const& service)
{
    return [this, collected, service](std::string const& text) {
        // If the worker thread's queue is full, the result is dropped and is missing from the collection after the timeout.
        (void)m_duty.post([collected, service, text] {
            collected->parts[service] = text;
            if (collected->parts.size() >= collected->awaited)
                collected->finishOnce();
        });
    };
}

void operator_service::finishLater(std::shared_ptr<collection> const& collected)
{
    // An unresponsive service must not delay the results of the other services.
    collected->timer.expires_after(collectionTimeout);
    collected->timer.async_wait([collected](boost::system::error_code failure) {
        if (!failure)
            collected->finishOnce();
    });
}

void operator_service::collectState(wire::http_responder const& respond)
{
    auto const collected = std::make_shared<collection>(m_duty.context());
    collected->finish = [this, respond](std::map<std::string, std::string> const& parts) {
        auto whole = json::parse(m_about).as_object();
        json::object services;
        for (auto const& service : m_registry.all()) {
            auto const part = parts.find(service->name());
            services[service->name()] = part == parts.end() ? json::value { { "unanswered", true } } : json::parse(part->second);
        }
        whole["log_level"] = kernel::logLevel();
        whole["services"] = std::move(services);
        respond({ statusOk, json::serialize(whole), {} });
    };
    for (auto const& service : m_registry.all())
        collected->awaited += service->requestState(makeReceiver(collected, service->name())) ? 1 : 0;
    finishLater(collected);
}

void operator_service::collectMetrics(wire::http_responder const& respond)
{
    auto const collected = std::make_shared<collection>(m_duty.context());
    collected->finish = [respond](std::map<std::string, std::string> const& parts) {
        std::string text;
        for (auto const& [service, part] : parts)
            text += part;
        respond({ statusOk, text, {}, "text/plain; version=0.0.4" });
    };
    for (auto const& service : m_registry.all())
        collected->awaited += service->requestMetrics(makeReceiver(collected, service->name())) ? 1 : 0;
    finishLater(collected);
}

void operator_service::changeLogLevel(wire::http_request const& request, wire::http_responder const& respond)
{
    if (!kernel::setLogLevel(request.body)) {
        errors::error const reason { error_kind::malformed_command, "expected trace, debug, info, warn or error as the body", {} };
        respond({ answerFor(reason.kind).httpStatus, wire::formatError(reason), {} });
        return;
    }
    kernel::logEvent(kernel::log_level::info, "log_level_changed", { { "to", request.body } });
    respond({ statusOk, R"({"log_level":")" + request.body + "\"}", {} });
}

bool operator_service::requestState(kernel::state_receiver receiver)
{
    return m_duty.post([this, receiver = std::move(receiver)] { receiver(R"({"connections":)" + std::to_string(m_server->connectionCount()) + "}"); });
}

}
