#pragma once

#include "Libraries/zinnialedge/quarantine/suspect.h"
#include <optional>

namespace zinnialedge::quarantine {

/// Loss of a leaf, as one daemon tells it to another. Daemons have different clocks, so that times are told as ages.
struct loss_notice {
    std::uint64_t leaf { 0 };
    std::chrono::milliseconds sentAge { 0 };
    std::chrono::milliseconds lostAge { 0 };

    auto operator<=>(loss_notice const&) const = default;
};

/// A suspect, as one daemon tells it to another.
struct suspect_notice {
    request_digest request;
    std::vector<loss_notice> losses;
    std::optional<std::chrono::milliseconds> trialAge;
    std::optional<std::chrono::milliseconds> clearedAge;

    auto operator<=>(suspect_notice const&) const = default;
};

suspect_notice makeNotice(suspect const&, kernel::time_point now);
suspect readNotice(suspect_notice const&, kernel::time_point now);
/// Returns an upper bound of the encoded size of a notice in a datagram, in bytes.
std::size_t maximumEncodedBytes(suspect_notice const&);

}
