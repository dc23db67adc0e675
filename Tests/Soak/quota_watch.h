#pragma once

#include "Kernel/clock.h"
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace zinnialedge::tests::soak {

/// The quota of one tenant, and a check of the requests of that tenant that leafs run. Thread-safe.
class quota_watch {
public:
    static constexpr auto tenant = "pressed";
    static constexpr auto key = "key-of-pressed";
    static constexpr double requestsPerSecond = 20;
    static constexpr double burst = 20;

    /// Records that a leaf runs a request. The calls of one request, such as its shards and hedges, count once.
    void recordExecution(std::string const& tenantName, std::string const& attemptId);
    void recordAnswer(int status);
    std::vector<std::string> findings() const;
    std::string summary() const;

private:
    std::size_t countMost() const;

    mutable std::mutex m_mutex;
    std::set<std::string> m_attempts;
    std::vector<kernel::time_point> m_executions;
    std::size_t m_requestCount { 0 };
    std::size_t m_rejectedCount { 0 };
};

}
