#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace zinnialedge::forwarding {

/// One destination of a route that distributes its requests.
struct weighted_service {
    std::string service;
    double weight { 1 };

    auto operator<=>(weighted_service const&) const = default;
};

/// How the answers of all shards become one answer.
struct gather_policy {
    /// The service of each shard.
    std::vector<std::string> shards;
    /// How many of the greatest records the answer holds.
    std::size_t recordLimit { 0 };
    /// The smallest share of the shards that makes an answer, 0 to 1.
    double leastShare { 1 };

    auto operator<=>(gather_policy const&) const = default;
};

/// Where the requests of one host and path prefix go, and under which limits.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    bool isRepeatable { false };
    /// The longest time that a request is kept waiting.
    std::chrono::milliseconds timeout { 1000 };
    /// Within this time an answer is most useful.
    std::chrono::milliseconds objective { 100 };
    /// How many leafs one request may be sent to, for each shard.
    std::uint32_t attempts { 1 };
    /// 0 is the most urgent.
    std::uint32_t priority { 0 };
    /// One entry or more; empty for a route over shards.
    std::vector<weighted_service> services;
    /// Its shards are empty for a route to single leafs.
    gather_policy gather;

    bool isGather() const { return !gather.shards.empty(); }
    auto operator<=>(route const&) const = default;
};

/// What callers may send, and how slowly.
struct caller_limits {
    std::size_t headerBytes { 16'384 };
    std::size_t bodyBytes { 262'144 };
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15'000 };

    auto operator<=>(caller_limits const&) const = default;
};

/// What is declared of a service besides its leafs.
struct service_rules {
    std::string name;
    /// The most connections that one leaf accepts from all daemons together.
    std::uint32_t connectionCap { 25 };

    auto operator<=>(service_rules const&) const = default;
};

}
