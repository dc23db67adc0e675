#pragma once

#include "Libraries/zinnialedge/model/service_declaration.h"
#include <chrono>
#include <cstdint>
#include <vector>

namespace zinnialedge::limits {

/// Expected queueing delay of a call to one shard.
struct shard_queueing_delay {
    std::uint32_t shard { 0 };
    std::chrono::microseconds delay { 0 };
};

/// Input of the admission decision for a query over several shards.
struct admission_input {
    model::coverage_policy coverage { model::coverage_policy::whole };
    /// Time left until the answer must be sent.
    std::chrono::microseconds timeToDeadline { 0 };
    /// Time left until an answer that covers only a share of the shards is sent; used by the partial coverage policy.
    std::chrono::microseconds timeToSoftDeadline { 0 };
    std::uint32_t minimumCoveragePercent { 100 };
    /// High quantile of the time that a call takes after it is sent.
    std::chrono::microseconds callTail { 0 };
    std::vector<shard_queueing_delay> queueingDelays;
};

struct admission_decision {
    bool isAdmitted { true };
    /// Shards that are not queried because their backlog would outlast the deadline; the answer lists these shards as missing.
    std::vector<std::uint32_t> skipped;
    /// Time until the backlog is short enough for the query; set only in rejections.
    std::chrono::microseconds drainTime { 0 };

    bool operator==(admission_decision const&) const = default;
};

/// Decides whether a query can meet its deadline behind the backlogs of its shards.
admission_decision decideAdmission(admission_input const&);

}
