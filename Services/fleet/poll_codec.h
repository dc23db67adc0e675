#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/fleet/snapshot_history.h"
#include "Libraries/zinnialedge/fleet/store_roles.h"
#include "Libraries/zinnialedge/wire/http_message.h"
#include "Services/fleet/snapshot_codec.h"

namespace zinnialedge::services::fleet {

inline constexpr char const* snapshotPath = "/fleet/snapshot";
inline constexpr char const* leafsPart = "leafs";
inline constexpr char const* evacuationsPart = "evacuations";

/// Part of a poll's answer, with what has changed.
struct polled_part {
    zinnialedge::fleet::part_position position;
    zinnialedge::fleet::object_changes changes;
    /// False while the sender defers changes of the part.
    bool isSettled { true };
};

/// Answer to a poll. A daemon of an earlier version answers with a complete snapshot instead, which has no `incarnation`.
struct poll_answer {
    std::uint64_t incarnation { 0 };
    std::uint64_t storeEra { 0 };
    zinnialedge::fleet::reader_state state;
    std::optional<object_snapshot> routes;
    std::map<std::string, polled_part> parts;
    /// False for a daemon of an earlier version, which answers polls without evacuations.
    bool tellsEvacuations { true };
};

/// Returns the request target of a poll. Daemons of an earlier version ignore its query string.
std::string formatPoll(zinnialedge::fleet::snapshot_poll const&);
/// Returns nothing for a request that is no poll, such as one of a daemon of an earlier version.
std::optional<zinnialedge::fleet::snapshot_poll> parsePoll(wire::http_request const&);
std::string formatAnswer(poll_answer const&);
errors::error_or<poll_answer> parseAnswer(std::string_view text);

}
