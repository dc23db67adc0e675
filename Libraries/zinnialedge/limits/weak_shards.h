#pragma once

#include "Kernel/clock.h"
#include <chrono>
#include <cstddef>
#include <vector>

namespace zinnialedge::limits {

/// Input of the decision which shards a query with partial coverage skips.
struct shard_skip_input {
    /// Recent call duration of the fastest leaf of each shard, by shard index.
    std::vector<kernel::duration> recentCallDurations;
    /// Time left until the answer should be sent.
    kernel::duration timeToObjective {};
    /// Number of shards that may be missing from the answer.
    std::size_t allowedMissingShards { 0 };
};

/// Returns the indices of slow shards that the query skips, in ascending order. A shard is slow when its leafs would answer
/// after the objective. When more shards are slow than may be missing, a random subset is skipped for each query, so that the
/// slow shards share the load that they can handle. One call in ten to a slow shard is sent as a probe to detect recovery.
std::vector<std::size_t> chooseSkippedShards(shard_skip_input const&, kernel::random_hook const&);

}
