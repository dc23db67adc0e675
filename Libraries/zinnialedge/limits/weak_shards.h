#pragma once

#include "Kernel/clock.h"
#include <chrono>
#include <cstddef>
#include <vector>

namespace zinnialedge::limits {

/// What is known when a query that may leave some shards out arrives.
struct weak_shard_question {
    /// How long the best leaf of each shard has been taking of late.
    std::vector<kernel::duration> delays;
    /// Until the answer should go out.
    kernel::duration timeLeft {};
    /// How many shards an answer may lack.
    std::size_t spare { 0 };
};

/// Graceful degradation behind overloaded shards: the places of shards that would answer too late and are not asked, in
/// rising order. Of more such shards than may be left out, others are asked each time, so that they share the load that
/// they can carry. Now and then a slow shard is asked all the same, which is how its recovery is seen.
std::vector<std::size_t> chooseLeftOutShards(weak_shard_question const&, kernel::random_hook const&);

}
