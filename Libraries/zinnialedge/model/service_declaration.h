#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnialedge::model {

/// Condition under which a query over all shards is answered.
enum class coverage_policy {
    /// Waits for the replies of all shards until the deadline.
    whole,
    /// Answers at the soft deadline if the declared share of the shards has replied.
    partial,
};

/// Properties that a service declares for one request kind.
struct request_kind_declaration {
    std::string name;
    bool isUrgent { false };
    bool isRepeatable { true };
    /// True for a query over all shards; false for a query that reads only the shard of its key.
    bool isAllShardsQuery { true };

    auto operator<=>(request_kind_declaration const&) const = default;
};

/// One leaf, and the shard that the leaf serves in the partition epoch of the declaration.
struct target_declaration {
    std::string name;
    endpoint place;
    std::uint32_t shard { 0 };
    std::uint32_t slots { 2 };
    std::uint32_t connectionCap { 25 };
    bool isDraining { false };

    auto operator<=>(target_declaration const&) const = default;
};

/// Complete declaration of one service: policy, request kinds and partition map.
struct service_declaration {
    std::string name;
    std::string partner;
    std::uint64_t epoch { 1 };
    std::uint32_t shardCount { 1 };
    coverage_policy coverage { coverage_policy::whole };
    std::chrono::milliseconds deadline { 80 };
    std::chrono::milliseconds softDeadline { 40 };
    /// Minimum coverage of a partial answer: share of the shards that must have replied, in percent.
    std::uint32_t minimumCoveragePercent { 95 };
    /// Limit on hedged leaf calls, in percent of primary leaf calls.
    std::uint32_t maximumHedgePercent { 5 };
    std::uint32_t daemonGroupSize { 3 };
    std::vector<request_kind_declaration> requests;
    std::vector<target_declaration> targets;

    request_kind_declaration const* findRequestKind(std::string_view requestName) const;
    bool operator==(service_declaration const&) const = default;
};

std::string_view toString(coverage_policy);

/// Returns the shard that holds the key.
std::uint32_t shardOfKey(std::string_view key, std::uint32_t shardCount);

}
