#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/fleet/store_objects.h"
#include <map>

namespace zinnialedge::services::fleet {

/// Objects of one kind as read by a daemon, with the store revision of that read.
struct snapshot_part {
    std::uint64_t asOf { 0 };
    std::map<std::string, zinnialedge::fleet::store_object> objects;
};

/// Configuration and leafs that a daemon sends to a peer that cannot read the store.
struct snapshot {
    snapshot_part routes;
    snapshot_part leafs;
};

std::string formatSnapshot(snapshot const&);
errors::error_or<snapshot> parseSnapshot(std::string_view text);

}
