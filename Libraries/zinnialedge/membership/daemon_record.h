#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/model/endpoint.h"
#include <string>
#include <string_view>

namespace zinnialedge::membership {

/// Registration that a daemon writes about itself to the platform's store.
struct daemon_record {
    std::string name;
    std::string partner;
    std::string region;
    std::string dataCentre;
    /// Number that is higher for each later process of the same daemon name.
    std::uint64_t incarnation { 0 };
    /// Endpoint that accepts connections from callers.
    model::endpoint callerEndpoint;
    /// Endpoint that accepts messages from other daemons.
    model::endpoint peerEndpoint;
    bool isLeaving { false };

    auto operator<=>(daemon_record const&) const = default;
};

/// Returns the record, or an error that names every invalid field.
errors::error_or<daemon_record> parseDaemonRecord(std::string_view text);
std::string formatDaemonRecord(daemon_record const&);

}
