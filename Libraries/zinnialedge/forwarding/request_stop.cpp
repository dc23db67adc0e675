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
    m_answersDueAt = std::max(answersDueAt, now);
    for (auto& [token, request] : m_requests) {
        if (request.endAt <= *m_answersDueAt)
            continue;
        request.endAt = *m_answersDueAt;
        m_timers.push({ request.endAt, timer_kind::end, token });
    }
}

kernel::duration request_engine::queueingTime(std::string const& service, time_point now) const
{
    auto const known = m_serviceStates.find(service);
    if (known == m_serviceStates.end() || known->second.queuedParts.empty())
        return {};
    auto const first = m_requests.find(known->second.queuedParts.front().requestToken);
    return first == m_requests.end() ? kernel::duration::zero() : now - first->second.arrivedAt;
}

stop_estimate request_engine::estimateServingTime(caller_request const& request, route const& to, time_point now) const
{
    if (request.relayed)
        return { request.relayed->latestAnswerTimeLimit, "daemon" };
    auto const known = m_routeStates.find(to.name);
    stop_estimate estimate { to.objective, "objective" };
    if (known != m_routeStates.end())
        estimate = { known->second.servingTimeQuantile.value(), "served" };
    // The quantile follows changes slowly, and a restarted daemon has seen few requests.
    auto const considerLonger = [&estimate](kernel::duration expected, std::string_view source) {
        if (expected > estimate.expected)
            estimate = { expected, source };
    };
    for (auto const& each : to.services) {
        auto const callDuration = m_leafs.recentCallDuration(each.service, now).value_or(kernel::duration::zero());
        considerLonger(callDuration, "leafs");
        if (auto const queueing = queueingTime(each.service, now); queueing > kernel::duration::zero())
            considerLonger(queueing + callDuration, "queue");
    }
    // At its time limit the request is answered in any case.
    if (auto const limit = std::min<kernel::duration>(to.timeout, request.timeLimit.value_or(to.timeout)); limit < estimate.expected)
        estimate = { limit, "time_limit" };
    return estimate;
}

std::optional<stop_estimate> request_engine::findStopInTheWay(caller_request const& request, route const& to, time_point now) const
{
    if (!m_answersDueAt && !m_isRejectingRequests)
        return std::nullopt;
    auto estimate = estimateServingTime(request, to, now);
    estimate.timeLeft = m_answersDueAt.value_or(now) - now;
    if (m_isRejectingRequests)
        estimate.source = "drain";
    else if (estimate.expected <= estimate.timeLeft)
        return std::nullopt;
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
