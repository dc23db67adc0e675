#pragma once

#include "Libraries/zinnialedge/membership/member.h"
#include <vector>

namespace zinnialedge::membership {

enum class datagram_kind {
    /// Asks for an acknowledgement.
    ping,
    acknowledgement,
    /// Asks for a ping on behalf of the sender.
    ping_request,
    /// Asks for a page of the member table.
    members_asked,
    members_page,
};

/// One UDP message between daemons.
struct datagram {
    datagram_kind kind { datagram_kind::ping };
    /// Pairs an acknowledgement with its ping.
    std::uint64_t sequence { 0 };
    /// The sender's own status.
    member_update sender;
    std::uint64_t configurationDigest { 0 };
    /// Who is pinged, who acknowledged, or after which name a page begins.
    std::string subject;
    model::endpoint subjectPlace;
    std::vector<member_update> updates;
    bool isLastPage { false };

    auto operator<=>(datagram const&) const = default;
};

/// The most bytes of a datagram: it passes through any network without being split.
inline constexpr std::size_t maximumDatagramBytes = 1200;

}
