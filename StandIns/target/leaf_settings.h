#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <chrono>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace zinnialedge::stand_ins::target {

/// How long a call occupies a slot: a base, plus an exponential part, and now and then a multiple of both.
struct service_time {
    std::chrono::microseconds base { 1000 };
    std::chrono::microseconds exponentialMean { 4000 };
    double stragglerPercent { 2 };
    double stragglerFactor { 5 };
};

/// One leaf of the stand-in.
struct leaf_settings {
    std::string name;
    model::endpoint place;
    std::uint32_t shard { 0 };
    std::uint64_t seed { 1 };
    std::size_t slots { 2 };
    /// Calls that may wait for a slot; more are shed.
    std::size_t queue { 64 };
    std::size_t connectionCap { 25 };
    std::chrono::microseconds connectionCost { 6000 };
    service_time work;
    std::vector<std::uint64_t> epochs { 1 };
    std::vector<std::uint64_t> versions { 1 };
    std::uint32_t rowsPerAnswer { 2 };
    std::chrono::milliseconds coldStart { 0 };
};

/// A list of leafs under "leafs", or every problem of the text.
tl::expected<std::vector<leaf_settings>, std::vector<std::string>> parseLeafSettings(std::string_view text);

}
