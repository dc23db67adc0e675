#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinnialedge::forwarding {

/// Destination of a route that distributes its requests by weight.
struct weighted_service {
    std::string service;
    double weight { 1 };

    auto operator<=>(weighted_service const&) const = default;
};

/// Rules by which the replies of all shards are merged into one answer.
struct gather_policy {
    /// Service name of each shard.
    std::vector<std::string> shards;
    /// Maximum number of records in the answer; the greatest records are kept.
    std::size_t recordLimit { 0 };
    /// Minimum coverage: smallest share of the shards with which an answer is valid, from 0 to 1.
    double minimumCoverage { 1 };

    auto operator<=>(gather_policy const&) const = default;
};

/// Destination and limits of the requests with a given host and path prefix.
struct route {
    std::string name;
    std::string host;
    /// Path prefix of the requests; begins and ends with a slash.
    std::string pathPrefix;
    bool isRepeatable { false };
    /// Maximum time until a request is answered or fails.
    std::chrono::milliseconds timeout { 1000 };
    /// Target time within which an answer is most useful to the caller.
    std::chrono::milliseconds objective { 100 };
    /// Maximum number of leafs that are called for each shard of a request.
    std::uint32_t maximumAttempts { 1 };
    /// Priority of the requests; 0 is the most urgent.
    std::uint32_t priority { 0 };
    /// Weighted destinations; empty for a route over shards, and for a route that was declared without services.
    std::vector<weighted_service> services;
    /// Gather policy; its list of shards is empty for a route to a single service.
    gather_policy gather;
    /// True when requests need no access key although the configuration declares tenants.
    bool isPublic { false };

    bool isGather() const { return !gather.shards.empty(); }
    /// Returns whether there is a service that may get the requests.
    bool hasService() const { return isGather() || !services.empty(); }
    auto operator<=>(route const&) const = default;
};

/// Limits on the size of callers' requests and on the callers' delays.
struct caller_limits {
    std::size_t headerBytes { 16'384 };
    std::size_t bodyBytes { 262'144 };
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15'000 };

    auto operator<=>(caller_limits const&) const = default;
};

/// Declared properties of a service other than its leafs.
struct service_rules {
    std::string name;
    /// Maximum number of connections that one leaf accepts from all daemons together.
    std::uint32_t connectionCap { 25 };
    /// Target of status requests to the service's leafs.
    std::string statusTarget { "/health" };
    /// Time for which a leaf is cold after its start; empty when the service declares none.
    std::optional<std::chrono::milliseconds> warmupTime {};
    /// Number of requests per second that a cold leaf accepts from all daemons together; zero for no limit.
    double coldRequestsPerSecond { 0 };

    auto operator<=>(service_rules const&) const = default;
};

}
