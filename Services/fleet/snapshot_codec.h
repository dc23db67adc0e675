#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/fleet/store_objects.h"
#include <boost/json/object.hpp>
#include <map>
#include <optional>

namespace zinnialedge::services::fleet {

/// Objects of one kind as read by a daemon, with the store position of that read.
struct object_snapshot {
    zinnialedge::fleet::store_position position;
    std::map<std::string, zinnialedge::fleet::store_object> objects;
};

/// What a daemon sends to a peer that cannot read the store.
struct fleet_snapshot {
    /// The configuration in force, which may be newer than the store's after the store returned from an older copy.
    object_snapshot routes;
    object_snapshot leafs;
    /// Empty when the sender does not read evacuations or has not read them yet.
    std::optional<object_snapshot> evacuations {};
};

/// Parses a message of another daemon. Throws on malformed input.
boost::json::value parseMessage(std::string_view text);
boost::json::object formatObjects(object_snapshot const&);
/// Throws on malformed input.
object_snapshot parseObjects(boost::json::value const&);
std::string formatSnapshot(fleet_snapshot const&);
errors::error_or<fleet_snapshot> parseSnapshot(std::string_view text);

}
