// Access of callers' requests: the access key of a request decides to which tenant the request belongs.

#include "Libraries/zinnialedge/forwarding/request_engine.h"

#include <algorithm>

namespace zinnialedge::forwarding {

using errors::error_kind;

/// Longer keys are rejected without a lookup, so that a caller's header cannot make the hash expensive.
static constexpr std::size_t maximumAccessKeyBytes = 256;
/// Retry-after while daemons have configurations that differ in their tenants: about the time in which one of them reads the other's.
static constexpr std::chrono::milliseconds otherConfigurationRetryAfter { 300 };

void request_engine::reject(request_token token, caller_request const& request, final_answer answer, route const* to, std::optional<stop_conflict> const& stop)
{
    ++m_counters.rejections;
    answer.isForDetour = request.detoured.has_value();
    answer.attemptId = request.attemptId;
    static std::string const noRoute;
    if (m_hooks.reportRequest && !request.relayed)
        m_hooks.reportRequest({ .attemptId = request.attemptId, .route = to ? to->name : noRoute, .version = m_routes ? m_routes->version() : 0, .status = answer.status, .reason = answer.reason, .retryAfter = answer.error->retryAfter, .tenant = request.tenant, .stop = stop });
    m_hooks.sendAnswer(token, std::move(answer));
}

/// Returns the reason to reject a request with these keys without a lookup, if there is one.
static std::optional<std::string_view> findKeyFault(std::vector<header> const& keys)
{
    if (keys.empty())
        return "no_key";
    auto const& first = keys.front().value;
    if (std::any_of(keys.begin(), keys.end(), [&](auto const& each) { return each.value != first; }))
        return "several_keys";
    if (first.empty() || first.size() > maximumAccessKeyBytes)
        return "unknown_key";
    return std::nullopt;
}

bool request_engine::resolveAccess(request_token token, caller_request& request, route const& to)
{
    // The keys leave the request here, so that nothing behind this point can pass them on or log them.
    auto keys = std::exchange(request.accessKeys, {});
    if (!m_routes->hasTenants()) {
        std::move(keys.begin(), keys.end(), std::back_inserter(request.headers));
        return true;
    }
    if (request.relayed || request.detoured) {
        if (to.isPublic || !request.tenant.empty())
            return true;
        // The other daemon handles the request under a configuration without tenants, or is of a build that knows none. Its caller is
        // not to blame, so the request is rejected as if its version differed.
        reject(token, request, makeRejection(error_kind::not_configured, "no_tenant", otherConfigurationRetryAfter), &to);
        return false;
    }
    if (to.isPublic)
        return true;
    auto const fault = findKeyFault(keys);
    auto const* const holder = fault ? nullptr : m_routes->findTenant(keys.front().value);
    if (!holder) {
        ++m_counters.rejectionsForKey;
        reject(token, request, makeRejection(error_kind::unknown_access_key, std::string { fault.value_or("unknown_key") }, {}), &to);
        return false;
    }
    request.tenant = holder->name;
    m_tenantCounts.recordRequest(holder->name);
    return true;
}

}
