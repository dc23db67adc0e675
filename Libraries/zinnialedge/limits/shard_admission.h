#pragma once

#include "Libraries/zinnialedge/model/service_declaration.h"
#include <chrono>
#include <cstdint>
#include <vector>

namespace zinnialedge::limits {

/// How long a call for one shard would wait for room at a leaf.
struct shard_wait {
    std::uint32_t shard { 0 };
    std::chrono::microseconds wait { 0 };
};

/// What is known when a query over some shards arrives.
struct admission_question {
    model::coverage_policy coverage { model::coverage_policy::whole };
    /// Until the answer must go out.
    std::chrono::microseconds remaining { 0 };
    /// Until an answer with a share of the shards goes out, for the partial policy.
    std::chrono::microseconds softRemaining { 0 };
    std::uint32_t softSharePercent { 100 };
    /// How long all but a few calls take once they are sent.
    std::chrono::microseconds callTail { 0 };
    std::vector<shard_wait> waits;
};

struct admission_verdict {
    bool isAdmitted { true };
    /// Shards that are not asked, since their backlog would outlast the deadline; the answer says so.
    std::vector<std::uint32_t> skipped;
    /// For a refusal: until the backlog is short enough.
    std::chrono::microseconds drainTime { 0 };

    bool operator==(admission_verdict const&) const = default;
};

/// Whether a query can meet its deadline behind the backlogs of its shards.
admission_verdict judgeAdmission(admission_question const&);

}
