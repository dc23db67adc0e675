// Gathering of leaf replies: acceptance, refusals, retries and repinning.

#include "Libraries/zinnialedge/queries/query_engine.h"

#include "Kernel/verify.h"
#include <algorithm>

namespace zinnialedge::queries {

using kernel::time_point;

void query_engine::handle(leaf_call_ended const& ended, time_point now)
{
    auto const found = m_callsInFlight.find(ended.call);
    if (found == m_callsInFlight.end()) {
        ++m_counters.lateReplies;
        return;
    }
    auto const owner = found->second;
    m_callsInFlight.erase(found);
    auto& leaf = m_leafs.at(owner.leaf);
    leaf.recordCallEnded(owner.sentAt, now, ended.outcome.kind == leaf_outcome_kind::answered);
    bool isLeafChanged = ended.outcome.status && recordLeafStatus(owner.leaf, *ended.outcome.status, now);
    if (ended.outcome.refusal == leaf_refusal::shed)
        leaf.recordShed();
    if (ended.outcome.refusal == leaf_refusal::draining) {
        leaf.recordDrainingRefusal();
        m_leafs.invalidatePin(leaf.service());
        isLeafChanged = true;
    }
    recordOutcome(owner, ended.outcome, now);
    auto const service = leaf.service();
    auto* activeQuery = findQuery(owner.queryId);
    if (activeQuery && ended.outcome.isKnownUnexecuted())
        --activeQuery->possiblyRunCallCount;
    bool const isCurrent = activeQuery && activeQuery->pin == owner.pin && !activeQuery->shards[owner.shardIndex].isSettled();
    if (!isCurrent) {
        ++m_counters.lateReplies;
        settleLateReply(owner, ended.outcome);
    } else {
        auto& shard = activeQuery->shards[owner.shardIndex];
        std::erase_if(shard.calls, [&](auto const& call) { return call.call == ended.call; });
        if (ended.outcome.kind == leaf_outcome_kind::answered)
            callBudgetsOf(service).hedgeDelay.add(std::chrono::duration_cast<std::chrono::microseconds>(now - owner.sentAt));
        switch (ended.outcome.kind) {
        case leaf_outcome_kind::answered:
            acceptReply(*activeQuery, owner.shardIndex, ended.outcome, now);
            break;
        case leaf_outcome_kind::refused:
            handleRefusal(*activeQuery, owner.shardIndex, ended.outcome, now);
            break;
        case leaf_outcome_kind::failed:
            handleFailure(*activeQuery, owner.shardIndex, ended.outcome, now);
            break;
        }
        if (auto* const open = findQuery(owner.queryId); open && owner.evidence->hasSucceeded())
            releaseHeldShards(owner.queryId, now);
        else if (open)
            settleHeld(*open, now);
    }
    // During a repartition the leaf may own different shards in the other epoch, so all queues of the service are reviewed.
    if (isLeafChanged || m_leafs.hasTwoPartitionMaps(service))
        reviewQueues(service, now);
    else
        dispatchQueue({ service, owner.pin.epoch, owner.shard }, now);
}

void query_engine::settleLateReply(call_record const& owner, leaf_outcome const& outcome)
{
    bool const isMatchingAnswer = outcome.kind == leaf_outcome_kind::answered && outcome.shard == owner.shard && outcome.reflects == owner.pin;
    if (owner.ticket.empty() || !isMatchingAnswer)
        return;
    model::answer answer { owner.ticket, outcome.reflects, { 1, 1, {} }, outcome.rows, false };
    m_tickets.settle(owner.ticket, std::move(answer));
}

void query_engine::acceptReply(query& activeQuery, std::uint32_t shardIndex, leaf_outcome const& outcome, time_point now)
{
    auto& shard = activeQuery.shards[shardIndex];
    if (outcome.shard != shard.shard || outcome.reflects != activeQuery.pin) {
        // A reply for another shard or snapshot must never be merged, so the call counts as failed at this leaf.
        ++m_counters.mismatchedReplies;
        handleFailure(activeQuery, shardIndex, outcome, now);
        return;
    }
    shard.isAnswered = true;
    dequeueShard(activeQuery, shardIndex);
    shard.rows = outcome.rows;
    cancelCalls(shard);
    ++activeQuery.settledShardCount;
    ++activeQuery.answeredShardCount;
    settleIfComplete(activeQuery);
}

void query_engine::handleRefusal(query& activeQuery, std::uint32_t shardIndex, leaf_outcome const& outcome, time_point now)
{
    if (!activeQuery.isRepeatable) {
        // A request that is not repeatable is sent only once, so there is no retry.
        markMissing(activeQuery, shardIndex, outcome.refusal == leaf_refusal::shed ? model::missing_reason::overloaded : model::missing_reason::no_leaf);
        return;
    }
    switch (outcome.refusal) {
    case leaf_refusal::version_gone:
    case leaf_refusal::wrong_epoch: {
        auto const reason = outcome.refusal == leaf_refusal::version_gone ? model::missing_reason::version_gone : model::missing_reason::repartitioned;
        retryOrMarkMissing(activeQuery, shardIndex, reason, retry_cost::one_token, now);
        return;
    }
    case leaf_refusal::shed:
        retryOrMarkMissing(activeQuery, shardIndex, model::missing_reason::overloaded, retry_cost::one_token, now);
        return;
    case leaf_refusal::none:
    case leaf_refusal::draining:
    case leaf_refusal::cancelled:
    case leaf_refusal::deadline:
        retryOrMarkMissing(activeQuery, shardIndex, model::missing_reason::no_leaf, retry_cost::one_token, now);
        return;
    }
}

void query_engine::handleFailure(query& activeQuery, std::uint32_t shardIndex, leaf_outcome const& outcome, time_point now)
{
    if (!activeQuery.isRepeatable) {
        markMissing(activeQuery, shardIndex, model::missing_reason::failed);
        return;
    }
    // A call that was never sent puts no load on any leaf, so sending the call to another leaf consumes no retry budget.
    retryOrMarkMissing(activeQuery, shardIndex, model::missing_reason::failed, outcome.isKnownUnexecuted() ? retry_cost::free : retry_cost::one_token, now);
}

void query_engine::retryOrMarkMissing(query& activeQuery, std::uint32_t shardIndex, model::missing_reason reason, retry_cost cost, time_point now)
{
    auto& shard = activeQuery.shards[shardIndex];
    shard.latestMissingReason = reason;
    if (!shard.calls.empty() || shard.isQueued)
        return;
    auto const choice = m_leafs.chooseLeaf(activeQuery.service->name, activeQuery.pin, shard.shard, shard.calledLeafs, now, m_random);
    bool const hasUsableLeaf = choice.chosenLeaf || choice.hasUsableLeaf;
    // settleHeld() tries the shard or rejects the query once no open call is left.
    if (hasUsableLeaf && !mayCallLeaf(activeQuery, shardIndex, now)) {
        holdShard(activeQuery, shardIndex);
        return;
    }
    bool const hasBudget = cost == retry_cost::free || (hasUsableLeaf && callBudgetsOf(activeQuery.service->name).retryBudget.tryConsume());
    if (!hasUsableLeaf || !hasBudget) {
        repinOrMarkMissing(activeQuery, shardIndex, reason, now);
        return;
    }
    m_counters.retries += cost == retry_cost::free ? 0 : 1;
    sendOrEnqueueShard(activeQuery, shardIndex, false, now);
}

void query_engine::repinOrMarkMissing(query& activeQuery, std::uint32_t shardIndex, model::missing_reason reason, time_point now)
{
    // A query is repinned only when its snapshot is unavailable and calling leafs again is safe: the request is repeatable,
    // or no leaf was called for this shard.
    bool const isSnapshotUnavailable = reason != model::missing_reason::failed && reason != model::missing_reason::overloaded;
    bool const canCallAgain = activeQuery.isRepeatable || activeQuery.shards[shardIndex].calledLeafs.empty();
    if (!isSnapshotUnavailable || !canCallAgain || !tryRepin(activeQuery, now))
        markMissing(activeQuery, shardIndex, reason);
}

void query_engine::markMissing(query& activeQuery, std::uint32_t shardIndex, model::missing_reason reason)
{
    activeQuery.shards[shardIndex].missingReason = reason;
    ++activeQuery.settledShardCount;
    settleIfComplete(activeQuery);
}

bool query_engine::tryRepin(query& activeQuery, time_point now)
{
    auto const pin = choosePin(*activeQuery.request, *activeQuery.service);
    if (!pin || *pin == activeQuery.pin || !activeQuery.lifecycle.tryRepin())
        return false;
    ++m_counters.repins;
    for (std::uint32_t shardIndex = 0; shardIndex < activeQuery.shards.size(); ++shardIndex) {
        dequeueShard(activeQuery, shardIndex);
        cancelCalls(activeQuery.shards[shardIndex]);
    }
    // The query keeps the declaration of its arrival: a newer declaration may lack the request kind or name another partner.
    activeQuery.pin = *pin;
    activeQuery.settledShardCount = 0;
    activeQuery.answeredShardCount = 0;
    activeQuery.heldShardCount = 0;
    activeQuery.shards.clear();
    for (auto const shard : listShards(*activeQuery.request, *activeQuery.service, *pin))
        activeQuery.shards.emplace_back().shard = shard;
    scatter(activeQuery, now);
    return true;
}

void query_engine::cancelCalls(shard_progress& shard)
{
    for (auto const& call : shard.calls) {
        if (!call.isProbe)
            m_actions.emplace_back(cancel_leaf_call { call.call, call.leaf });
    }
    shard.calls.clear();
}

}
