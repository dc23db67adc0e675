#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/quarantine/request_digest.h"
#include <vector>

namespace zinnialedge::quarantine {

/// Loss of a leaf while it ran a request.
struct leaf_loss {
    /// Hash of the leaf's id and incarnation.
    std::uint64_t leaf { 0 };
    kernel::time_point sentAt;
    kernel::time_point lostAt;
    /// True when the leaf has replied since, so that only a connection to it was lost.
    bool isRefuted { false };
    /// Time of the first reply of the leaf after the time in which one reply refutes the loss; zero for none. Known to this daemon only.
    kernel::time_point aliveSince {};

    auto operator<=>(leaf_loss const&) const = default;
};

/// Request under which leafs were lost. Daemons exchange suspects, so that the losses of all daemons count together.
struct suspect {
    request_digest request;
    /// Losses since the last success, of different leafs, oldest first.
    std::vector<leaf_loss> losses;
    /// Time of the latest call that was sent although the request was quarantined; zero for none.
    kernel::time_point trialAt;
    /// Number of such calls since the last success that ended with neither a reply nor a loss, at a leaf behind a faulty link for example.
    std::uint32_t unansweredTrialCount { 0 };
    /// Time of the latest such call that reached no leaf; zero for none. Known to this daemon only.
    kernel::time_point unsentTrialAt {};
    /// Time of the latest success; zero for none. Losses before it do not count.
    kernel::time_point clearedAt;

    auto operator<=>(suspect const&) const = default;
};

/// Returns the hash by which the losses of one incarnation of a leaf are recognized as one.
std::uint64_t hashLeaf(std::string_view id, std::int64_t incarnation);
/// Number of losses of different leafs from which on a request is quarantined.
inline constexpr std::size_t quarantineLossCount = 3;
/// Number of losses of one request that are kept.
inline constexpr std::size_t maximumLossCount = 8;

/// Time after a loss in which a reply shows that the leaf did not end. Leafs that end are back after some seconds.
inline constexpr std::chrono::milliseconds refutationTime { 1000 };
/// Time for which a leaf must go on replying under the same registration to refute an older loss. A leaf that has ended and started again
/// registers within a heartbeat of 1.2 s, and daemons read that within 2 s; a store that does not answer is noticed within 3 s.
inline constexpr std::chrono::milliseconds lateRefutationTime { 5000 };

/// Returns the number of losses that count.
std::size_t lossCount(suspect const&);
/// Returns the time of the latest loss that counts.
kernel::time_point lastLossTime(suspect const&);
/// Returns how many losses came one after the other: each of their calls was sent after the loss before it. Leafs that are lost
/// together, by an outage for example, count as one.
std::size_t consecutiveLossCount(suspect const&);
/// Returns the time after the latest loss for which a quarantined request is not sent to any leaf.
kernel::duration quarantineLength(suspect const&);
/// Merges what another daemon knows of the same request. Returns whether this added something.
bool mergeSuspect(suspect& into, suspect const& from);

}
