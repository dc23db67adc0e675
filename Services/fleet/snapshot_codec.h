#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/fleet/store_objects.h"
#include <map>

namespace zinnialedge::services::fleet {

/// The objects of one kind as a daemon has read them.
struct snapshot_part {
    std::uint64_t asOf { 0 };
    std::map<std::string, zinnialedge::fleet::store_object> objects;
};

/// What one daemon tells another that can't read the store.
struct snapshot {
    snapshot_part routes;
    snapshot_part leafs;
};

std::string formatSnapshot(snapshot const&);
errors::error_or<snapshot> parseSnapshot(std::string_view text);

}
