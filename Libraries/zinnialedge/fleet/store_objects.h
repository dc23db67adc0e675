#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace zinnialedge::fleet {

/// One object of the platform's store.
struct store_object {
    std::string name;
    /// Of its last change; rises over all objects of the store.
    std::uint64_t revision { 0 };
    boost::json::value content;
};

/// A page of the objects of one kind.
struct object_page {
    std::vector<store_object> objects;
    /// Further pages begin after the last name of this one.
    bool hasMore { false };
    /// The store's revision that the page shows.
    std::uint64_t asOf { 0 };
};

struct object_change {
    store_object object;
    bool isRemoved { false };
};

/// What has changed since a revision.
struct change_page {
    std::vector<object_change> changes;
    std::uint64_t asOf { 0 };
};

}
