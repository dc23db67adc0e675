#pragma once

#include "Libraries/zinnialedge/quarantine/suspect.h"
#include <optional>

namespace zinnialedge::quarantine {

/// Loss of a leaf, as one daemon tells it to another. Daemons have different clocks, so that times are told as ages, exact enough to
/// tell losses that came one after the other from losses that came together.
struct loss_notice {
    std::uint64_t leaf { 0 };
    std::chrono::microseconds sentAge { 0 };
    std::chrono::microseconds lostAge { 0 };
    bool isRefuted { false };

    auto operator<=>(loss_notice const&) const = default;
};

/// A suspect, as one daemon tells it to another.
struct suspect_notice {
    request_digest request;
    std::vector<loss_notice> losses;
    std::optional<std::chrono::microseconds> trialAge;
    std::uint32_t unansweredTrialCount { 0 };
    std::optional<std::chrono::microseconds> clearedAge;

    auto operator<=>(suspect_notice const&) const = default;
};

suspect_notice makeNotice(suspect const&, kernel::time_point now);
suspect readNotice(suspect_notice const&, kernel::time_point now);
/// Returns an upper bound of the encoded size of a notice in a datagram, in bytes.
std::size_t maximumEncodedBytes(suspect_notice const&);

}
