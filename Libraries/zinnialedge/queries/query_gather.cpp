// Gathering of leaf replies: acceptance, refusals, retries and repinning.

#include "Libraries/zinnialedge/queries/query_engine.h"

#include "Kernel/verify.h"
#include <algorithm>

namespace zinnialedge::queries {

using kernel::time_point;

void query_engine::handle(leaf_call_ended const& ended, time_point now)
{
    auto const found = m_calls.find(ended.call);
    if (found == m_calls.end()) {
        ++m_counters.lateReplies;
        return;
    }
    auto const owner = found->second;
    m_calls.erase(found);
    auto& leaf = m_leafs.at(owner.leaf);
    leaf.noteEnded(owner.sentAt, now, ended.outcome.kind == leaf_outcome_kind::answered);
    bool isLeafChanged = ended.outcome.status && noteLeafStatus(owner.leaf, *ended.outcome.status, now);
    if (ended.outcome.refusal == leaf_refusal::shed)
        leaf.noteShed();
    if (ended.outcome.refusal == leaf_refusal::draining) {
        leaf.noteRefusedAsDraining();
        m_leafs.forgetPin(leaf.service());
        isLeafChanged = true;
    }
    auto const service = leaf.service();
    auto* asking = find(owner.query);
    if (asking && ended.outcome.isUnrun())
        --asking->unrefusedCalls;
    bool const isCurrent = asking && asking->pin == owner.pin && !asking->shards[owner.place].isSettled();
    if (!isCurrent) {
        ++m_counters.lateReplies;
        settleLateReply(owner, ended.outcome);
    } else {
        auto& shard = asking->shards[owner.place];
        std::erase_if(shard.calls, [&](auto const& call) { return call.call == ended.call; });
        if (ended.outcome.kind == leaf_outcome_kind::answered)
            limitsOf(service).hedgeDelay.add(std::chrono::duration_cast<std::chrono::microseconds>(now - owner.sentAt));
        switch (ended.outcome.kind) {
        case leaf_outcome_kind::answered:
            accept(*asking, owner.place, ended.outcome, now);
            break;
        case leaf_outcome_kind::refused:
            handleRefusal(*asking, owner.place, ended.outcome, now);
            break;
        case leaf_outcome_kind::failed:
            handleFailure(*asking, owner.place, ended.outcome, now);
            break;
        }
    }
    // During a repartition the leaf may own different shards in the other epoch, so all queues of the service are reviewed.
    if (isLeafChanged || m_leafs.isRepartitioning(service))
        reviewWaiting(service, now);
    else
        dispatchWaiting({ service, owner.pin.epoch, owner.shard }, now);
}

void query_engine::settleLateReply(call_owner const& owner, leaf_outcome const& outcome)
{
    bool const isOwnAnswer = outcome.kind == leaf_outcome_kind::answered && outcome.shard == owner.shard && outcome.reflects == owner.pin;
    if (owner.ticket.empty() || !isOwnAnswer)
        return;
    model::answer answer { owner.ticket, outcome.reflects, { 1, 1, {} }, outcome.rows, false };
    m_tickets.settle(owner.ticket, std::move(answer));
}

void query_engine::accept(query& asking, std::uint32_t place, leaf_outcome const& outcome, time_point now)
{
    auto& shard = asking.shards[place];
    if (outcome.shard != shard.shard || outcome.reflects != asking.pin) {
        // A reply for another shard or snapshot must never be merged, so the call counts as failed at this leaf.
        ++m_counters.mismatchedReplies;
        handleFailure(asking, place, outcome, now);
        return;
    }
    shard.isAnswered = true;
    stopWaiting(asking, place);
    shard.rows = outcome.rows;
    cancelCalls(shard);
    ++asking.settledShards;
    ++asking.answeredShards;
    settleIfComplete(asking);
}

void query_engine::handleRefusal(query& asking, std::uint32_t place, leaf_outcome const& outcome, time_point now)
{
    if (!asking.isRepeatable) {
        // A request that is not repeatable is sent only once, so there is no retry.
        miss(asking, place, outcome.refusal == leaf_refusal::shed ? model::missing_reason::overloaded : model::missing_reason::no_leaf);
        return;
    }
    switch (outcome.refusal) {
    case leaf_refusal::version_gone:
    case leaf_refusal::wrong_epoch: {
        auto const reason = outcome.refusal == leaf_refusal::version_gone ? model::missing_reason::version_gone : model::missing_reason::repartitioned;
        retryOrMiss(asking, place, reason, retry_price::one_token, now);
        return;
    }
    case leaf_refusal::shed:
        retryOrMiss(asking, place, model::missing_reason::overloaded, retry_price::one_token, now);
        return;
    case leaf_refusal::none:
    case leaf_refusal::draining:
    case leaf_refusal::cancelled:
    case leaf_refusal::deadline:
        retryOrMiss(asking, place, model::missing_reason::no_leaf, retry_price::one_token, now);
        return;
    }
}

void query_engine::handleFailure(query& asking, std::uint32_t place, leaf_outcome const& outcome, time_point now)
{
    if (!asking.isRepeatable) {
        miss(asking, place, model::missing_reason::failed);
        return;
    }
    // A call that was never sent puts no load on any leaf, so sending the call to another leaf consumes no retry budget.
    retryOrMiss(asking, place, model::missing_reason::failed, outcome.isUnrun() ? retry_price::free : retry_price::one_token, now);
}

void query_engine::retryOrMiss(query& asking, std::uint32_t place, model::missing_reason reason, retry_price price, time_point now)
{
    auto& shard = asking.shards[place];
    shard.reasonSoFar = reason;
    if (!shard.calls.empty() || shard.isWaiting)
        return;
    auto const choice = m_leafs.choose(asking.service->name, asking.pin, shard.shard, shard.asked, now, m_random);
    bool const isPossible = choice.chosen || choice.isWorthWaiting;
    bool const isPaid = price == retry_price::free || (isPossible && limitsOf(asking.service->name).retryBudget.take());
    if (!isPossible || !isPaid) {
        repinOrMiss(asking, place, reason, now);
        return;
    }
    m_counters.retries += price == retry_price::free ? 0 : 1;
    requestShard(asking, place, false, now);
}

void query_engine::repinOrMiss(query& asking, std::uint32_t place, model::missing_reason reason, time_point now)
{
    // A query is repinned only when its snapshot is unavailable and calling leafs again is safe: the request is repeatable,
    // or no leaf was called for this shard.
    bool const isSnapshotGone = reason != model::missing_reason::failed && reason != model::missing_reason::overloaded;
    bool const mayAskAgain = asking.isRepeatable || asking.shards[place].asked.empty();
    if (!isSnapshotGone || !mayAskAgain || !repin(asking, now))
        miss(asking, place, reason);
}

void query_engine::miss(query& asking, std::uint32_t place, model::missing_reason reason)
{
    asking.shards[place].missing = reason;
    ++asking.settledShards;
    settleIfComplete(asking);
}

bool query_engine::repin(query& asking, time_point now)
{
    auto const pin = choosePin(*asking.request, *asking.service);
    if (!pin || *pin == asking.pin || !asking.lifecycle.repin())
        return false;
    ++m_counters.repins;
    for (std::uint32_t place = 0; place < asking.shards.size(); ++place) {
        stopWaiting(asking, place);
        cancelCalls(asking.shards[place]);
    }
    // The query keeps the declaration of its arrival: a newer declaration may lack the request kind or name another partner.
    asking.pin = *pin;
    asking.settledShards = 0;
    asking.answeredShards = 0;
    asking.shards.clear();
    for (auto const shard : shardsOf(*asking.request, *asking.service, *pin))
        asking.shards.emplace_back().shard = shard;
    scatter(asking, now);
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
