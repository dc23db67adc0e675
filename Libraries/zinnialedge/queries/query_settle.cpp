// Settling of queries: results and answers to callers.

#include "Libraries/zinnialedge/queries/query_engine.h"

#include "Kernel/verify.h"
#include <algorithm>

namespace zinnialedge::queries {

using errors::error;
using errors::error_kind;
using kernel::time_point;

void query_engine::settleIfComplete(query& activeQuery)
{
    bool const isComplete = activeQuery.settledShardCount == activeQuery.shards.size();
    if (isComplete || (activeQuery.hasSoftDeadlinePassed && hasMinimumCoverage(activeQuery)))
        settleQuery(activeQuery, makeResult(activeQuery));
}

bool query_engine::hasMinimumCoverage(query const& activeQuery) const
{
    return activeQuery.answeredShardCount * 100 >= activeQuery.shards.size() * activeQuery.service->minimumCoveragePercent;
}

model::answer_or_error query_engine::makeResult(query& activeQuery)
{
    bool const readsSingleShard = !activeQuery.service->findRequestKind(activeQuery.request->requestKind)->isAllShardsQuery;
    if (activeQuery.answeredShardCount > 0)
        return mergeAnswer(activeQuery);
    if (!activeQuery.isRepeatable && activeQuery.mayHaveRun())
        return errors::makeError(error_kind::outcome_unknown, "the request was sent to a leaf, but no usable reply was received");
    auto const reason = activeQuery.shards.front().missingReason.value_or(activeQuery.shards.front().latestMissingReason);
    auto const text = readsSingleShard ? "shard " + std::to_string(activeQuery.shards.front().shard) : std::string { "no shard replied" };
    if (activeQuery.mayHaveRun())
        return errors::makeError(error_kind::deadline_exceeded, text + ": " + std::string { toString(reason) });
    return tl::unexpected(error { error_kind::no_live_target, text + ": " + std::string { toString(reason) }, noLeafRetryAfter });
}

void query_engine::settleAtDeadline(query& activeQuery)
{
    settleQuery(activeQuery, makeResult(activeQuery));
}

void query_engine::settleAtSoftDeadline(query& activeQuery)
{
    activeQuery.hasSoftDeadlinePassed = true;
    if (hasMinimumCoverage(activeQuery))
        settleQuery(activeQuery, makeResult(activeQuery));
}

void query_engine::answerCallersPastDeadline(query& activeQuery, time_point now)
{
    std::erase_if(activeQuery.callers, [&](waiting_caller const& caller) {
        if (caller.deadline > now)
            return false;
        ++m_counters.refusals;
        answerCaller(caller.token, caller.requestId, errors::makeError(error_kind::outcome_unknown, "the request with this ticket is still running"));
        return true;
    });
}

void query_engine::settleQuery(query& activeQuery, model::answer_or_error result)
{
    activeQuery.lifecycle.settle();
    if (activeQuery.isRepeatable) {
        for (auto& shard : activeQuery.shards)
            cancelCalls(shard);
    } else {
        m_queryByRunningTicket.erase(activeQuery.request->ticket);
        bool const isKnownUnexecuted = !result && errors::propertiesOf(result.error().kind).executionState == errors::execution_state::no;
        if (isKnownUnexecuted)
            m_tickets.release(activeQuery.request->ticket);
        else
            m_tickets.settle(activeQuery.request->ticket, result);
    }
    if (result) {
        ++m_counters.answers;
        m_counters.partialAnswers += result->covered.isWhole() ? 0 : 1;
    } else {
        ++m_counters.refusals;
    }
    for (auto const& caller : activeQuery.callers)
        answerCaller(caller.token, caller.requestId, result);
    removeQuery(activeQuery);
}

void query_engine::removeQuery(query& activeQuery)
{
    for (std::uint32_t shardIndex = 0; shardIndex < activeQuery.shards.size(); ++shardIndex)
        dequeueShard(activeQuery, shardIndex);
    m_admission.release(activeQuery.service->partner);
    m_queries.erase(activeQuery.id);
}

}
