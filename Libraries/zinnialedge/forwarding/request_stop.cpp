// Planned stops: which requests are still accepted, and the answers of those that leafs do not answer in time.

#include "Libraries/zinnialedge/forwarding/request_engine.h"

#include <algorithm>

namespace zinnialedge::forwarding {

using errors::error_kind;
using kernel::time_point;

/// Reason in the log lines of requests that a planned stop ends or rejects.
static constexpr std::string_view stoppingReason = "stopping";
void request_engine::setLeaving(time_point answersDueAt, time_point now)
{
    m_quotas.setLeaving();
    auto const dueAt = std::max(answersDueAt, now);
    m_stop.begin(dueAt);
    for (auto& [token, request] : m_requests) {
        if (request.endAt <= dueAt)
            continue;
        request.endAt = dueAt;
        m_timers.push({ dueAt, timer_kind::end, token });
    }
}

serving_estimate request_engine::estimateServingTime(caller_request const& request, route const& to, time_point now) const
{
    if (request.relayed)
        return { request.relayed->latestAnswerTimeLimit, "daemon" };
    auto const knownRoute = m_routeStates.find(to.name);
    serving_estimate estimate { to.objective, "objective" };
    if (knownRoute != m_routeStates.end())
        estimate = { knownRoute->second.servingTimeQuantile.value(), "served" };
    // The quantile follows changes slowly, and a restarted daemon has seen few requests.
    auto const considerLonger = [&estimate](kernel::duration expected, std::string_view source) {
        if (expected > estimate.expected)
            estimate = { expected, source };
    };
    for (auto const& each : to.services) {
        auto const callDuration = m_leafs.recentCallDuration(each.service, now).value_or(kernel::duration::zero());
        considerLonger(callDuration, "leafs");
        auto const knownService = m_serviceStates.find(each.service);
        if (knownService != m_serviceStates.end() && !knownService->second.queuedParts.empty())
            considerLonger(now - knownService->second.queuedParts.front().queuedAt + callDuration, "queue");
    }
    // At its time limit the request is answered in any case.
    if (auto const limit = std::min<kernel::duration>(to.timeout, request.timeLimit.value_or(to.timeout)); limit < estimate.expected)
        estimate = { limit, "time_limit" };
    return estimate;
}

final_answer request_engine::makeStopRejection()
{
    auto answer = makeRejection(error_kind::leaving, std::string { stoppingReason }, {});
    // Other daemons have room now.
    answer.error->retryAfter = std::chrono::milliseconds { 0 };
    return answer;
}

void request_engine::settleAtStop(active_request& request, time_point now)
{
    ++m_counters.requestsEndedByStop;
    if (!request.mayHaveRun())
        settle(request, makeStopRejection(), now);
    else
        settleWithError(request, request.matchedRoute->isRepeatable ? error_kind::leaf_failed : error_kind::outcome_unknown, std::string { stoppingReason }, now);
}

}
