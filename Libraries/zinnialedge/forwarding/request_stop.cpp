// Planned stops: which requests are still accepted, and the answers of those that leafs do not answer in time.

#include "Libraries/zinnialedge/forwarding/request_engine.h"

#include <algorithm>

namespace zinnialedge::forwarding {

using errors::error_kind;
using kernel::time_point;

/// Reason in the log lines of requests that a planned stop ends or rejects.
static constexpr std::string_view stoppingReason = "stopping";
/// Multiples of the duration of recent calls within which a request is expected to be served. A caller can repeat a request of the first kind
/// that ends too late; the outcome of one of the second kind would be unknown.
static constexpr int repeatableServingFactor = 2;
static constexpr int unrepeatableServingFactor = 4;

void request_engine::setLeaving(time_point answersDueAt, time_point now)
{
    m_quotas.setLeaving();
    m_answersDueAt = std::max(answersDueAt, now);
    for (auto& [token, request] : m_requests) {
        if (request.endAt <= *m_answersDueAt)
            continue;
        request.endAt = *m_answersDueAt;
        m_timers.push({ request.endAt, timer_kind::end, token });
    }
}

kernel::duration request_engine::servingTimeOf(caller_request const& request, route const& to, time_point now) const
{
    if (request.relayed)
        return request.relayed->latestAnswerTimeLimit;
    auto const known = m_routeStates.find(to.name);
    kernel::duration callDuration = known == m_routeStates.end() ? initialCallDuration(to) : known->second.callDurationQuantile.value();
    // The quantile follows changes slowly.
    for (auto const& each : to.services)
        callDuration = std::max(callDuration, m_leafs.recentCallDuration(each.service, now).value_or(kernel::duration::zero()));
    auto const servingTime = std::max<kernel::duration>(to.objective, callDuration * (to.isRepeatable ? repeatableServingFactor : unrepeatableServingFactor));
    // At its time limit the request is answered in any case.
    return std::min<kernel::duration>(servingTime, std::min(to.timeout, request.timeLimit.value_or(to.timeout)));
}

bool request_engine::isPreventedByStop(caller_request const& request, route const& to, time_point now) const
{
    return m_isRejectingRequests || (m_answersDueAt && now + servingTimeOf(request, to, now) > *m_answersDueAt);
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
