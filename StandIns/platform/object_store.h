#pragma once

#include "Libraries/zinnialedge/configuration/object_cache.h"
#include "Libraries/zinnialedge/wire/store_codec.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace zinnialedge::stand_ins::platform {

/// Precondition of a write: none (no value), the object must not exist (0), or the object must have this version.
using write_precondition = std::optional<std::uint64_t>;

/// Stores versioned objects with conditional writes. The version of an object is the store's revision at its last change.
class object_store {
public:
    /// Writes an object, or deletes it when there is no body. Returns the new version, or no value when the precondition does
    /// not hold.
    std::optional<std::uint64_t> write(std::string const& key, std::optional<std::string> body, write_precondition);
    configuration::stored_object const* find(std::string const& key) const;
    wire::store_listing list(std::string const& prefix) const;
    /// Returns the changes after a revision, or no value when some of these changes are no longer retained.
    std::optional<wire::store_listing> changesAfter(std::uint64_t revision, std::string const& prefix) const;
    std::uint64_t revision() const { return m_revision; }

private:
    std::map<std::string, configuration::stored_object> m_objects;
    std::deque<configuration::stored_object> m_retainedChanges;
    std::uint64_t m_revision { 0 };
};

}
