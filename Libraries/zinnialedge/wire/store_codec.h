#pragma once

#include "Libraries/zinnialedge/configuration/object_cache.h"
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnialedge::wire {

/// What a list or a watch of the platform's store returns.
struct store_listing {
    /// Everything up to this revision of the store is contained.
    std::uint64_t revision { 0 };
    std::vector<configuration::stored_object> objects;
};

/// Nothing when the text is no listing.
std::optional<store_listing> parseStoreListing(std::string_view body);
std::string formatStoreListing(store_listing const&);

}
