#pragma once

#include "Libraries/zinnialedge/configuration/object_cache.h"
#include "Libraries/zinnialedge/model/endpoint.h"
#include <vector>

namespace zinnialedge::configuration {

/// Version of an object that a daemon knows.
struct known_version {
    std::string key;
    std::uint64_t version { 0 };

    auto operator<=>(known_version const&) const = default;
};

/// Request to another daemon for the objects of a key range that are newer than the requester's versions.
struct objects_request {
    /// Endpoint to which the newer objects are sent.
    model::endpoint replyTo;
    /// Key after which the range begins.
    std::string after;
    /// Versions that the requester knows, in key order. The range ends at the last key.
    std::vector<known_version> known;
    /// Whether the range extends past the last key in `known`, to the end of all keys.
    bool isLastPage { false };

    auto operator<=>(objects_request const&) const = default;
};

/// Maximum number of versions per request.
inline constexpr std::size_t versionsPerPage = 500;

/// Returns the requests that together ask another daemon for every object that is newer than the cached version.
std::vector<objects_request> makeObjectsRequests(object_cache const&, model::endpoint const& replyTo);
/// Returns the objects in the requested key range that are newer than the requester's versions.
std::vector<stored_object> findNewerObjects(object_cache const&, objects_request const&);
/// Returns a digest that is identical on daemons that know the same versions. Registrations are excluded because membership propagates
/// registrations.
std::uint64_t computeDigest(object_cache const&);

}
