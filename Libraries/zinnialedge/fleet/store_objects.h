#pragma once

#include "Libraries/zinnialedge/fleet/store_position.h"
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinnialedge::fleet {

/// Object of the platform's store.
struct store_object {
    std::string name;
    /// Revision of the object's last change. Within an era, revisions increase across all objects of the store.
    std::uint64_t revision { 0 };
    /// Null when the content can't be parsed.
    boost::json::value content;
    /// Start time of the process that the object describes, in Unix milliseconds; zero when the object tells none.
    std::int64_t startedAt { 0 };
    /// Era of the store in which the object was read.
    std::uint64_t era { 0 };

    store_position position() const { return { era, revision }; }
};

/// Page of a listing of the objects of one kind.
struct object_page {
    std::vector<store_object> objects;
    /// Whether further pages follow; the next page begins after the last name of this page.
    bool hasMore { false };
    /// Store revision that the page shows.
    std::uint64_t asOf { 0 };
    /// Era in which the store sent the page; empty when the reply does not tell it.
    std::optional<std::uint64_t> era {};
    /// Number of further objects that can't be identified.
    std::size_t unreadableCount { 0 };
};

/// Change of an object that a watch reports.
struct object_change {
    store_object object;
    bool isRemoved { false };
};

/// Changes of the objects of one kind since a revision.
struct change_page {
    std::vector<object_change> changes;
    /// Store revision up to which the changes are complete.
    std::uint64_t asOf { 0 };
    /// Era in which the store sent the changes; empty when the reply does not tell it.
    std::optional<std::uint64_t> era {};
    /// Number of further changes whose objects can't be identified.
    std::size_t unreadableCount { 0 };
};

}
