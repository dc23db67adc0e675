#pragma once

#include <compare>
#include <cstdint>

namespace zinnialedge::fleet {

/// Position in the history of the store. The store begins a new era when it continues from an older copy of its objects. It then
/// assigns revisions again, so a revision identifies a state of the store only together with its era.
struct store_position {
    /// Zero when the store has not told its era.
    std::uint64_t era { 0 };
    std::uint64_t revision { 0 };

    auto operator<=>(store_position const&) const = default;
};

}
