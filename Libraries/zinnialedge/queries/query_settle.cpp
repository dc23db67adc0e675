// Settling of queries: results and answers to callers.

#include "Libraries/zinnialedge/queries/query_engine.h"

#include "Kernel/verify.h"
#include <algorithm>

namespace zinnialedge::queries {

using errors::error;
using errors::error_kind;
using kernel::time_point;

void query_engine::settleIfComplete(query& asking)
{
    bool const isComplete = asking.settledShards == asking.shards.size();
    if (isComplete || (asking.isSoftDeadlinePast && hasSoftShare(asking)))
        settle(asking, resultOf(asking));
}

bool query_engine::hasSoftShare(query const& asking) const
{
    return asking.answeredShards * 100 >= asking.shards.size() * asking.service->softSharePercent;
}

model::answer_or_error query_engine::resultOf(query& asking)
{
    bool const isSingle = !asking.service->findRequest(asking.request->requestKind)->isOverAllShards;
    if (asking.answeredShards > 0)
        return mergeAnswer(asking);
    if (!asking.isRepeatable && asking.mayHaveRun())
        return errors::fail(error_kind::outcome_unknown, "the request was sent to a leaf, but no usable reply was received");
    auto const reason = asking.shards.front().missing.value_or(asking.shards.front().reasonSoFar);
    auto const text = isSingle ? "shard " + std::to_string(asking.shards.front().shard) : std::string { "no shard replied" };
    if (asking.mayHaveRun())
        return errors::fail(error_kind::deadline_exceeded, text + ": " + std::string { toString(reason) });
    return tl::unexpected(error { error_kind::no_live_target, text + ": " + std::string { toString(reason) }, noLeafRetryAfter });
}

void query_engine::settleAtDeadline(query& asking)
{
    settle(asking, resultOf(asking));
}

void query_engine::settleAtSoftDeadline(query& asking)
{
    asking.isSoftDeadlinePast = true;
    if (hasSoftShare(asking))
        settle(asking, resultOf(asking));
}

void query_engine::answerCallersPastDeadline(query& asking, time_point now)
{
    std::erase_if(asking.callers, [&](waiting_caller const& caller) {
        if (caller.deadline > now)
            return false;
        ++m_counters.refusals;
        giveAnswer(caller.token, caller.requestId, errors::fail(error_kind::outcome_unknown, "the request with this ticket is still running"));
        return true;
    });
}

void query_engine::settle(query& asking, model::answer_or_error result)
{
    asking.lifecycle.settle();
    if (asking.isRepeatable) {
        for (auto& shard : asking.shards)
            cancelCalls(shard);
    } else {
        m_runningTickets.erase(asking.request->ticket);
        bool const isUnrun = !result && errors::answerFor(result.error().kind).ran == errors::run_state::no;
        if (isUnrun)
            m_tickets.release(asking.request->ticket);
        else
            m_tickets.settle(asking.request->ticket, result);
    }
    if (result) {
        ++m_counters.answers;
        m_counters.partialAnswers += result->covered.isWhole() ? 0 : 1;
    } else {
        ++m_counters.refusals;
    }
    for (auto const& caller : asking.callers)
        giveAnswer(caller.token, caller.requestId, result);
    forget(asking);
}

void query_engine::forget(query& settled)
{
    for (std::uint32_t place = 0; place < settled.shards.size(); ++place)
        stopWaiting(settled, place);
    m_admission.leave(settled.service->partner);
    m_queries.erase(settled.id);
}

}
