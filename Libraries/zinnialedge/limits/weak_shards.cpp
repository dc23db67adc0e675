#include "Libraries/zinnialedge/limits/weak_shards.h"

#include <algorithm>

namespace zinnialedge::limits {

/// Out of this many calls that a slow shard would get, one call is sent as a probe.
static constexpr std::uint64_t probeInterval = 10;

std::vector<std::size_t> chooseSkippedShards(shard_skip_input const& question, kernel::random_hook const& random)
{
    std::vector<std::size_t> slowShards;
    for (std::size_t shard = 0; shard < question.recentCallDurations.size(); ++shard) {
        if (question.recentCallDurations[shard] > question.timeToObjective && random() % probeInterval != 0)
            slowShards.push_back(shard);
    }
    // Partial Fisher-Yates shuffle that selects `count` random shards.
    auto const count = std::min(question.allowedMissingShards, slowShards.size());
    for (std::size_t index = 0; index < count; ++index)
        std::swap(slowShards[index], slowShards[index + random() % (slowShards.size() - index)]);
    slowShards.resize(count);
    std::sort(slowShards.begin(), slowShards.end());
    return slowShards;
}

}
