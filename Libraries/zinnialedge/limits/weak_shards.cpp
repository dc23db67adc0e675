#include "Libraries/zinnialedge/limits/weak_shards.h"

#include <algorithm>

namespace zinnialedge::limits {

/// Of the calls that a slow shard would get, one in so many is made as a probe.
static constexpr std::uint64_t probeInterval = 10;

std::vector<std::size_t> chooseLeftOutShards(weak_shard_question const& question, kernel::random_hook const& random)
{
    std::vector<std::size_t> weak;
    for (std::size_t place = 0; place < question.delays.size(); ++place) {
        if (question.delays[place] > question.timeLeft && random() % probeInterval != 0)
            weak.push_back(place);
    }
    // Fisher-Yates, as far as places are needed.
    auto const count = std::min(question.spare, weak.size());
    for (std::size_t index = 0; index < count; ++index)
        std::swap(weak[index], weak[index + random() % (weak.size() - index)]);
    weak.resize(count);
    std::sort(weak.begin(), weak.end());
    return weak;
}

}
