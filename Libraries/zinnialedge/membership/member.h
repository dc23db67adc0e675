#pragma once

#include "Libraries/zinnialedge/membership/daemon_record.h"
#include <cstdint>
#include <optional>

namespace zinnialedge::membership {

enum class member_status {
    // Statuses that a member declares for itself; each change raises the member's version.
    joining,
    serving,
    leaving,
    // Statuses that other members report about a member.
    suspect,
    dead,
};

char const* toString(member_status);

/// Status update that a daemon announces about another daemon or about itself.
struct member_update {
    /// Record of the member. Updates with status `suspect` or `dead` carry only the name and the incarnation.
    daemon_record record;
    /// Version that only the member itself raises, either to declare a new status or to refute a suspicion.
    std::uint32_t version { 0 };
    member_status status { member_status::joining };
    /// False while the member declares that it has lost its links to all leafs.
    bool reachesLeafs { true };
    /// Processor share of the member's VM, in cores. Empty when the member does not tell it.
    std::optional<double> strength {};

    auto operator<=>(member_update const&) const = default;
};

/// Returns true for the statuses that a member declares for itself: joining, serving and leaving.
bool isSelfDeclared(member_status);
/// Returns whether the left update replaces the right update. A higher incarnation wins, then a higher version, then the more
/// severe status: dead over suspect over a declared status.
bool supersedes(member_update const&, member_update const&);
/// Returns an upper bound of the encoded size of an update in a datagram, in bytes.
std::size_t maximumEncodedBytes(member_update const&);

}
