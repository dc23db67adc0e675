#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinnialedge::access {

/// Numbers of requests of one tenant since the start of the process.
struct tenant_count {
    std::string name;
    std::uint64_t requests { 0 };
    /// Number of those requests that were rejected because of the tenant's quota.
    std::uint64_t overQuota { 0 };
    /// Number of requests over shards that were admitted, and that were rejected because the shards were overloaded.
    std::uint64_t admitted { 0 };
    std::uint64_t overloaded { 0 };

    auto operator<=>(tenant_count const&) const = default;
};

/// Counts of the tenants with the most requests, most first, and of all others together.
struct tenant_summary {
    std::vector<tenant_count> most;
    /// Sum over the other tenants; its name is empty.
    tenant_count others;

    bool operator==(tenant_summary const&) const = default;
};

/// Counts requests per tenant for the metrics. Performs no I/O.
class tenant_counts {
public:
    void recordRequest(std::string const& tenant) { ++m_counts[tenant].requests; }
    /// Records that a request, which has been recorded before, was rejected because of the tenant's quota.
    void recordOverQuota(std::string const& tenant) { ++m_counts[tenant].overQuota; }
    void recordAdmission(std::string const& tenant) { ++m_counts[tenant].admitted; }
    void recordOverload(std::string const& tenant) { ++m_counts[tenant].overloaded; }
    /// Adds the counts of the tenants that are no longer declared to the others, and frees their memory.
    void removeUndeclared(std::function<bool(std::string const& tenant)> const& isDeclared);
    /// Returns the counts of the `limit` tenants with the most requests one by one. Tenants with equally many are ordered by name.
    tenant_summary summarize(std::size_t limit) const;

private:
    static void add(tenant_count& sum, tenant_count const&);

    /// The names in the counts are empty.
    std::unordered_map<std::string, tenant_count> m_counts;
    tenant_count m_removed;
};

}
