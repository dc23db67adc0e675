#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/fleet/store_objects.h"
#include "Libraries/zinnialedge/forwarding/leaf_registration.h"
#include "Libraries/zinnialedge/forwarding/route_table.h"
#include "Libraries/zinnialedge/wire/http_message.h"
#include <functional>
#include <optional>

namespace zinnialedge::fleet {

/// The kinds of objects that a daemon reads.
enum class object_kind {
    routes,
    leafs,
    daemons,
};

/// How the platform's store, its objects and the directory are spoken to.
struct store_protocol {
    /// `mayBeStale`: at a lower price, for data that may be seconds old.
    std::function<wire::http_request(object_kind, std::string const& after, bool mayBeStale)> list;
    std::function<wire::http_request(object_kind, std::uint64_t revision, std::chrono::milliseconds wait)> watch;
    std::function<errors::error_or<object_page>(std::string_view body)> parsePage;
    std::function<errors::error_or<change_page>(std::string_view body)> parseChanges;

    /// Asks for an object of the own kind, at the lowest price; only whether there is an answer counts.
    std::function<wire::http_request(std::string const& name)> probe;
    /// Writes an object of the own kind. Without a revision it is created.
    std::function<wire::http_request(std::string const& name, boost::json::value const& content, std::optional<std::uint64_t> revision)> write;
    /// Removes an object of the own kind; with a revision only while the object has it.
    std::function<wire::http_request(std::string const& name, std::optional<std::uint64_t> revision)> remove;
    std::function<errors::error_or<store_object>(std::string_view body)> parseObject;

    std::function<errors::error_or<forwarding::route_declarations>(store_object const&)> parseRoutes;
    std::function<errors::error_or<forwarding::leaf_registration>(store_object const&)> parseLeaf;

    /// The caller's data centre, when the directory is asked.
    std::function<std::optional<std::string>(wire::http_request const&)> parseDirectoryQuestion;
    std::function<bool(wire::http_request const&)> isReadinessAsked;
    std::function<std::string(std::vector<model::endpoint> const&, std::chrono::milliseconds validFor)> formatDirectory;
};

/// Statuses of the store that decide what to do next.
inline constexpr int statusOk = 200;
inline constexpr int statusConflict = 409;
inline constexpr int statusHistoryGone = 410;

}
