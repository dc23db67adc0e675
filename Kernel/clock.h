#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace zinnialedge::kernel {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// Returns the current monotonic time. Tests substitute a virtual clock.
using clock_hook = std::function<time_point()>;
/// Returns a uniformly distributed 64-bit random number. Tests substitute a generator with a fixed seed.
using random_hook = std::function<std::uint64_t()>;

clock_hook makeSteadyClock();
random_hook makeSeededRandom(std::uint64_t seed);
/// Returns the incarnation of this process: a number that tells successive processes with the same daemon name apart.
/// A process started later gets a higher incarnation, also on another VM, unless the wall clock was set back in between.
std::uint64_t makeIncarnation();
/// Returns a generator that is seeded by the operating system.
random_hook makeRandom();

}
