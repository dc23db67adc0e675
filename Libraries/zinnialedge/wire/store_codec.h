#pragma once

#include "Libraries/zinnialedge/configuration/object_cache.h"
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnialedge::wire {

/// Result of listing or watching objects of the platform's store.
struct store_listing {
    /// Store revision up to which all changes are included.
    std::uint64_t revision { 0 };
    std::vector<configuration::stored_object> objects;
};

/// Returns no value when the text is not a valid listing.
std::optional<store_listing> parseStoreListing(std::string_view body);
std::string formatStoreListing(store_listing const&);

}
