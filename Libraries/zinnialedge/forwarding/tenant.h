#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinnialedge::forwarding {

/// Organisation whose requests are recognized by an access key.
struct tenant {
    std::string name;
    /// Keys that identify the tenant's requests. They are secrets and must not appear in logs, metrics or state dumps.
    std::vector<std::string> accessKeys;
    /// Priority that takes the place of the route's priority; 0 is the most urgent.
    std::optional<std::uint32_t> priority;
    /// Number of requests per second that all daemons together accept; zero for no limit.
    double requestsPerSecond { 0 };
    /// Number of requests that may exceed the rate at once.
    double burst { 0 };

    bool hasQuota() const { return requestsPerSecond > 0; }
    auto operator<=>(tenant const&) const = default;
};

}
