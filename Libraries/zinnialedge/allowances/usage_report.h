#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinnialedge::allowances {

/// Requests of one tenant that one daemon has accepted.
struct tenant_usage {
    std::string tenant;
    /// Number of requests since the start of the process, without those that reached no leaf.
    std::int64_t count { 0 };
    /// Number of requests that the whole fleet may accept at once, as far as the sender knows; negative when it has accepted too many.
    double level { 0 };

    auto operator<=>(tenant_usage const&) const = default;
};

/// Reports of one member that the sender has merged.
struct usage_acknowledgement {
    /// Hash of the member's name.
    std::uint64_t member { 0 };
    /// Highest sequence number that was merged.
    std::uint64_t sequence { 0 };
    /// Bit i is set when the report with the sequence number `sequence` - 1 - i was merged.
    std::uint64_t earlierReports { 0 };

    auto operator<=>(usage_acknowledgement const&) const = default;
};

/// What one daemon tells others of the requests that it has accepted. Counts are cumulative, so that a lost or repeated report does no
/// harm.
struct usage_report {
    /// Name of the sender, which differs between its incarnations.
    std::string member;
    /// Endpoint of the sender for messages between daemons.
    model::endpoint endpoint;
    /// Number that is higher for each later report of the sender, whoever gets it.
    std::uint64_t sequence { 0 };
    /// Time since the start of the sender's process, by its own clock.
    std::chrono::milliseconds age { 0 };
    /// True when the sender waits for an acknowledgement.
    bool isAnswerWanted { false };
    /// True when the sender does not know the levels and asks for those of all tenants.
    bool areLevelsWanted { false };
    /// True when the sender will accept no requests for some time, so that nothing needs to be reserved for it.
    bool isEnding { false };
    std::vector<tenant_usage> usages;
    std::vector<usage_acknowledgement> acknowledgements;

    auto operator<=>(usage_report const&) const = default;
};

/// A report and the daemons that get it.
struct addressed_report {
    usage_report report;
    std::vector<model::endpoint> receivers;
};

/// Returns the number by which acknowledgements name a member.
std::uint64_t hashMember(std::string_view name);

}
