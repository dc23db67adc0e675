#pragma once

#include "Libraries/zinnialedge/configuration/object_cache.h"
#include "Libraries/zinnialedge/wire/store_codec.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace zinnialedge::stand_ins::platform {

/// The condition of a write: nothing, "must not exist" (version 0), or "must have this version".
using write_condition = std::optional<std::uint64_t>;

/// Versioned objects with conditional writes. The version of an object is the store's revision at its last change.
class object_store {
public:
    /// The new version, or nothing when the condition does not hold.
    std::optional<std::uint64_t> write(std::string const& key, std::optional<std::string> body, write_condition);
    configuration::stored_object const* find(std::string const& key) const;
    wire::store_listing list(std::string const& prefix) const;
    /// What changed after a revision; nothing when the store has forgotten it.
    std::optional<wire::store_listing> changesAfter(std::uint64_t revision, std::string const& prefix) const;
    std::uint64_t revision() const { return m_revision; }

private:
    std::map<std::string, configuration::stored_object> m_objects;
    std::deque<configuration::stored_object> m_changes;
    std::uint64_t m_revision { 0 };
};

}
