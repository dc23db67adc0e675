#include "Libraries/zinnialedge/wire/store_codec.h"

#include "Libraries/zinnialedge/configuration/json_reader.h"
#include <boost/json.hpp>

namespace zinnialedge::wire {

namespace json = boost::json;

static constexpr auto maximumNumber = std::numeric_limits<std::uint64_t>::max();

std::optional<store_listing> parseStoreListing(std::string_view body)
{
    std::vector<std::string> problems;
    auto const value = configuration::parseJson(body, problems);
    if (!value)
        return std::nullopt;
    store_listing listing;
    configuration::json_reader reader { *value, problems };
    listing.revision = reader.number("revision", 0, maximumNumber);
    reader.list("objects", true, [&](configuration::json_reader& item) {
        configuration::stored_object object { item.text("key"), item.number("version", 1, maximumNumber), std::nullopt };
        if (item.has("body"))
            object.body = item.text("body", "");
        listing.objects.push_back(std::move(object));
    });
    if (!problems.empty())
        return std::nullopt;
    return listing;
}

std::string formatStoreListing(store_listing const& listing)
{
    json::array objects;
    for (auto const& object : listing.objects) {
        json::object fields { { "key", object.key }, { "version", object.version } };
        if (object.body)
            fields["body"] = *object.body;
        objects.push_back(std::move(fields));
    }
    return json::serialize(json::object { { "revision", listing.revision }, { "objects", std::move(objects) } });
}

}
