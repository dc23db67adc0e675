#include "Libraries/zinnialedge/wire/caller_codec.h"

#include "Libraries/zinnialedge/configuration/json_reader.h"
#include "Libraries/zinnialedge/wire/row_codec.h"
#include <boost/algorithm/string/join.hpp>
#include <boost/json.hpp>

namespace zinnialedge::wire {

namespace json = boost::json;
using configuration::json_reader;

static constexpr std::uint64_t maximumDeadlineMilliseconds = 60'000;
static constexpr std::size_t maximumIdLength = 200;

errors::error_or<model::query_request> parseQuery(std::string_view body, std::string const& fallbackId)
{
    std::vector<std::string> problems;
    auto const value = configuration::parseJson(body, problems);
    model::query_request request;
    if (value) {
        json_reader reader { *value, problems };
        request.id = reader.text("id", fallbackId);
        request.service = reader.text("service");
        request.requestKind = reader.text("request");
        request.key = reader.text("key", "");
        request.body = reader.text("body", "");
        request.ticket = reader.text("ticket", "");
        request.deadline = reader.has("deadline_ms") ? reader.milliseconds("deadline_ms", 1, maximumDeadlineMilliseconds) : std::chrono::milliseconds { 0 };
        if (request.id.size() > maximumIdLength)
            reader.report("id", "at most " + std::to_string(maximumIdLength) + " bytes");
        reader.finish();
    }
    if (!problems.empty())
        return errors::makeError(errors::error_kind::malformed_request, boost::algorithm::join(problems, "; "));
    return request;
}

std::string formatQuery(model::query_request const& request)
{
    json::object fields { { "id", request.id }, { "service", request.service }, { "request", request.requestKind } };
    auto const addText = [&](char const* name, std::string const& value) {
        if (!value.empty())
            fields[name] = value;
    };
    addText("key", request.key);
    addText("body", request.body);
    addText("ticket", request.ticket);
    if (request.deadline.count() > 0)
        fields["deadline_ms"] = request.deadline.count();
    return json::serialize(fields);
}

std::string formatAnswer(model::answer const& answer)
{
    json::array missing;
    for (auto const& each : answer.covered.missing)
        missing.push_back({ { "shard", each.shard }, { "reason", model::toString(each.reason) } });
    json::object fields {
        { "id", answer.id },
        { "snapshot", { { "epoch", answer.reflects.epoch }, { "version", answer.reflects.version } } },
        { "coverage", { { "whole", answer.covered.isWhole() }, { "asked", answer.covered.asked }, { "answered", answer.covered.answered }, { "missing", std::move(missing) } } },
        { "remembered", answer.isRemembered },
        { "rows", formatRows(answer.rows) },
    };
    if (answer.isCutOff)
        fields["cut_off"] = true;
    return json::serialize(fields);
}

static model::missing_reason parseReason(json_reader& reader)
{
    using model::missing_reason;
    static std::vector<std::string_view> const words = [] {
        std::vector<std::string_view> names;
        for (auto reason = missing_reason::deadline; reason <= missing_reason::failed; reason = static_cast<missing_reason>(static_cast<int>(reason) + 1))
            names.push_back(model::toString(reason));
        return names;
    }();
    return static_cast<missing_reason>(reader.choice("reason", words));
}

errors::error_or<model::answer> parseAnswer(std::string_view body)
{
    static constexpr auto maximumNumber = std::numeric_limits<std::uint64_t>::max();
    std::vector<std::string> problems;
    auto const value = configuration::parseJson(body, problems);
    if (!value || !value->is_object())
        return errors::makeError(errors::error_kind::internal, "the answer is not a JSON object");
    model::answer answer;
    json_reader reader { *value, problems };
    answer.id = reader.text("id", "");
    answer.isRemembered = reader.flag("remembered", false);
    answer.isCutOff = reader.flag("cut_off", false);
    reader.object("snapshot", true, [&](json_reader& item) {
        answer.reflects = { item.number("epoch", 0, maximumNumber), item.number("version", 0, maximumNumber) };
    });
    reader.object("coverage", true, [&](json_reader& item) {
        item.flag("whole");
        answer.covered.asked = static_cast<std::uint32_t>(item.number("asked", 0, maximumNumber));
        answer.covered.answered = static_cast<std::uint32_t>(item.number("answered", 0, maximumNumber));
        item.list("missing", true, [&](json_reader& shard) {
            answer.covered.missing.push_back({ static_cast<std::uint32_t>(shard.number("shard", 0, maximumNumber)), parseReason(shard) });
        });
    });
    if (!parseRows(value->get_object().if_contains("rows"), answer.rows))
        problems.emplace_back("rows: expected an array of pairs of strings");
    if (!problems.empty())
        return errors::makeError(errors::error_kind::internal, boost::algorithm::join(problems, "; "));
    return answer;
}

std::string formatError(errors::error const& error, std::string const& requestId)
{
    auto const& answer = errors::propertiesOf(error.kind);
    json::object fields {
        { "kind", answer.name },
        { "ran", errors::toString(answer.executionState) },
        { "retryable", answer.isRetryable },
        { "message", error.message },
    };
    if (error.retryAfter)
        fields["retry_after_ms"] = error.retryAfter->count();
    json::object whole { { "error", std::move(fields) } };
    if (!requestId.empty())
        whole["id"] = requestId;
    return json::serialize(whole);
}

errors::error parseError(std::string_view body)
{
    json::error_code failure;
    auto const value = json::parse(body, failure);
    errors::error error { errors::error_kind::internal, std::string { body }, std::nullopt };
    if (failure || !value.is_object() || !value.get_object().contains("error"))
        return error;
    auto const* fields = value.get_object().at("error").if_object();
    if (!fields)
        return error;
    if (auto const* kind = fields->if_contains("kind"); kind && kind->is_string())
        error.kind = errors::parseErrorKind(std::string_view { kind->get_string() }).value_or(errors::error_kind::internal);
    if (auto const* message = fields->if_contains("message"); message && message->is_string())
        error.message = std::string { message->get_string() };
    if (auto const* retryAfter = fields->if_contains("retry_after_ms"); retryAfter && retryAfter->is_int64())
        error.retryAfter = std::chrono::milliseconds { retryAfter->get_int64() };
    return error;
}

}
