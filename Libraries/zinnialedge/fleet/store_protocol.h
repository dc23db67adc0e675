#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/fleet/store_objects.h"
#include "Libraries/zinnialedge/forwarding/leaf_registration.h"
#include "Libraries/zinnialedge/forwarding/route_table.h"
#include "Libraries/zinnialedge/wire/http_message.h"
#include <functional>
#include <optional>

namespace zinnialedge::fleet {

/// Kind of store objects that a daemon reads.
enum class object_kind {
    routes,
    leafs,
    daemons,
    /// Requests to send nothing to the leafs of a data centre, which is the name of the object. The content says nothing.
    evacuations,
};

/// Encoders and parsers for the requests and replies of the platform's store, its objects and the directory.
struct store_protocol {
    /// Makes a request for the page of objects after the name `after`. With `isStaleAllowed`, the data may be seconds old and the
    /// request costs the store less.
    std::function<wire::http_request(object_kind, std::string const& after, bool isStaleAllowed)> list;
    /// Makes a request for the changes since `revision`, for which the store may hold the reply for up to `timeout`.
    std::function<wire::http_request(object_kind, std::uint64_t revision, std::chrono::milliseconds timeout)> watch;
    /// Returns the era that the store tells in a reply; empty when the reply tells none.
    std::function<std::optional<std::uint64_t>(wire::http_response const&)> parseEra;
    std::function<errors::error_or<object_page>(std::string_view body)> parsePage;
    std::function<errors::error_or<change_page>(std::string_view body)> parseChanges;

    /// Makes the cheapest request for the changes since `revision`, which the store answers at once. The reply is parsed by parseChanges() and
    /// may lack changes of the last seconds.
    std::function<wire::http_request(object_kind, std::uint64_t revision)> check;
    /// Makes a request that writes a daemon object. Without a revision, the request creates the object; with a revision, the
    /// request replaces that revision.
    std::function<wire::http_request(std::string const& name, boost::json::value const& content, std::optional<std::uint64_t> revision)> write;
    /// Makes a request that removes a daemon object. With a revision, the store removes the object only at that revision.
    std::function<wire::http_request(std::string const& name, std::optional<std::uint64_t> revision)> remove;
    std::function<errors::error_or<store_object>(std::string_view body)> parseObject;

    std::function<errors::error_or<forwarding::route_declarations>(store_object const&)> parseRoutes;
    std::function<errors::error_or<forwarding::leaf_registration>(store_object const&)> parseLeaf;

    /// Returns the caller's data centre when the request is a directory query.
    std::function<std::optional<std::string>(wire::http_request const&)> parseDirectoryQuery;
    /// Returns whether the request is a readiness check.
    std::function<bool(wire::http_request const&)> isReadinessRequest;
    std::function<std::string(std::vector<model::endpoint> const&, std::chrono::milliseconds validFor)> formatDirectory;
};

/// HTTP statuses of the store's replies that determine the next request.
inline constexpr int statusOk = 200;
inline constexpr int statusConflict = 409;
inline constexpr int statusHistoryGone = 410;

}
