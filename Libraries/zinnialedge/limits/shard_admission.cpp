#include "Libraries/zinnialedge/limits/shard_admission.h"

#include <algorithm>

namespace zinnialedge::limits {

/// Safety factor on expected queueing delays: the slowest shard determines when a query ends, so delays are overestimated.
static constexpr double queueingDelayMargin = 1.5;

/// Returns the longest expected queueing delay with which a call still completes in time.
static std::chrono::microseconds longestQueueingDelay(std::chrono::microseconds remaining, std::chrono::microseconds callTail)
{
    auto const longestDelay = static_cast<double>((remaining - callTail).count()) / queueingDelayMargin;
    return std::chrono::microseconds { static_cast<std::int64_t>(std::max(0.0, longestDelay)) };
}

static admission_decision makeRejection(admission_input const& question, std::chrono::microseconds bound)
{
    admission_decision verdict;
    verdict.isAdmitted = false;
    for (auto const& each : question.queueingDelays)
        verdict.drainTime = std::max(verdict.drainTime, each.delay - bound);
    return verdict;
}

static admission_decision judgePartialCoverage(admission_input const& question)
{
    auto const bound = longestQueueingDelay(std::min(question.timeToSoftDeadline, question.timeToDeadline), question.callTail);
    admission_decision verdict;
    for (auto const& each : question.queueingDelays) {
        if (each.delay > bound)
            verdict.skipped.push_back(each.shard);
    }
    auto const remainingShards = question.queueingDelays.size() - verdict.skipped.size();
    bool const hasMinimumCoverage = remainingShards > 0 && remainingShards * 100 >= question.queueingDelays.size() * question.minimumCoveragePercent;
    return hasMinimumCoverage ? verdict : makeRejection(question, bound);
}

admission_decision decideAdmission(admission_input const& question)
{
    if (question.coverage == model::coverage_policy::partial && question.queueingDelays.size() > 1)
        return judgePartialCoverage(question);
    auto const bound = longestQueueingDelay(question.timeToDeadline, question.callTail);
    // A shard with an empty queue is always called, since such a call is how its recovery is detected.
    bool const hasExcessiveDelay = std::any_of(question.queueingDelays.begin(), question.queueingDelays.end(), [&](auto const& each) { return each.delay.count() > 0 && each.delay > bound; });
    return hasExcessiveDelay ? makeRejection(question, bound) : admission_decision {};
}

}
