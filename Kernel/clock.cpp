#include "Kernel/clock.h"

#include <random>

namespace zinnialedge::kernel {

clock_hook makeSteadyClock()
{
    return [] { return std::chrono::steady_clock::now(); };
}

std::uint64_t makeIncarnation()
{
    auto const sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

random_hook makeSeededRandom(std::uint64_t seed)
{
    return [generator = std::mt19937_64 { seed }]() mutable { return generator(); };
}

random_hook makeRandom()
{
    std::random_device device;
    auto const high = static_cast<std::uint64_t>(device()) << 32U;
    return makeSeededRandom(high | device());
}

}
