#include "Services/traffic/tenant_metrics.h"

namespace zinnialedge::services::traffic {

/// Number of tenants with samples of their own. It bounds the size of the metrics, whatever the number of declared tenants.
static constexpr std::size_t listedTenants = 20;

void describeTenants(access::tenant_counts const& counts, kernel::metrics_text& metrics)
{
    auto const summary = counts.summarize(listedTenants);
    std::vector<std::pair<std::string_view, std::uint64_t>> requests;
    std::vector<std::pair<std::string_view, std::uint64_t>> overQuota;
    std::vector<std::pair<std::string_view, std::uint64_t>> admitted;
    std::vector<std::pair<std::string_view, std::uint64_t>> overloaded;
    for (auto const& each : summary.most) {
        requests.emplace_back(each.name, each.requests);
        overQuota.emplace_back(each.name, each.overQuota);
        admitted.emplace_back(each.name, each.admitted);
        overloaded.emplace_back(each.name, each.overloaded);
    }
    metrics.counter("tenant_requests_total", "tenant", requests);
    metrics.counter("tenant_requests_over_quota_total", "tenant", overQuota);
    metrics.counter("tenant_requests_admitted_total", "tenant", admitted);
    metrics.counter("tenant_requests_overloaded_total", "tenant", overloaded);
    // Gauges, because the sums fall when one of these tenants gets samples of its own.
    metrics.gauge("other_tenants_requests", summary.others.requests);
    metrics.gauge("other_tenants_requests_over_quota", summary.others.overQuota);
    metrics.gauge("other_tenants_requests_admitted", summary.others.admitted);
    metrics.gauge("other_tenants_requests_overloaded", summary.others.overloaded);
}

void describeAdmissions(limits::admission_counts const& counts, kernel::metrics_text& metrics)
{
    std::vector<std::string> names;
    for (auto const& [priority, count] : counts.all())
        names.push_back(limits::priorityClassName(priority));
    std::vector<std::pair<std::string_view, std::uint64_t>> admitted;
    std::vector<std::pair<std::string_view, std::uint64_t>> rejected;
    for (auto const& [priority, count] : counts.all()) {
        auto const& name = names[admitted.size()];
        admitted.emplace_back(name, count.admitted);
        rejected.emplace_back(name, count.rejected);
    }
    metrics.counter("admissions_total", "priority", admitted);
    metrics.counter("refusals_overloaded_total", "priority", rejected);
}

}
