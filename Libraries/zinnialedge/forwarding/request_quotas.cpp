// Quotas of tenants: a request counts once, at the daemon that accepts it from its caller, whatever is sent for it afterwards.

#include "Libraries/zinnialedge/forwarding/request_engine.h"

namespace zinnialedge::forwarding {

using kernel::time_point;

/// Time for which reports are missing before that is logged. Daemons outside the serving group hear of the others soon after their first
/// request.
static constexpr std::chrono::seconds uninformedLogDelay { 1 };

void request_engine::setQuotaTolerance(allowances::quota_tolerance tolerance)
{
    m_settings.quotaTolerance = tolerance;
    m_quotas.setTolerance(tolerance);
}

void request_engine::setTenantQuotas(time_point now)
{
    std::vector<allowances::tenant_quota> quotas;
    for (auto const& each : m_routes->tenants()) {
        if (each.hasQuota())
            quotas.push_back({ each.name, each.requestsPerSecond, each.burst });
    }
    m_quotas.setQuotas(quotas, now);
    std::erase_if(m_quotaReturns, [this](auto const& each) { return !m_routes->tenantNamed(each.first); });
    scheduleUsageReport();
}

bool request_engine::hasQuota(caller_request const& request) const
{
    // The daemon that has passed the request on has counted it.
    if (!m_quotas.isActive() || request.tenant.empty() || request.relayed || request.detoured)
        return false;
    auto const* const tenant = m_routes->tenantNamed(request.tenant);
    return tenant && tenant->hasQuota();
}

bool request_engine::consumeQuota(request_token token, caller_request const& request, route const& to, time_point now)
{
    bool const isAllowed = m_quotas.tryConsume(request.tenant, now);
    scheduleUsageReport();
    if (isAllowed)
        return true;
    ++m_counters.rejectionsForQuotas;
    m_tenantCounts.recordOverQuota(request.tenant);
    auto answer = makeRejection(errors::error_kind::over_quota, "over_quota", {});
    auto const retryAfter = m_quotaReturns[request.tenant].nextRetryAfter(now + m_quotas.retryAfter(request.tenant, now), m_quotas.requestInterval(request.tenant), m_random, now);
    answer.error->retryAfter = std::chrono::ceil<std::chrono::milliseconds>(retryAfter);
    reject(token, request, std::move(answer), &to);
    return false;
}

void request_engine::refundQuota(active_request const& request, time_point now)
{
    if (!request.isCountedForQuota || request.mayHaveRun())
        return;
    ++m_counters.quotaRefunds;
    m_quotas.refund(request.request->tenant, now);
}

void request_engine::mergeUsage(allowances::usage_report const& report, time_point now)
{
    ++m_counters.usageReportsReceived;
    m_quotas.merge(report, now);
    scheduleUsageReport();
}

void request_engine::shareUsage(time_point now)
{
    auto reports = m_quotas.takeReports(now);
    for (auto const& each : reports)
        m_counters.usageReportsSent += each.receivers.size();
    if (!reports.empty() && m_hooks.shareUsage)
        m_hooks.shareUsage(std::move(reports));
    reportQuotaState(now);
    scheduleUsageReport();
}

void request_engine::scheduleUsageReport()
{
    auto const next = m_quotas.nextReportTime();
    if (!next || (m_nextUsageReportAt && *m_nextUsageReportAt <= *next))
        return;
    m_nextUsageReportAt = next;
    m_timers.push({ *next, timer_kind::share_usage, 0 });
}

std::optional<quota_report> request_engine::quotaState() const
{
    if (!m_quotas.isActive())
        return std::nullopt;
    return quota_report { !m_isUninformedLogged, m_quotas.memberCount(), m_quotas.silentMemberCount() };
}

void request_engine::reportQuotaState(time_point now)
{
    bool const isInformed = m_quotas.isInformed(now);
    if (!isInformed && !m_uninformedSince)
        m_uninformedSince = now;
    if (isInformed)
        m_uninformedSince.reset();
    bool const isLogged = m_uninformedSince && now - *m_uninformedSince >= uninformedLogDelay;
    if (std::exchange(m_isUninformedLogged, isLogged) != isLogged && m_hooks.logQuotas)
        m_hooks.logQuotas(*quotaState());
}

}
