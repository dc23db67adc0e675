#include "Services/callers/caller_service.h"

#include "Libraries/zinnialedge/wire/caller_codec.h"
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

namespace zinnialedge::services::callers {

namespace json = boost::json;
using errors::error;
using errors::error_kind;

static constexpr std::size_t actionCapacity = 16'384;
/// Maximum number of callers that wait for an answer, which bounds the answers in the ring. The other half of the ring has
/// space for answers to callers whose disconnect message has not reached the decision service yet.
static constexpr std::size_t waitingCapacity = actionCapacity / 2;
static constexpr std::chrono::milliseconds overloadRetryAfter { 50 };
static constexpr std::chrono::milliseconds leavingRetryAfter { 0 };
static constexpr int statusOk = 200;

static wire::http_response makeErrorResponse(error const& reason, std::string const& requestId = {})
{
    wire::http_response response { errors::answerFor(reason.kind).httpStatus, wire::formatError(reason, requestId), {} };
    if (reason.retryAfter) {
        auto const seconds = std::chrono::ceil<std::chrono::seconds>(*reason.retryAfter);
        response.headers["Retry-After"] = std::to_string(seconds.count());
    }
    return response;
}

errors::error_or<std::shared_ptr<caller_service>> caller_service::create(caller_settings const& settings, kernel::clock_hook clock, decisions::decision_service& decisions)
{
    std::shared_ptr<caller_service> made { new caller_service(settings, std::move(clock), decisions) };
    if (auto listening = made->listen(settings); !listening)
        return tl::unexpected(listening.error());
    return made;
}

caller_service::caller_service(caller_settings const&, kernel::clock_hook clock, decisions::decision_service& decisions)
    : m_duty(serviceName)
    , m_clock(std::move(clock))
    , m_decisions(decisions)
{
    m_decisions.connectCallers(m_duty.makeInbox<decisions::caller_action>(actionCapacity, [this](decisions::caller_action&& action) { handleAction(std::move(action)); }));
}

errors::error_or<void> caller_service::listen(caller_settings const& settings)
{
    wire::http_server_limits limits;
    limits.bodyBytes = settings.bodyBytes;
    limits.connections = settings.connections;
    limits.abandoned = [this](std::uint64_t request) { handleAbandoned(request); };
    limits.describeError = [](error const& reason) { return wire::formatError(reason); };
    auto server = wire::http_server::listen(m_duty.context(), settings.place, std::move(limits), [this](wire::http_request const& request, wire::http_responder const& respond) { handleRequest(request, respond); });
    if (!server)
        return tl::unexpected(server.error());
    m_server = std::move(*server);
    return {};
}

void caller_service::handleRequest(wire::http_request const& request, wire::http_responder const& respond)
{
    auto const path = wire::pathOf(request);
    if (path == "/query" && request.method == "POST")
        handleQuery(request, respond);
    else if (path == "/directory" && request.method == "GET")
        handleDirectory(request, respond);
    else if (path == "/health" && request.method == "GET")
        respond({ m_isLeaving ? answerFor(error_kind::leaving).httpStatus : statusOk, m_isLeaving ? R"({"state":"leaving"})" : R"({"state":"serving"})", {} });
    else
        respond(makeErrorResponse({ error_kind::unknown_route, request.method + " " + path + " is not served; expected POST /query, GET /directory or GET /health", {} }));
}

void caller_service::handleQuery(wire::http_request const& request, wire::http_responder const& respond)
{
    auto const token = request.number;
    auto parsed = wire::parseQuery(request.body, "q" + std::to_string(token));
    if (!parsed) {
        respond(makeErrorResponse(parsed.error()));
        return;
    }
    // A request with a ticket may have been executed before, and only the decision service knows its outcome.
    if (m_isRefusing && parsed->ticket.empty()) {
        respond(makeErrorResponse({ error_kind::leaving, "this daemon is stopping", leavingRetryAfter }, parsed->id));
        return;
    }
    auto const id = parsed->id;
    waiting_caller waiting { respond, parsed->service, m_clock() };
    submit(queries::query_arrived { token, std::move(*parsed) }, token, std::move(waiting), id);
}

void caller_service::handleDirectory(wire::http_request const& request, wire::http_responder const& respond)
{
    auto const parameters = wire::parametersOf(request);
    auto const service = parameters.find("service");
    if (service == parameters.end() || service->second.empty()) {
        respond(makeErrorResponse({ error_kind::malformed_request, "service: expected a query parameter, as in /directory?service=NAME", {} }));
        return;
    }
    auto const dataCentre = parameters.find("data_centre");
    auto const token = request.number;
    decisions::directory_asked asked { token, service->second, dataCentre == parameters.end() ? std::string {} : dataCentre->second };
    submit(std::move(asked), token, { respond, {}, m_clock() }, {});
}

void caller_service::submit(decisions::caller_event&& event, queries::caller_token token, waiting_caller waiting, std::string const& requestId)
{
    // The limit on waiting callers and the capacity of the inbox guarantee that the answer ring has space for every answer.
    if (m_waiting.size() >= waitingCapacity || !m_decisions.callerInbox().push(std::move(event))) {
        ++m_overloadedRefusals;
        waiting.respond(makeErrorResponse({ error_kind::overloaded, "too many requests are waiting in this daemon", overloadRetryAfter }, requestId));
        return;
    }
    m_waiting.emplace(token, std::move(waiting));
}

void caller_service::handleAbandoned(queries::caller_token caller)
{
    if (m_waiting.erase(caller) == 0)
        return;
    ++m_abandonedRequests;
    // If the ring is full, the query runs to completion and its answer is discarded.
    static_cast<void>(m_decisions.callerInbox().push(queries::caller_left { caller }));
}

void caller_service::handleAction(decisions::caller_action&& action)
{
    std::visit([this](auto const& each) { answer(each); }, action);
}

void caller_service::answer(queries::answer_caller const& given)
{
    auto const found = m_waiting.find(given.caller);
    // The caller has disconnected in the meantime.
    if (found == m_waiting.end())
        return;
    auto const waiting = std::move(found->second);
    m_waiting.erase(found);
    std::string outcome = "whole";
    if (!given.result)
        outcome = errors::answerFor(given.result.error().kind).name;
    else if (!given.result->covered.isWhole())
        outcome = "partial";
    // Undeclared service names share one series, because callers could otherwise create any number of series.
    bool const isDeclared = given.result || given.result.error().kind != error_kind::unknown_service;
    m_metrics.add(isDeclared ? waiting.service : "unknown", outcome, std::chrono::duration_cast<std::chrono::microseconds>(m_clock() - waiting.since));
    if (given.result)
        waiting.respond({ statusOk, wire::formatAnswer(*given.result), {} });
    else
        waiting.respond(makeErrorResponse(given.result.error(), given.requestId));
}

static std::string formatDirectory(membership::directory_answer const& directory)
{
    json::array addresses;
    for (auto const& daemon : directory.daemons)
        addresses.push_back({ { "daemon", daemon.name }, { "address", daemon.callers.address }, { "port", daemon.callers.port }, { "data_centre", daemon.dataCentre } });
    return json::serialize(json::object {
        { "service", directory.service },
        { "addresses", std::move(addresses) },
        { "valid_for_ms", directory.validFor.count() },
        { "ticket_prefix", directory.ticketPrefix },
    });
}

void caller_service::answer(decisions::directory_answered const& given)
{
    auto const found = m_waiting.find(given.caller);
    // The caller has disconnected in the meantime.
    if (found == m_waiting.end())
        return;
    auto const respond = std::move(found->second.respond);
    m_waiting.erase(found);
    if (given.result)
        respond({ statusOk, formatDirectory(*given.result), {} });
    else
        respond(makeErrorResponse(given.result.error()));
}

bool caller_service::announceLeaving()
{
    return m_duty.post([this] { m_isLeaving = true; });
}

bool caller_service::beginRefusing()
{
    return m_duty.post([this] { m_isRefusing = true; });
}

bool caller_service::requestWaitingCount(std::function<void(std::size_t)> receiver)
{
    return m_duty.post([this, receiver = std::move(receiver)] { receiver(m_waiting.size()); });
}

bool caller_service::requestState(kernel::state_receiver receiver)
{
    return m_duty.post([this, receiver = std::move(receiver)] {
        receiver(json::serialize(json::object {
            { "leaving", m_isLeaving },
            { "refusing", m_isRefusing },
            { "connections", m_server->connectionCount() },
            { "waiting", m_waiting.size() },
            { "overloaded_refusals", m_overloadedRefusals },
            { "abandoned_requests", m_abandonedRequests },
        }));
    });
}

bool caller_service::requestMetrics(kernel::state_receiver receiver)
{
    return m_duty.post([this, receiver = std::move(receiver)] { receiver(m_metrics.describe()); });
}

}
