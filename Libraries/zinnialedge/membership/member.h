#pragma once

#include "Libraries/zinnialedge/membership/daemon_record.h"
#include <cstdint>

namespace zinnialedge::membership {

enum class member_status {
    // Declared by the member itself; a change raises its version.
    joining,
    serving,
    leaving,
    // Said by others.
    suspect,
    dead,
};

char const* toString(member_status);

/// What one daemon says of another, or of itself.
struct member_update {
    /// Only name and incarnation are told with `suspect` and `dead`.
    daemon_record record;
    /// Raised by the member itself, to declare a new status or to refute a suspicion.
    std::uint32_t version { 0 };
    member_status status { member_status::joining };

    auto operator<=>(member_update const&) const = default;
};

/// True for joining, serving and leaving.
bool isDeclared(member_status);
/// Whether the left update replaces the right one: by incarnation, then version, then death over suspicion over life.
bool supersedes(member_update const&, member_update const&);
/// An upper bound of its bytes in a datagram.
std::size_t encodedBytes(member_update const&);

}
