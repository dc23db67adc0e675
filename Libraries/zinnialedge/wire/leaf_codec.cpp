#include "Libraries/zinnialedge/wire/leaf_codec.h"

#include "Libraries/zinnialedge/wire/row_codec.h"
#include <array>
#include <boost/json.hpp>

namespace zinnialedge::wire {

namespace json = boost::json;
using queries::leaf_outcome;
using queries::leaf_outcome_kind;
using queries::leaf_refusal;
using queries::leaf_status;

static constexpr std::array<std::string_view, 7> refusalNames { "none", "version_gone", "wrong_epoch", "shed", "draining", "cancelled", "deadline" };
static constexpr int statusOk = 200;

std::string_view toString(leaf_refusal refusal)
{
    return refusalNames.at(static_cast<std::size_t>(refusal));
}

static std::optional<leaf_refusal> parseRefusal(std::string_view name)
{
    for (std::size_t index = 1; index < refusalNames.size(); ++index) {
        if (refusalNames[index] == name)
            return static_cast<leaf_refusal>(index);
    }
    return std::nullopt;
}

http_request formatLeafCall(leaf_call const& call)
{
    json::object fields {
        { "call", call.call },
        { "request", call.requestKind },
        { "shard", call.shard },
        { "epoch", call.pin.epoch },
        { "version", call.pin.version },
        { "deadline_us", call.deadline.count() },
        { "urgent", call.isUrgent },
    };
    if (!call.key.empty())
        fields["key"] = call.key;
    if (!call.body.empty())
        fields["body"] = call.body;
    if (!call.ticket.empty())
        fields["ticket"] = call.ticket;
    return { "POST", "/search", json::serialize(fields), {} };
}

static std::string textOrEmpty(json::object const& fields, std::string_view name)
{
    auto const* value = fields.if_contains(name);
    return value && value->is_string() ? std::string { value->get_string() } : std::string {};
}

static std::optional<std::uint64_t> readNumber(json::object const& fields, std::string_view name)
{
    auto const* value = fields.if_contains(name);
    if (!value || !value->is_number())
        return std::nullopt;
    json::error_code failure;
    auto const number = value->to_number<std::uint64_t>(failure);
    return failure ? std::nullopt : std::optional { number };
}

static std::vector<std::uint64_t> readNumbers(json::object const& fields, std::string_view name)
{
    std::vector<std::uint64_t> numbers;
    auto const* value = fields.if_contains(name);
    if (!value || !value->is_array())
        return numbers;
    for (auto const& item : value->get_array()) {
        json::error_code failure;
        auto const number = item.is_number() ? item.to_number<std::uint64_t>(failure) : 0;
        if (item.is_number() && !failure)
            numbers.push_back(number);
    }
    return numbers;
}

std::optional<leaf_call> parseLeafCall(std::string_view body)
{
    json::error_code failure;
    auto const value = json::parse(body, failure);
    auto const* fields = failure ? nullptr : value.if_object();
    if (!fields)
        return std::nullopt;
    auto const shard = readNumber(*fields, "shard");
    auto const epoch = readNumber(*fields, "epoch");
    auto const version = readNumber(*fields, "version");
    auto const deadline = readNumber(*fields, "deadline_us");
    if (!shard || !epoch || !version || !deadline)
        return std::nullopt;
    auto const* urgent = fields->if_contains("urgent");
    return leaf_call {
        .call = textOrEmpty(*fields, "call"),
        .requestKind = textOrEmpty(*fields, "request"),
        .key = textOrEmpty(*fields, "key"),
        .body = textOrEmpty(*fields, "body"),
        .ticket = textOrEmpty(*fields, "ticket"),
        .shard = static_cast<std::uint32_t>(*shard),
        .pin = { *epoch, *version },
        .deadline = std::chrono::microseconds { static_cast<std::int64_t>(*deadline) },
        .isUrgent = urgent && urgent->is_bool() && urgent->get_bool(),
    };
}

static json::array toArray(std::vector<std::uint64_t> const& numbers)
{
    return json::array(numbers.begin(), numbers.end());
}

static json::object toJson(leaf_status const& status)
{
    return { { "epochs", toArray(status.epochs) }, { "versions", toArray(status.versions) }, { "load", status.load }, { "draining", status.isDraining } };
}

std::string formatLeafAnswer(leaf_call const& call, leaf_status const& status, std::vector<model::row> const& rows)
{
    auto fields = toJson(status);
    fields["call"] = call.call;
    fields["shard"] = call.shard;
    fields["epoch"] = call.pin.epoch;
    fields["version"] = call.pin.version;
    fields["rows"] = formatRows(rows);
    return json::serialize(fields);
}

std::string formatLeafRefusal(leaf_call const& call, leaf_status const& status, leaf_refusal refusal)
{
    auto fields = toJson(status);
    fields["call"] = call.call;
    fields["refusal"] = toString(refusal);
    return json::serialize(fields);
}

std::string formatLeafStatus(leaf_status const& status)
{
    return json::serialize(toJson(status));
}

static leaf_status readStatus(json::object const& fields)
{
    leaf_status status;
    status.epochs = readNumbers(fields, "epochs");
    status.versions = readNumbers(fields, "versions");
    if (auto const* load = fields.if_contains("load"); load && load->is_number())
        status.load = load->to_number<double>();
    if (auto const* draining = fields.if_contains("draining"); draining && draining->is_bool())
        status.isDraining = draining->get_bool();
    return status;
}

std::optional<leaf_status> parseLeafStatus(std::string_view body)
{
    json::error_code failure;
    auto const value = json::parse(body, failure);
    if (failure || !value.is_object())
        return std::nullopt;
    return readStatus(value.get_object());
}

static leaf_outcome makeFailure(std::string reason)
{
    leaf_outcome outcome;
    outcome.reason = std::move(reason);
    return outcome;
}

leaf_outcome parseLeafReply(http_response const& response, std::string_view call)
{
    json::error_code failure;
    auto const value = json::parse(response.body, failure);
    auto const* fields = failure ? nullptr : value.if_object();
    if (!fields)
        return makeFailure("the reply is not a JSON object");
    if (textOrEmpty(*fields, "call") != call)
        return makeFailure("the reply belongs to another call");
    leaf_outcome outcome;
    outcome.status = readStatus(*fields);
    if (auto const name = textOrEmpty(*fields, "refusal"); !name.empty()) {
        auto const refusal = parseRefusal(name);
        if (!refusal)
            return makeFailure("unknown refusal " + name);
        outcome.kind = leaf_outcome_kind::refused;
        outcome.refusal = *refusal;
        outcome.reason = name;
        return outcome;
    }
    auto const shard = readNumber(*fields, "shard");
    auto const epoch = readNumber(*fields, "epoch");
    auto const version = readNumber(*fields, "version");
    if (response.status != statusOk || !shard || !epoch || !version || !parseRows(fields->if_contains("rows"), outcome.rows))
        return makeFailure("the reply has a status other than 200, or a missing or invalid field");
    outcome.kind = leaf_outcome_kind::answered;
    outcome.shard = static_cast<std::uint32_t>(*shard);
    outcome.reflects = { *epoch, *version };
    return outcome;
}

}
