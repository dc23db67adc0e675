#pragma once

#include "Libraries/zinnialedge/allowances/usage_report.h"
#include "Libraries/zinnialedge/membership/member.h"
#include "Libraries/zinnialedge/quarantine/suspect_notice.h"
#include <optional>
#include <vector>

namespace zinnialedge::membership {

enum class datagram_kind {
    /// Requests an acknowledgement.
    ping,
    acknowledgement,
    /// Requests that the receiver ping a third daemon on behalf of the sender.
    ping_request,
    /// Requests a page of the member table.
    members_request,
    /// Carries a page of the member table.
    members_page,
    /// Carries the sender's report of requests that count towards quotas. Daemons of earlier builds drop it.
    usage_report,
};

/// UDP message between daemons.
struct datagram {
    datagram_kind kind { datagram_kind::ping };
    /// Number that matches an acknowledgement to its ping.
    std::uint64_t sequence { 0 };
    /// Status that the sender declares for itself.
    member_update sender;
    /// Digest of the service versions that the sender knows.
    std::uint64_t configurationDigest { 0 };
    /// Name of the daemon that is pinged or that acknowledges; in table pages, the name after which the page begins.
    std::string subject;
    /// Endpoint of the daemon to ping; set in ping requests only.
    model::endpoint subjectEndpoint;
    std::vector<member_update> updates;
    /// Whether the member table ends with this page.
    bool isLastPage { false };
    /// Requests under which leafs were lost, as far as they fit.
    std::vector<quarantine::suspect_notice> suspects;
    /// Set in usage reports only.
    std::optional<allowances::usage_report> usage;

    auto operator<=>(datagram const&) const = default;
};

/// Maximum size of a datagram in bytes. Datagrams up to this size fit into a network packet without fragmentation.
inline constexpr std::size_t maximumDatagramBytes = 1200;

}
