// Scattering of leaf calls: choice of leafs, shard queues and hedges.

#include "Libraries/zinnialedge/queries/query_engine.h"

#include <algorithm>

namespace zinnialedge::queries {

using kernel::time_point;

/// Number of hedge tokens reserved for urgent requests; ordinary requests are not hedged below this level.
static constexpr double urgentHedgeReserve = 5;

void query_engine::scatter(query& activeQuery, time_point now)
{
    auto const id = activeQuery.id;
    for (std::uint32_t shardIndex = 0; shardIndex < activeQuery.shards.size(); ++shardIndex) {
        if (activeQuery.shards[shardIndex].isSettled())
            continue;
        sendOrEnqueueShard(activeQuery, shardIndex, false, now);
        // A shard without a leaf may settle the query, which removes it.
        if (!m_queries.contains(id))
            return;
    }
    settleHeld(activeQuery, now);
}

void query_engine::sendOrEnqueueShard(query& activeQuery, std::uint32_t shardIndex, bool isHedge, time_point now)
{
    // The deadline timer settles the query, but may be late; no call is sent past the deadline.
    if (now >= activeQuery.deadline)
        return;
    auto& shard = activeQuery.shards[shardIndex];
    if (!mayCallLeaf(activeQuery, shardIndex, now)) {
        holdShard(activeQuery, shardIndex);
        return;
    }
    auto const choice = m_leafs.chooseLeaf(activeQuery.service->name, activeQuery.pin, shard.shard, shard.calledLeafs, now, m_random);
    if (choice.chosenLeaf) {
        sendCall(activeQuery, shardIndex, *choice.chosenLeaf, isHedge, now);
        if (!isHedge)
            probeSlowLeaf(activeQuery, shardIndex, now);
        return;
    }
    if (choice.hasUsableLeaf) {
        enqueueShard(activeQuery, shardIndex, isHedge, now);
        return;
    }
    if (shard.calls.empty() && !shard.isQueued)
        markMissing(activeQuery, shardIndex, shard.calledLeafs.empty() ? model::missing_reason::no_leaf : shard.latestMissingReason);
}

void query_engine::sendCall(query& activeQuery, std::uint32_t shardIndex, routing::leaf_handle leaf, bool isHedge, time_point now)
{
    auto& shard = activeQuery.shards[shardIndex];
    auto& limits = callBudgetsOf(activeQuery.service->name);
    recordQuarantineCall(activeQuery, leaf, now);
    auto const call = ++m_lastCallId;
    m_leafs.at(leaf).recordCallSent(now);
    bool const isFirst = shard.calledLeafs.empty();
    shard.calls.push_back({ call, leaf, now, isHedge });
    shard.calledLeafs.push_back(leaf);
    shard.isQueued = false;
    ++activeQuery.possiblyRunCallCount;
    m_callsInFlight.emplace(call, call_record { activeQuery.id, shardIndex, shard.shard, leaf, now, activeQuery.pin, activeQuery.isRepeatable ? std::string {} : activeQuery.request->ticket, activeQuery.evidence });
    ++m_counters.leafCalls;
    if (isHedge) {
        ++m_counters.hedges;
    } else {
        // Budgets are fractions of the first calls to shards: a retry must not earn tokens for further retries.
        limits.hedgeBudget.earn(isFirst ? 1 : 0);
        limits.retryBudget.earn(isFirst ? 1 : 0);
        if (m_settings.policy.isHedgingEnabled && activeQuery.isRepeatable && !shard.wasHedged)
            m_timers.push({ now + computeHedgeDelay(limits), activeQuery.id, shardIndex, timer_kind::hedge });
    }
    m_actions.emplace_back(send_leaf_call { call, leaf, shard.shard, activeQuery.pin, activeQuery.deadline, activeQuery.isUrgent, activeQuery.isRepeatable, activeQuery.request });
}

void query_engine::enqueueShard(query& activeQuery, std::uint32_t shardIndex, bool isHedge, time_point now)
{
    auto& shard = activeQuery.shards[shardIndex];
    shard.isQueued = true;
    if (m_shardQueues.empty())
        m_nextQueueReview = now + queueReviewInterval;
    m_shardQueues[{ activeQuery.service->name, activeQuery.pin.epoch, shard.shard }].push({ activeQuery.id, shardIndex, activeQuery.pin, isHedge, activeQuery.isUrgent, now });
}

void query_engine::dequeueShard(query& activeQuery, std::uint32_t shardIndex)
{
    auto& shard = activeQuery.shards[shardIndex];
    if (!shard.isQueued)
        return;
    shard.isQueued = false;
    auto const found = m_shardQueues.find({ activeQuery.service->name, activeQuery.pin.epoch, shard.shard });
    if (found == m_shardQueues.end())
        return;
    auto const removed = found->second.remove(activeQuery.id, shardIndex);
    if (removed && removed->isHedge)
        callBudgetsOf(activeQuery.service->name).hedgeBudget.refund();
    if (found->second.isEmpty())
        m_shardQueues.erase(found);
}

shard_queue const* query_engine::findQueue(query const& activeQuery, std::uint32_t shard) const
{
    auto const found = m_shardQueues.find({ activeQuery.service->name, activeQuery.pin.epoch, shard });
    return found == m_shardQueues.end() ? nullptr : &found->second;
}

void query_engine::dispatchQueue(shard_key const& key, time_point now)
{
    // Abandoning an entry may settle its query, which changes the queues, so the queue is looked up again in each round. The
    // check for free capacity avoids a scan of the complete queue after each call.
    for (auto found = m_shardQueues.find(key); found != m_shardQueues.end(); found = m_shardQueues.find(key)) {
        if (!m_leafs.hasLeafWithFreeCapacity(key.service, key.epoch, key.shard) || !dispatchNextEntry(found->second, now))
            return;
        if (auto const after = m_shardQueues.find(key); after != m_shardQueues.end() && after->second.isEmpty())
            m_shardQueues.erase(after);
    }
}

query* query_engine::findQueuedQuery(shard_queue_entry const& entry)
{
    auto* activeQuery = findQuery(entry.queryId);
    if (!activeQuery || activeQuery->pin != entry.pin)
        return nullptr;
    auto const& shard = activeQuery->shards[entry.shardIndex];
    return shard.isSettled() || !shard.isQueued ? nullptr : activeQuery;
}

bool query_engine::dispatchNextEntry(shard_queue& queue, time_point now)
{
    routing::leaf_choice choice;
    // The first entry may not be able to use the leaf with free capacity: it already called that leaf, or has another pin.
    auto const* const next = queue.findFirst([&](shard_queue_entry const& entry) {
        auto* const activeQuery = findQueuedQuery(entry);
        if (!activeQuery || now >= activeQuery->deadline)
            return true;
        auto const& shard = activeQuery->shards[entry.shardIndex];
        choice = m_leafs.chooseLeaf(activeQuery->service->name, activeQuery->pin, shard.shard, shard.calledLeafs, now, m_random);
        return choice.chosenLeaf || !choice.hasUsableLeaf;
    });
    if (!next)
        return false;
    auto const entry = *next;
    queue.remove(entry);
    auto* const activeQuery = findQueuedQuery(entry);
    if (!activeQuery || now >= activeQuery->deadline)
        return true;
    if (choice.chosenLeaf)
        sendQueuedShard(*activeQuery, entry, *choice.chosenLeaf, now);
    else
        abandonQueueEntry(*activeQuery, entry.shardIndex, now);
    return true;
}

void query_engine::sendQueuedShard(query& activeQuery, shard_queue_entry const& entry, routing::leaf_handle leaf, time_point now)
{
    // Leafs may have been lost under the request while it waited.
    if (mayCallLeaf(activeQuery, entry.shardIndex, now)) {
        sendCall(activeQuery, entry.shardIndex, leaf, entry.isHedge, now);
        return;
    }
    activeQuery.shards[entry.shardIndex].isQueued = false;
    holdShard(activeQuery, entry.shardIndex);
    settleHeld(activeQuery, now);
}

std::chrono::microseconds query_engine::computeHedgeDelay(service_call_budgets const& limits)
{
    // The hedge delay grows as tokens run out, so that the longest calls are hedged instead of the earliest calls.
    double const scarcity = 1 - limits.hedgeBudget.tokens() / maximumBudgetTokens;
    auto const delay = static_cast<double>(limits.hedgeDelay.value().count()) * (1 + scarcity);
    return std::chrono::microseconds { static_cast<std::int64_t>(delay) };
}

void query_engine::reviewQueues(std::string const& service, time_point now)
{
    std::vector<shard_key> keys;
    for (auto each = m_shardQueues.lower_bound({ service, 0, 0 }); each != m_shardQueues.end() && each->first.service == service; ++each)
        keys.push_back(each->first);
    for (auto const& key : keys) {
        // A review may repin queries and thus add entries to any queue; these new entries go behind the existing entries.
        auto const found = m_shardQueues.find(key);
        if (found == m_shardQueues.end())
            continue;
        auto const queue = std::move(found->second);
        m_shardQueues.erase(found);
        for (auto const& entry : queue.entries())
            reviewEntry(entry, now);
    }
}

void query_engine::reviewEntry(shard_queue_entry const& entry, time_point now)
{
    auto* activeQuery = findQueuedQuery(entry);
    if (!activeQuery || now >= activeQuery->deadline)
        return;
    auto const& shard = activeQuery->shards[entry.shardIndex];
    auto const choice = m_leafs.chooseLeaf(activeQuery->service->name, activeQuery->pin, shard.shard, shard.calledLeafs, now, m_random);
    if (choice.chosenLeaf)
        sendQueuedShard(*activeQuery, entry, *choice.chosenLeaf, now);
    else if (choice.hasUsableLeaf)
        m_shardQueues[{ activeQuery->service->name, activeQuery->pin.epoch, shard.shard }].push(entry);
    else
        abandonQueueEntry(*activeQuery, entry.shardIndex, now);
}

void query_engine::abandonQueueEntry(query& activeQuery, std::uint32_t shardIndex, time_point now)
{
    dequeueShard(activeQuery, shardIndex);
    auto const& shard = activeQuery.shards[shardIndex];
    if (shard.calls.empty())
        repinOrMarkMissing(activeQuery, shardIndex, shard.calledLeafs.empty() ? model::missing_reason::no_leaf : shard.latestMissingReason, now);
}

void query_engine::hedgeShard(query& activeQuery, std::uint32_t shardIndex, time_point now)
{
    auto& shard = activeQuery.shards[shardIndex];
    if (!activeQuery.isRepeatable || shard.isSettled() || shard.wasHedged || shard.isQueued || shard.calls.empty() || now >= activeQuery.deadline)
        return;
    // A hedge would let a request that ends leafs reach two of them.
    if (judge(activeQuery, now) != quarantine::verdict::innocent)
        return;
    // A shard with queued calls has no spare capacity: a hedge would delay all of them.
    if (auto const* queue = findQueue(activeQuery, shard.shard); queue && queue->hasPrimaryCalls())
        return;
    auto const choice = m_leafs.chooseLeaf(activeQuery.service->name, activeQuery.pin, shard.shard, shard.calledLeafs, now, m_random);
    if (choice.isFastestUsableLeafSlow || (!choice.chosenLeaf && !choice.hasUsableLeaf))
        return;
    if (!callBudgetsOf(activeQuery.service->name).hedgeBudget.tryConsume(activeQuery.isUrgent ? 0 : urgentHedgeReserve))
        return;
    shard.wasHedged = true;
    sendOrEnqueueShard(activeQuery, shardIndex, true, now);
}

void query_engine::probeSlowLeaf(query& activeQuery, std::uint32_t shardIndex, time_point now)
{
    if (!m_settings.policy.isHedgingEnabled || !activeQuery.isRepeatable || judge(activeQuery, now) != quarantine::verdict::innocent)
        return;
    auto& shard = activeQuery.shards[shardIndex];
    auto const slow = m_leafs.findLeafToProbe(activeQuery.service->name, activeQuery.pin, shard.shard, shard.calledLeafs, now);
    if (!slow || !callBudgetsOf(activeQuery.service->name).hedgeBudget.tryConsume())
        return;
    sendCall(activeQuery, shardIndex, *slow, true, now);
    // A probe is never cancelled, because a cancelled probe would not measure the latency of the leaf.
    shard.calls.back().isProbe = true;
}

}
