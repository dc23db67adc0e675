// Quarantine of requests under which leafs were lost: such a request is not sent to further leafs, by whichever daemon.

#include "Libraries/zinnialedge/queries/query_engine.h"

#include <algorithm>
#include <utility>

namespace zinnialedge::queries {

using kernel::time_point;
using quarantine::verdict;

verdict query_engine::judge(query const& activeQuery, time_point now) const
{
    return m_quarantine.judge(*activeQuery.evidence, now);
}

bool query_engine::mayCallLeaf(query const& activeQuery, std::uint32_t shardIndex, time_point now) const
{
    auto const& shards = activeQuery.shards;
    auto const hasOpenCalls = [&] {
        return std::any_of(shards.begin(), shards.end(), [&](auto const& shard) { return &shard != &shards[shardIndex] && (!shard.calls.empty() || shard.isQueued); });
    };
    return quarantine::mayCallLeaf(judge(activeQuery, now), shards[shardIndex].calledLeafs.empty(), hasOpenCalls);
}

void query_engine::recordOutcome(call_record const& owner, leaf_outcome const& outcome, time_point now)
{
    auto& evidence = *owner.evidence;
    auto const& leaf = m_leafs.at(owner.leaf);
    if (outcome.kind == leaf_outcome_kind::answered) {
        if (evidence.hasSucceeded())
            return;
        evidence.recordSuccess();
        if (m_quarantine.recordSuccess(evidence.digests(), now))
            reportQuarantine("request_cleared", evidence.digests().front(), leaf.name());
    } else if (outcome.isConnectionLost && !evidence.hasSucceeded()) {
        auto const lost = quarantine::hashLeaf(leaf.name(), 0);
        bool const isNew = m_quarantine.recordLoss(evidence.digests(), { lost, owner.sentAt, now }, now);
        m_counters.requestsQuarantined += isNew ? 1 : 0;
        reportQuarantine(isNew ? "request_quarantined" : "leaf_lost_under_request", evidence.digests().front(), leaf.name());
    } else if (outcome.kind == leaf_outcome_kind::failed && outcome.mayHaveBeenSent) {
        m_quarantine.recordUnansweredCall(evidence, now);
    }
    shareSuspects(now);
}

void query_engine::recordQuarantineCall(query& activeQuery, routing::leaf_handle leaf, time_point now)
{
    if (judge(activeQuery, now) != verdict::trial)
        return;
    m_quarantine.recordCall(*activeQuery.evidence, now);
    reportQuarantine("request_tried_again", activeQuery.evidence->digests().front(), m_leafs.at(leaf).name());
    shareSuspects(now);
}

void query_engine::reportQuarantine(std::string_view event, quarantine::request_digest const& request, std::string const& leaf)
{
    auto const* const known = m_quarantine.find(request);
    m_actions.emplace_back(report_quarantine { event, request, leaf, known ? quarantine::lossCount(*known) : 0 });
}

void query_engine::holdShard(query& activeQuery, std::uint32_t shardIndex)
{
    activeQuery.heldShardCount += std::exchange(activeQuery.shards[shardIndex].isHeld, true) ? 0 : 1;
}

void query_engine::resumeShard(query& activeQuery, std::uint32_t shardIndex, time_point now)
{
    auto& shard = activeQuery.shards[shardIndex];
    shard.isHeld = false;
    --activeQuery.heldShardCount;
    if (shard.isSettled())
        return;
    if (shard.calledLeafs.empty())
        sendOrEnqueueShard(activeQuery, shardIndex, false, now);
    else
        retryOrMarkMissing(activeQuery, shardIndex, shard.latestMissingReason, retry_cost::one_token, now);
}

void query_engine::releaseHeldShards(query_id id, time_point now)
{
    // A call may settle the query, so it is looked up again for each shard.
    for (std::uint32_t shardIndex = 0;; ++shardIndex) {
        auto* const activeQuery = findQuery(id);
        if (!activeQuery || activeQuery->heldShardCount == 0 || shardIndex >= activeQuery->shards.size())
            return;
        if (activeQuery->shards[shardIndex].isHeld)
            resumeShard(*activeQuery, shardIndex, now);
    }
}

bool query_engine::settleHeld(query& activeQuery, time_point now)
{
    auto const& shards = activeQuery.shards;
    if (activeQuery.heldShardCount == 0 || std::any_of(shards.begin(), shards.end(), [](auto const& shard) { return !shard.calls.empty() || shard.isQueued; }))
        return false;
    for (std::uint32_t shardIndex = 0; shardIndex < shards.size(); ++shardIndex) {
        if (!shards[shardIndex].isHeld || !mayCallLeaf(activeQuery, shardIndex, now))
            continue;
        resumeShard(activeQuery, shardIndex, now);
        return true;
    }
    ++m_counters.rejectionsForQuarantine;
    settleQuery(activeQuery, errors::makeError(errors::error_kind::request_quarantined, "leafs were lost while they ran this request"));
    return true;
}

void query_engine::handle(suspects_told const& told, time_point now)
{
    for (auto const& request : m_quarantine.merge(told.suspects, now))
        reportQuarantine("request_quarantine_heard", request, {});
    shareSuspects(now);
}

void query_engine::shareSuspects(time_point now)
{
    if (now < m_nextSharingAt) {
        if (!std::exchange(m_isSharingScheduled, true))
            m_timers.push({ m_nextSharingAt, 0, 0, timer_kind::share_suspects });
        return;
    }
    if (!m_quarantine.takeChanges())
        return;
    m_nextSharingAt = now + quarantine::sharingInterval;
    m_actions.emplace_back(share_suspects { m_quarantine.suspectsToShare(now) });
}

}
