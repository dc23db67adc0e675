#pragma once

#include <cstdint>

namespace zinnialedge::model {

// The largest values that a declaration may hold.
inline constexpr std::uint64_t maximumShards = 4096;
inline constexpr std::uint64_t maximumDeadlineMilliseconds = 60'000;
inline constexpr std::uint64_t maximumTargetConnections = 10'000;
inline constexpr std::uint64_t maximumGroupSize = 64;

}
