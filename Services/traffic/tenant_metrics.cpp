#include "Services/traffic/tenant_metrics.h"

namespace zinnialedge::services::traffic {

/// Number of tenants with samples of their own. It bounds the size of the metrics, whatever the number of declared tenants.
static constexpr std::size_t listedTenants = 20;

void describeTenants(access::tenant_counts const& counts, kernel::metrics_text& metrics)
{
    auto const summary = counts.summarize(listedTenants);
    std::vector<std::pair<std::string_view, std::uint64_t>> requests;
    std::vector<std::pair<std::string_view, std::uint64_t>> overQuota;
    for (auto const& each : summary.most) {
        requests.emplace_back(each.name, each.requests);
        overQuota.emplace_back(each.name, each.overQuota);
    }
    metrics.counter("tenant_requests_total", "tenant", requests);
    metrics.counter("tenant_requests_over_quota_total", "tenant", overQuota);
    // Gauges, because the sums fall when one of these tenants gets samples of its own.
    metrics.gauge("other_tenants_requests", summary.others.requests);
    metrics.gauge("other_tenants_requests_over_quota", summary.others.overQuota);
}

}
