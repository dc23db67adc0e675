#include "Kernel/clock.h"

#include <random>

namespace zinnialedge::kernel {

clock_hook makeSteadyClock()
{
    return [] { return std::chrono::steady_clock::now(); };
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
