#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace zinnialedge::fleet {

/// Object of the platform's store.
struct store_object {
    std::string name;
    /// Revision of the object's last change. Revisions increase across all objects of the store.
    std::uint64_t revision { 0 };
    boost::json::value content;
};

/// Page of a listing of the objects of one kind.
struct object_page {
    std::vector<store_object> objects;
    /// Whether further pages follow; the next page begins after the last name of this page.
    bool hasMore { false };
    /// Store revision that the page shows.
    std::uint64_t asOf { 0 };
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
};

}
