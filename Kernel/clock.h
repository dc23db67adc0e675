#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace zinnialedge::kernel {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// Monotonic time; tests put virtual time here.
using clock_hook = std::function<time_point()>;
/// Uniform 64-bit random numbers; tests put a seeded generator here.
using random_hook = std::function<std::uint64_t()>;

clock_hook makeSteadyClock();
random_hook makeSeededRandom(std::uint64_t seed);
/// A number for this process: later ones get higher numbers, also on another VM of the same name, unless the time of day
/// has jumped back.
std::uint64_t makeIncarnation();
/// Seeded from the operating system.
random_hook makeRandom();

}
