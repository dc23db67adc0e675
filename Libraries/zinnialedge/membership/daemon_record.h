#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/model/endpoint.h"
#include <string>
#include <string_view>

namespace zinnialedge::membership {

/// What a daemon registers of itself in the platform's store.
struct daemon_record {
    std::string name;
    std::string partner;
    std::string region;
    std::string dataCentre;
    std::uint64_t incarnation { 0 };
    model::endpoint callers;
    model::endpoint peers;
    bool isLeaving { false };

    auto operator<=>(daemon_record const&) const = default;
};

errors::error_or<daemon_record> parseDaemonRecord(std::string_view text);
std::string formatDaemonRecord(daemon_record const&);

}
