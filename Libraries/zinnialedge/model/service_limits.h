#pragma once

#include <cstdint>

namespace zinnialedge::model {

// Maximum values in a service declaration.
inline constexpr std::uint64_t maximumShardCount = 4096;
inline constexpr std::uint64_t maximumDeadlineMilliseconds = 60'000;
inline constexpr std::uint64_t maximumTargetConnections = 10'000;
inline constexpr std::uint64_t maximumGroupSize = 64;

}
