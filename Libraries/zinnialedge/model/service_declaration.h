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

/// When a query over all shards stops waiting.
enum class coverage_policy {
    /// Wait for every shard up to the deadline.
    whole,
    /// Answer at the soft deadline once the declared share has come.
    partial,
};

/// What a service says of one kind of request.
struct request_declaration {
    std::string name;
    bool isUrgent { false };
    bool isRepeatable { true };
    /// True for a query over all shards; false for one that reads the shard of its key.
    bool isOverAllShards { true };

    auto operator<=>(request_declaration const&) const = default;
};

/// One leaf and the shard that it owns in the declaration's partition epoch.
struct target_declaration {
    std::string name;
    endpoint place;
    std::uint32_t shard { 0 };
    std::uint32_t slots { 2 };
    std::uint32_t connectionCap { 25 };
    bool isDraining { false };

    auto operator<=>(target_declaration const&) const = default;
};

/// Everything that is declared of one service: its policy, its requests and its partition map.
struct service_declaration {
    std::string name;
    std::string partner;
    std::uint64_t epoch { 1 };
    std::uint32_t shardCount { 1 };
    coverage_policy coverage { coverage_policy::whole };
    std::chrono::milliseconds deadline { 80 };
    std::chrono::milliseconds softDeadline { 40 };
    /// Share of the shards that must have answered before a partial answer is given, in percent.
    std::uint32_t softSharePercent { 95 };
    /// Extra leaf calls for hedging, in percent of primary calls.
    std::uint32_t hedgePercent { 5 };
    std::uint32_t groupSize { 3 };
    std::vector<request_declaration> requests;
    std::vector<target_declaration> targets;

    request_declaration const* findRequest(std::string_view requestName) const;
    bool operator==(service_declaration const&) const = default;
};

std::string_view toString(coverage_policy);

/// Which shard a key belongs to.
std::uint32_t shardOfKey(std::string_view key, std::uint32_t shardCount);

}
