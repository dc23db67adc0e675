#include "Services/callers/caller_service.h"

#include "Libraries/zinnialedge/wire/caller_codec.h"
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

namespace zinnialedge::services::callers {

namespace json = boost::json;
using errors::error;
using errors::error_kind;

static constexpr std::size_t actionRingCapacity = 16'384;
/// Maximum number of callers that wait for an answer, which bounds the answers in the ring. The other half of the ring has
/// space for answers to callers whose disconnect message has not reached the decision service yet.
static constexpr std::size_t maximumWaitingCallers = actionRingCapacity / 2;
static constexpr std::chrono::milliseconds overloadRetryAfter { 50 };
static constexpr std::chrono::milliseconds leavingRetryAfter { 0 };
static constexpr int statusOk = 200;

static wire::http_response makeErrorResponse(error const& reason, std::string const& requestId = {})
{
    wire::http_response response { errors::propertiesOf(reason.kind).httpStatus, wire::formatError(reason, requestId), {} };
    if (reason.retryAfter) {
        auto const seconds = std::chrono::ceil<std::chrono::seconds>(*reason.retryAfter);
        response.headers["Retry-After"] = std::to_string(seconds.count());
    }
    return response;
}

errors::error_or<std::shared_ptr<caller_service>> caller_service::create(caller_settings const& settings, kernel::clock_hook clock, decisions::decision_service& decisionService)
{
    std::shared_ptr<caller_service> created { new caller_service(settings, std::move(clock), decisionService) };
    if (auto listenResult = created->listen(settings); !listenResult)
        return tl::unexpected(listenResult.error());
    return created;
}

caller_service::caller_service(caller_settings const&, kernel::clock_hook clock, decisions::decision_service& decisionService)
    : m_workerThread(serviceName)
    , m_clock(std::move(clock))
    , m_decisionService(decisionService)
{
    m_decisionService.setCallerOutbox(m_workerThread.createInbox<decisions::caller_action>(actionRingCapacity, [this](decisions::caller_action&& action) { handleAction(std::move(action)); }));
}

errors::error_or<void> caller_service::listen(caller_settings const& settings)
{
    wire::http_server_options limits;
    limits.bodyBytes = settings.bodyBytes;
    limits.connections = settings.connections;
    limits.abandoned = [this](std::uint64_t request) { handleCallerDisconnect(request); };
    limits.formatErrorBody = [](error const& reason) { return wire::formatError(reason); };
    auto server = wire::http_server::listen(m_workerThread.context(), settings.endpoint, std::move(limits), [this](wire::http_request const& request, wire::http_responder const& respond) { handleRequest(request, respond); });
    if (!server)
        return tl::unexpected(server.error());
    m_server = std::move(*server);
    return {};
}

void caller_service::handleRequest(wire::http_request const& request, wire::http_responder const& respond)
{
    auto const path = wire::requestPath(request);
    if (path == "/query" && request.method == "POST")
        handleQuery(request, respond);
    else if (path == "/directory" && request.method == "GET")
        handleDirectory(request, respond);
    else if (path == "/health" && request.method == "GET")
        respond({ m_isLeaving ? propertiesOf(error_kind::leaving).httpStatus : statusOk, m_isLeaving ? R"({"state":"leaving"})" : R"({"state":"serving"})", {} });
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
    if (m_isRejectingQueries && parsed->ticket.empty()) {
        respond(makeErrorResponse({ error_kind::leaving, "this daemon is stopping", leavingRetryAfter }, parsed->id));
        return;
    }
    auto const id = parsed->id;
    waiting_caller waiting { respond, parsed->service, m_clock() };
    submitEvent(queries::query_arrived { token, std::move(*parsed) }, token, std::move(waiting), id);
}

void caller_service::handleDirectory(wire::http_request const& request, wire::http_responder const& respond)
{
    auto const parameters = wire::parseQueryParameters(request);
    auto const serviceParameter = parameters.find("service");
    if (serviceParameter == parameters.end() || serviceParameter->second.empty()) {
        respond(makeErrorResponse({ error_kind::malformed_request, "service: expected a query parameter, as in /directory?service=NAME", {} }));
        return;
    }
    auto const dataCentreParameter = parameters.find("data_centre");
    auto const token = request.number;
    decisions::directory_request directoryRequest { token, serviceParameter->second, dataCentreParameter == parameters.end() ? std::string {} : dataCentreParameter->second };
    submitEvent(std::move(directoryRequest), token, { respond, {}, m_clock() }, {});
}

void caller_service::submitEvent(decisions::caller_event&& event, queries::caller_token token, waiting_caller waiting, std::string const& requestId)
{
    // The limit on waiting callers and the capacity of the inbox guarantee that the answer ring has space for every answer.
    if (m_waitingCallers.size() >= maximumWaitingCallers || !m_decisionService.callerInbox().push(std::move(event))) {
        ++m_overloadRejectionCount;
        waiting.respond(makeErrorResponse({ error_kind::overloaded, "too many requests are waiting in this daemon", overloadRetryAfter }, requestId));
        return;
    }
    m_waitingCallers.emplace(token, std::move(waiting));
}

void caller_service::handleCallerDisconnect(queries::caller_token caller)
{
    if (m_waitingCallers.erase(caller) == 0)
        return;
    ++m_abandonedRequestCount;
    // If the ring is full, the query runs to completion and its answer is discarded.
    static_cast<void>(m_decisionService.callerInbox().push(queries::caller_left { caller }));
}

void caller_service::handleAction(decisions::caller_action&& action)
{
    std::visit([this](auto const& each) { sendAnswer(each); }, action);
}

void caller_service::sendAnswer(queries::answer_caller const& action)
{
    auto const found = m_waitingCallers.find(action.caller);
    // The caller has disconnected in the meantime.
    if (found == m_waitingCallers.end())
        return;
    auto const waiting = std::move(found->second);
    m_waitingCallers.erase(found);
    std::string outcome = "whole";
    if (!action.result)
        outcome = errors::propertiesOf(action.result.error().kind).name;
    else if (!action.result->covered.isWhole())
        outcome = "partial";
    // Undeclared service names share one series, because callers could otherwise create any number of series.
    bool const isServiceDeclared = action.result || action.result.error().kind != error_kind::unknown_service;
    m_latencyMetrics.add(isServiceDeclared ? waiting.service : "unknown", outcome, std::chrono::duration_cast<std::chrono::microseconds>(m_clock() - waiting.receivedAt));
    if (action.result)
        waiting.respond({ statusOk, wire::formatAnswer(*action.result), {} });
    else
        waiting.respond(makeErrorResponse(action.result.error(), action.requestId));
}

static std::string formatDirectory(membership::directory_answer const& directory)
{
    json::array addresses;
    for (auto const& daemon : directory.daemons)
        addresses.push_back({ { "daemon", daemon.name }, { "address", daemon.callerEndpoint.address }, { "port", daemon.callerEndpoint.port }, { "data_centre", daemon.dataCentre } });
    return json::serialize(json::object {
        { "service", directory.service },
        { "addresses", std::move(addresses) },
        { "valid_for_ms", directory.validFor.count() },
        { "ticket_prefix", directory.ticketPrefix },
    });
}

void caller_service::sendAnswer(decisions::directory_response const& action)
{
    auto const found = m_waitingCallers.find(action.caller);
    // The caller has disconnected in the meantime.
    if (found == m_waitingCallers.end())
        return;
    auto const respond = std::move(found->second.respond);
    m_waitingCallers.erase(found);
    if (action.result)
        respond({ statusOk, formatDirectory(*action.result), {} });
    else
        respond(makeErrorResponse(action.result.error()));
}

bool caller_service::announceLeaving()
{
    return m_workerThread.post([this] { m_isLeaving = true; });
}

bool caller_service::startRejectingQueries()
{
    return m_workerThread.post([this] { m_isRejectingQueries = true; });
}

bool caller_service::requestWaitingCallerCount(std::function<void(std::size_t)> receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] { receiver(std::max(m_waitingCallers.size(), m_server->unansweredCount())); });
}

bool caller_service::requestState(kernel::text_receiver receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] {
        receiver(json::serialize(json::object {
            { "leaving", m_isLeaving },
            { "refusing", m_isRejectingQueries },
            { "connections", m_server->connectionCount() },
            { "waiting", m_waitingCallers.size() },
            { "overloaded_refusals", m_overloadRejectionCount },
            { "abandoned_requests", m_abandonedRequestCount },
        }));
    });
}

bool caller_service::requestMetrics(kernel::text_receiver receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] { receiver(m_latencyMetrics.describe()); });
}

}
