#include "Libraries/zinnialedge/limits/shard_admission.h"

#include <algorithm>

namespace zinnialedge::limits {

/// A query is as late as its slowest shard, so an expected wait is taken for longer than it is.
static constexpr double waitMargin = 1.5;

/// The longest expected wait with which a call still ends in time.
static std::chrono::microseconds longestWait(std::chrono::microseconds remaining, std::chrono::microseconds callTail)
{
    auto const room = static_cast<double>((remaining - callTail).count()) / waitMargin;
    return std::chrono::microseconds { static_cast<std::int64_t>(std::max(0.0, room)) };
}

static admission_verdict refuse(admission_question const& question, std::chrono::microseconds bound)
{
    admission_verdict verdict;
    verdict.isAdmitted = false;
    for (auto const& each : question.waits)
        verdict.drainTime = std::max(verdict.drainTime, each.wait - bound);
    return verdict;
}

static admission_verdict judgePartial(admission_question const& question)
{
    auto const bound = longestWait(std::min(question.softRemaining, question.remaining), question.callTail);
    admission_verdict verdict;
    for (auto const& each : question.waits) {
        if (each.wait > bound)
            verdict.skipped.push_back(each.shard);
    }
    auto const kept = question.waits.size() - verdict.skipped.size();
    bool const isEnough = kept > 0 && kept * 100 >= question.waits.size() * question.softSharePercent;
    return isEnough ? verdict : refuse(question, bound);
}

admission_verdict judgeAdmission(admission_question const& question)
{
    if (question.coverage == model::coverage_policy::partial && question.waits.size() > 1)
        return judgePartial(question);
    auto const bound = longestWait(question.remaining, question.callTail);
    // An empty queue always takes one more: it is how a shard that has recovered is found out.
    bool const isTooLong = std::any_of(question.waits.begin(), question.waits.end(), [&](auto const& each) { return each.wait.count() > 0 && each.wait > bound; });
    return isTooLong ? refuse(question, bound) : admission_verdict {};
}

}
