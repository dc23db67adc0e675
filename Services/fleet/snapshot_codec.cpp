#include "Services/fleet/snapshot_codec.h"

#include <algorithm>
#include <boost/json.hpp>
#include <stdexcept>

namespace zinnialedge::services::fleet {

namespace json = boost::json;

/// Messages contain the contents of objects, which daemons of earlier versions pass on whatever their depth.
static constexpr std::size_t maximumMessageDepth = 64;
/// Messages of daemons have eight bytes and more for each value.
static constexpr std::size_t minimumBytesPerValue = 5;
/// Number of values that a short message may have in any case.
static constexpr std::size_t permittedValues = 4096;

json::object formatObjects(object_snapshot const& part)
{
    json::array objects;
    for (auto const& [name, object] : part.objects)
        objects.push_back({ { "name", name }, { "era", object.era }, { "revision", object.revision }, { "started_at", object.startedAt }, { "content", object.content } });
    return { { "era", part.position.era }, { "as_of", part.position.revision }, { "objects", std::move(objects) } };
}

std::string formatSnapshot(fleet_snapshot const& snapshot)
{
    json::object parts { { "routes", formatObjects(snapshot.routes) }, { "leafs", formatObjects(snapshot.leafs) } };
    if (snapshot.evacuations)
        parts["evacuations"] = formatObjects(*snapshot.evacuations);
    return json::serialize(parts);
}

/// Returns the number in a field that daemons of earlier versions do not send, or zero.
template <typename Number>
static Number readNumberOrZero(json::value const& value, std::string_view name)
{
    auto const* const found = value.as_object().if_contains(name);
    return found ? found->to_number<Number>() : Number {};
}

/// Returns whether a text has so many values for its length that they would take far more memory than the text.
static bool isDense(std::string_view text)
{
    static constexpr std::string_view separators = ",:[{";
    auto const count = std::count_if(text.begin(), text.end(), [](char character) { return separators.find(character) != std::string_view::npos; });
    return static_cast<std::size_t>(count) > permittedValues + text.size() / minimumBytesPerValue;
}

json::value parseMessage(std::string_view text)
{
    if (isDense(text))
        throw std::length_error("a message has too many values");
    json::parse_options options;
    options.max_depth = maximumMessageDepth;
    return json::parse({ text.data(), text.size() }, {}, options);
}

object_snapshot parseObjects(json::value const& value)
{
    object_snapshot part;
    part.position = { readNumberOrZero<std::uint64_t>(value, "era"), value.at("as_of").to_number<std::uint64_t>() };
    for (auto const& each : value.at("objects").as_array()) {
        std::string const name { each.at("name").as_string() };
        part.objects[name] = { name, each.at("revision").to_number<std::uint64_t>(), each.at("content"), readNumberOrZero<std::int64_t>(each, "started_at"), readNumberOrZero<std::uint64_t>(each, "era") };
    }
    return part;
}

/// Returns a part that older daemons do not send. A malformed part counts as missing, so that the other parts can be used.
static std::optional<object_snapshot> parseOptional(json::value const& value, std::string_view name)
{
    auto const* const part = value.as_object().if_contains(name);
    try {
        return part ? std::optional { parseObjects(*part) } : std::nullopt;
    } catch (std::exception const&) {
        return std::nullopt;
    }
}

errors::error_or<fleet_snapshot> parseSnapshot(std::string_view text)
{
    try {
        auto const value = parseMessage(text);
        return fleet_snapshot { parseObjects(value.at("routes")), parseObjects(value.at("leafs")), parseOptional(value, "evacuations") };
    } catch (std::exception const& failure) {
        return errors::makeError(errors::error_kind::malformed_request, std::string { "malformed snapshot: " } + failure.what());
    }
}

}
