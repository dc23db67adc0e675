#include "Services/fleet/snapshot_codec.h"

#include <boost/json.hpp>

namespace zinnialedge::services::fleet {

namespace json = boost::json;

static json::object format(object_snapshot const& part)
{
    json::array objects;
    for (auto const& [name, object] : part.objects)
        objects.push_back({ { "name", name }, { "revision", object.revision }, { "content", object.content } });
    return { { "as_of", part.asOf }, { "objects", std::move(objects) } };
}

std::string formatSnapshot(fleet_snapshot const& snapshot)
{
    return json::serialize(json::object { { "routes", format(snapshot.routes) }, { "leafs", format(snapshot.leafs) } });
}

static object_snapshot parse(json::value const& value)
{
    object_snapshot part;
    part.asOf = value.at("as_of").to_number<std::uint64_t>();
    for (auto const& each : value.at("objects").as_array()) {
        std::string const name { each.at("name").as_string() };
        part.objects[name] = { name, each.at("revision").to_number<std::uint64_t>(), each.at("content") };
    }
    return part;
}

errors::error_or<fleet_snapshot> parseSnapshot(std::string_view text)
{
    try {
        auto const value = json::parse({ text.data(), text.size() });
        return fleet_snapshot { parse(value.at("routes")), parse(value.at("leafs")) };
    } catch (std::exception const& failure) {
        return errors::makeError(errors::error_kind::malformed_request, std::string { "malformed snapshot: " } + failure.what());
    }
}

}
