#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <chrono>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace zinnialedge::stand_ins::target {

/// Distribution of the time for which a call occupies a slot: a fixed base plus an exponentially distributed time. For a
/// percentage of the calls, the stragglers, the sum is multiplied by a factor.
struct service_time_distribution {
    std::chrono::microseconds base { 1000 };
    std::chrono::microseconds exponentialMean { 4000 };
    double stragglerPercent { 2 };
    double stragglerFactor { 5 };
};

/// Settings of one simulated leaf.
struct leaf_settings {
    std::string name;
    model::endpoint place;
    std::uint32_t shard { 0 };
    std::uint64_t seed { 1 };
    std::size_t slots { 2 };
    /// Maximum number of calls that wait for a slot. Further calls are shed.
    std::size_t queue { 64 };
    std::size_t connectionCap { 25 };
    std::chrono::microseconds connectionOpenDelay { 6000 };
    service_time_distribution work;
    std::vector<std::uint64_t> epochs { 1 };
    std::vector<std::uint64_t> versions { 1 };
    std::uint32_t rowsPerReply { 2 };
    std::chrono::milliseconds coldStartDuration { 0 };
};

/// Parses the JSON array "leafs". On failure, returns a description of every problem in the text.
tl::expected<std::vector<leaf_settings>, std::vector<std::string>> parseLeafSettings(std::string_view text);

}
