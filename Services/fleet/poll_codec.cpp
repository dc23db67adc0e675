#include "Services/fleet/poll_codec.h"

#include <boost/json.hpp>
#include <charconv>

namespace zinnialedge::services::fleet {

namespace json = boost::json;
using zinnialedge::fleet::part_position;
using zinnialedge::fleet::snapshot_poll;

/// Prefix of the parameters that name the position of a part.
static constexpr std::string_view partPrefix = "part_";

std::string formatPoll(snapshot_poll const& poll)
{
    auto target = std::string { snapshotPath } + "?wait_ms=" + std::to_string(poll.holdTime.count()) + "&origin=" + std::to_string(poll.origin)
        + "&version=" + std::to_string(poll.configurationVersion) + "&era=" + std::to_string(poll.storeEra) + "&store=" + (poll.isStoreReached ? "1" : "0");
    for (auto const& [name, part] : poll.parts)
        target += "&" + std::string { partPrefix } + name + "=" + std::to_string(part.position.era) + "." + std::to_string(part.position.revision) + "." + std::to_string(part.generation);
    return target;
}

/// Reads a number and removes it from the text, with the character that follows. A malformed number is zero.
static std::uint64_t takeNumber(std::string_view& text)
{
    std::uint64_t number = 0;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    text.remove_prefix(std::min(static_cast<std::size_t>(parsed.ptr - text.data()) + 1, text.size()));
    return number;
}

std::optional<snapshot_poll> parsePoll(wire::http_request const& request)
{
    auto const parameters = wire::parseQueryParameters(request);
    if (!parameters.contains("wait_ms"))
        return std::nullopt;
    auto const numberOf = [&](char const* name) -> std::uint64_t {
        auto const found = parameters.find(name);
        if (found == parameters.end())
            return 0;
        std::string_view text { found->second };
        return takeNumber(text);
    };
    snapshot_poll poll;
    auto const maximumHoldTime = static_cast<std::uint64_t>(zinnialedge::fleet::pollHoldTime.count());
    poll.holdTime = std::chrono::milliseconds { std::min(numberOf("wait_ms"), maximumHoldTime) };
    poll.origin = numberOf("origin");
    poll.configurationVersion = numberOf("version");
    poll.storeEra = numberOf("era");
    poll.isStoreReached = numberOf("store") != 0;
    for (auto const& [name, value] : parameters) {
        if (!name.starts_with(partPrefix))
            continue;
        std::string_view text { value };
        auto const era = takeNumber(text);
        auto const revision = takeNumber(text);
        poll.parts[name.substr(partPrefix.size())] = { { era, revision }, takeNumber(text) };
    }
    return poll;
}

std::string formatAnswer(poll_answer const& answer)
{
    json::object formatted {
        { "reader", { { "incarnation", answer.incarnation }, { "era", answer.storeEra }, { "reads_store", answer.state.readsStore }, { "store_reached", answer.state.isStoreReached }, { "is_reader", answer.state.isReader }, { "has_source", answer.state.hasSource } } },
    };
    if (answer.routes)
        formatted["routes"] = formatObjects(*answer.routes);
    json::object parts;
    for (auto const& [name, part] : answer.parts) {
        auto& formattedPart = (parts[name] = formatObjects({ part.position.position, part.changes.objects })).as_object();
        formattedPart["generation"] = part.position.generation;
        formattedPart["is_complete"] = part.changes.isComplete;
        formattedPart["is_settled"] = part.isSettled;
        formattedPart["removed"] = json::value_from(part.changes.removed);
    }
    formatted["parts"] = std::move(parts);
    return json::serialize(formatted);
}

errors::error_or<poll_answer> parseAnswer(std::string_view text)
{
    try {
        auto const value = parseMessage(text);
        poll_answer answer;
        auto const* const reader = value.as_object().if_contains("reader");
        answer.state.holdsPolls = reader;
        if (!reader)
            return answer;
        answer.incarnation = reader->at("incarnation").to_number<std::uint64_t>();
        answer.storeEra = reader->at("era").to_number<std::uint64_t>();
        answer.state.readsStore = reader->at("reads_store").as_bool();
        answer.state.isStoreReached = reader->at("store_reached").as_bool();
        answer.state.isReader = reader->at("is_reader").as_bool();
        auto const* const hasSource = reader->as_object().if_contains("has_source");
        answer.state.hasSource = hasSource && hasSource->as_bool();
        // A subscriber would not hear of evacuations from a reader of an earlier version.
        answer.tellsEvacuations = hasSource;
        answer.state.readsStore &= answer.tellsEvacuations;
        if (auto const* const routes = value.as_object().if_contains("routes"))
            answer.routes = parseObjects(*routes);
        for (auto const& [name, part] : value.at("parts").as_object()) {
            auto objects = parseObjects(part);
            polled_part parsed { { objects.position, part.at("generation").to_number<std::uint64_t>() }, { part.at("is_complete").as_bool(), std::move(objects.objects), {} }, part.at("is_settled").as_bool() };
            for (auto const& removed : part.at("removed").as_array())
                parsed.changes.removed.emplace_back(removed.as_string());
            answer.parts.emplace(name, std::move(parsed));
        }
        return answer;
    } catch (std::exception const& failure) {
        return errors::makeError(errors::error_kind::malformed_request, std::string { "malformed answer to a poll: " } + failure.what());
    }
}

}
