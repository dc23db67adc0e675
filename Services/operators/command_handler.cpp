#include "Services/operators/command_handler.h"

#include "Kernel/event_log.h"
#include "Libraries/zinnialedge/configuration/change_plan.h"
#include "Libraries/zinnialedge/language/parser.h"
#include "Libraries/zinnialedge/wire/caller_codec.h"
#include "Services/decisions/decision_service.h"
#include "Services/platform/platform_service.h"
#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <boost/json.hpp>

namespace zinnialedge::services::operators {

namespace json = boost::json;
using decisions::decision_service;
using errors::error_kind;
using kernel::log_level;
using kernel::logEvent;
using platform::platform_service;

static constexpr int statusOk = 200;

static wire::http_response toResponse(errors::error const& reason)
{
    return { propertiesOf(reason.kind).httpStatus, wire::formatError(reason), {} };
}

static wire::http_response makeOverloadedResponse()
{
    return toResponse({ error_kind::overloaded, "too many requests are waiting in this daemon", std::chrono::milliseconds { 1000 } });
}

static std::string bearerKeyOf(wire::http_request const& request)
{
    static constexpr std::string_view scheme = "Bearer ";
    auto const header = wire::headerValue(request.headers, "authorization");
    return header.starts_with(scheme) ? header.substr(scheme.size()) : std::string {};
}

static json::value toJson(configuration::field_change const& change)
{
    json::object object { { "field", change.field } };
    object["before"] = change.before ? json::value(*change.before) : json::value(nullptr);
    object["after"] = change.after ? json::value(*change.after) : json::value(nullptr);
    return object;
}

static json::value toJson(platform::command_result const& result)
{
    if (result.outcome)
        return { { "service", result.service }, { "result", "accepted" }, { "version", result.outcome->version }, { "change", result.outcome->change }, { "changed", result.outcome->hasChangedObject } };
    return { { "service", result.service }, { "result", "refused" }, { "error", json::parse(wire::formatError(result.outcome.error())).at("error") } };
}

static wire::http_response toResponse(std::vector<platform::command_result> const& results)
{
    json::array list;
    int status = statusOk;
    for (auto const& each : results) {
        list.push_back(toJson(each));
        if (!each.outcome && status == statusOk)
            status = propertiesOf(each.outcome.error().kind).httpStatus;
    }
    return { status, json::serialize(json::object { { "results", std::move(list) } }), {} };
}

static void logResults(std::vector<platform::command_result> const& results, std::string const& partner)
{
    for (auto const& each : results) {
        if (!each.outcome)
            logEvent(log_level::warn, "command_refused", { { "partner", partner }, { "service", each.service }, { "kind", propertiesOf(each.outcome.error().kind).name }, { "reason", each.outcome.error().message } });
    }
}

command_handler::command_handler(configuration::partner_keys keys, kernel::service_registry const& registry, post_hook post)
    : m_keys(std::move(keys))
    , m_registry(registry)
    , m_postToWorkerThread(std::move(post))
{
}

wire::http_responder command_handler::makeThreadSafeResponder(wire::http_responder const& respond) const
{
    return [post = m_postToWorkerThread, respond](wire::http_response response) {
        // If the worker thread's queue is full, the response is dropped and the client runs into its timeout.
        (void)post([respond, response = std::move(response)] { respond(response); });
    };
}

void command_handler::handle(wire::http_request const& request, wire::http_responder const& respond)
{
    auto const partner = m_keys.findPartner(bearerKeyOf(request));
    if (!partner) {
        logEvent(log_level::warn, "command_refused", { { "kind", "not_permitted" }, { "reason", "the key belongs to no partner" } });
        respond(toResponse({ error_kind::not_permitted, "expected a header Authorization: Bearer KEY with a valid partner key", {} }));
        return;
    }
    auto const statements = language::parseStatements(request.body);
    if (!statements) {
        std::vector<std::string> lines;
        for (auto const& each : statements.error())
            lines.push_back(language::toString(each));
        respond(toResponse({ error_kind::malformed_command, boost::algorithm::join(lines, "\n"), {} }));
        return;
    }
    bool const hasShow = std::any_of(statements->begin(), statements->end(), [](auto const& each) { return std::holds_alternative<language::show>(each.command); });
    if (statements->empty() || (hasShow && statements->size() > 1)) {
        respond(toResponse({ error_kind::malformed_command, "expected one or more change statements, or a single show statement", {} }));
        return;
    }
    bool const hasShare = std::any_of(statements->begin(), statements->end(), [](auto const& each) { return std::holds_alternative<language::declare_share>(each.command); });
    if (hasShare) {
        respond(toResponse({ error_kind::malformed_command, "share statements are not supported yet; shares are set in the settings of the daemons", {} }));
        return;
    }
    if (hasShow)
        answerShow(std::get<language::show>(statements->front().command), respond);
    else if (wire::parseQueryParameters(request)["dry_run"] == "true")
        answerDryRun(*statements, *partner, respond);
    else
        executeChanges(*statements, *partner, respond);
}

void command_handler::executeChanges(std::vector<language::statement> const& statements, std::string const& partner, wire::http_responder const& respond)
{
    auto const answer = makeThreadSafeResponder(respond);
    auto const receive = [answer, partner](std::vector<platform::command_result> const& results) {
        logResults(results, partner);
        answer(toResponse(results));
    };
    if (!m_registry.find<platform_service>(platform_service::serviceName).submitCommands(configuration::groupByService(statements), partner, receive))
        respond(makeOverloadedResponse());
}

static std::map<std::string, model::service_declaration> parseDeclarations(std::vector<configuration::stored_object> const& objects)
{
    std::map<std::string, model::service_declaration> declarations;
    for (auto const& object : objects) {
        auto parsed = configuration::parseServiceObject(object.body.value_or(""));
        if (parsed && parsed->declaration)
            declarations.emplace(parsed->name, std::move(*parsed->declaration));
    }
    return declarations;
}

void command_handler::answerDryRun(std::vector<language::statement> const& statements, std::string const& partner, wire::http_responder const& respond)
{
    auto const answer = makeThreadSafeResponder(respond);
    auto const receive = [answer, statements, partner](std::vector<configuration::stored_object> const& objects) {
        auto const declarations = parseDeclarations(objects);
        auto const changes = configuration::plan(statements, partner, [&](std::string const& service) {
            auto const found = declarations.find(service);
            return found == declarations.end() ? std::nullopt : std::optional { found->second };
        });
        if (!changes) {
            std::vector<std::string> lines;
            for (auto const& each : changes.error())
                lines.push_back(each.message);
            answer(toResponse({ changes.error().front().kind, boost::algorithm::join(lines, "\n"), {} }));
            return;
        }
        json::array list;
        for (auto const& change : *changes) {
            json::array fields;
            for (auto const& field : change.fields)
                fields.push_back(toJson(field));
            list.push_back({ { "service", change.service }, { "fields", std::move(fields) } });
        }
        answer({ statusOk, json::serialize(json::object { { "changes", std::move(list) } }), {} });
    };
    if (!m_registry.find<decision_service>(decision_service::serviceName).requestObjects(configuration::servicePrefix, receive))
        respond(makeOverloadedResponse());
}

void command_handler::answerShow(language::show const& shown, wire::http_responder const& respond)
{
    switch (shown.kind) {
    case language::show_subject::services:
        answerObjectList(configuration::servicePrefix, "services", respond);
        return;
    case language::show_subject::daemons:
        answerObjectList(configuration::daemonPrefix, "daemons", respond);
        return;
    case language::show_subject::targets:
        answerTargetList(shown, respond);
        return;
    }
}

void command_handler::answerObjectList(std::string const& prefix, std::string const& title, wire::http_responder const& respond)
{
    auto const answer = makeThreadSafeResponder(respond);
    auto const receive = [answer, title](std::vector<configuration::stored_object> const& objects) {
        json::array list;
        for (auto const& object : objects) {
            json::error_code failure;
            auto body = json::parse(object.body.value_or(""), failure);
            if (failure || !body.is_object() || body.as_object().contains("removed"))
                continue;
            body.as_object().erase("writers");
            list.push_back({ { "key", object.key }, { "version", object.version }, { "body", std::move(body) } });
        }
        answer({ statusOk, json::serialize(json::object { { title, std::move(list) } }), {} });
    };
    if (!m_registry.find<decision_service>(decision_service::serviceName).requestObjects(prefix, receive))
        respond(makeOverloadedResponse());
}

void command_handler::answerTargetList(language::show const& shown, wire::http_responder const& respond)
{
    auto const answer = makeThreadSafeResponder(respond);
    auto const receive = [answer, shown](std::string const& state) {
        json::array list;
        auto const parsed = json::parse(state);
        for (auto const& leaf : parsed.at("leafs").as_array()) {
            bool const isRequested = leaf.at("service").as_string() == shown.service && (shown.state.empty() || leaf.at("state").as_string() == shown.state);
            if (isRequested)
                list.push_back(leaf);
        }
        answer({ statusOk, json::serialize(json::object { { "targets", std::move(list) } }), {} });
    };
    if (!m_registry.find<decision_service>(decision_service::serviceName).requestState(receive))
        respond(makeOverloadedResponse());
}

}
