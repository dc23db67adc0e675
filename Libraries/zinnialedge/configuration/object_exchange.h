#pragma once

#include "Libraries/zinnialedge/configuration/object_cache.h"
#include "Libraries/zinnialedge/model/endpoint.h"
#include <vector>

namespace zinnialedge::configuration {

/// The version of an object that a daemon knows.
struct known_version {
    std::string key;
    std::uint64_t version { 0 };

    auto operator<=>(known_version const&) const = default;
};

/// A daemon asks another for the objects of a range of keys that are newer than its own.
struct objects_asked {
    model::endpoint replyTo;
    /// The range begins after this key.
    std::string after;
    /// In the order of their keys; the range ends with the last of them.
    std::vector<known_version> known;
    /// The range has no end.
    bool isLastPage { false };

    auto operator<=>(objects_asked const&) const = default;
};

/// The most versions on one page.
inline constexpr std::size_t versionsPerPage = 500;

/// The pages that ask another daemon for everything that is newer than this cache.
std::vector<objects_asked> makePages(object_cache const&, model::endpoint const& replyTo);
/// The objects that the asking daemon lacks.
std::vector<stored_object> newerThan(object_cache const&, objects_asked const&);
/// Equal on daemons that know the same versions. Registrations are left out: membership carries them.
std::uint64_t digestOf(object_cache const&);

}
