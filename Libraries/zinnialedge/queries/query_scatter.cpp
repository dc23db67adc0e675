// Scattering of leaf calls: choice of leafs, shard queues and hedges.

#include "Libraries/zinnialedge/queries/query_engine.h"

#include <algorithm>

namespace zinnialedge::queries {

using kernel::time_point;

/// Number of hedge tokens reserved for urgent requests; ordinary requests are not hedged below this level.
static constexpr double ordinaryHedgeReserve = 5;

void query_engine::scatter(query& scattered, time_point now)
{
    auto const id = scattered.id;
    for (std::uint32_t place = 0; place < scattered.shards.size(); ++place) {
        if (scattered.shards[place].isSettled())
            continue;
        requestShard(scattered, place, false, now);
        // A shard without a leaf may settle the query, which removes it.
        if (!m_queries.contains(id))
            return;
    }
}

void query_engine::requestShard(query& asking, std::uint32_t place, bool isHedge, time_point now)
{
    // The deadline timer settles the query, but may be late; no call is sent past the deadline.
    if (now >= asking.deadline)
        return;
    auto& shard = asking.shards[place];
    auto const choice = m_leafs.choose(asking.service->name, asking.pin, shard.shard, shard.asked, now, m_random);
    if (choice.chosen) {
        send(asking, place, *choice.chosen, isHedge, now);
        if (!isHedge)
            probeSlowLeaf(asking, place, now);
        return;
    }
    if (choice.isWorthWaiting) {
        waitForRoom(asking, place, isHedge, now);
        return;
    }
    if (shard.calls.empty() && !shard.isWaiting)
        miss(asking, place, shard.asked.empty() ? model::missing_reason::no_leaf : shard.reasonSoFar);
}

void query_engine::send(query& asking, std::uint32_t place, routing::leaf_handle leaf, bool isHedge, time_point now)
{
    auto& shard = asking.shards[place];
    auto& limits = limitsOf(asking.service->name);
    auto const call = ++m_lastCall;
    m_leafs.at(leaf).noteSent(now);
    bool const isFirst = shard.asked.empty();
    shard.calls.push_back({ call, leaf, now, isHedge });
    shard.asked.push_back(leaf);
    shard.isWaiting = false;
    ++asking.unrefusedCalls;
    m_calls.emplace(call, call_owner { asking.id, place, shard.shard, leaf, now, asking.pin, asking.isRepeatable ? std::string {} : asking.request->ticket });
    ++m_counters.leafCalls;
    if (isHedge) {
        ++m_counters.hedges;
    } else {
        // Budgets are fractions of the first calls to shards: a retry must not earn tokens for further retries.
        limits.hedgeBudget.earn(isFirst ? 1 : 0);
        limits.retryBudget.earn(isFirst ? 1 : 0);
        if (m_settings.policy.isHedging && asking.isRepeatable && !shard.isHedged)
            m_timers.push({ now + hedgeDelayOf(limits), asking.id, place, timer_kind::hedge });
    }
    m_actions.emplace_back(send_leaf_call { call, leaf, shard.shard, asking.pin, asking.deadline, asking.isUrgent, asking.isRepeatable, asking.request });
}

void query_engine::waitForRoom(query& asking, std::uint32_t place, bool isHedge, time_point now)
{
    auto& shard = asking.shards[place];
    shard.isWaiting = true;
    if (m_waiting.empty())
        m_nextWaitingReview = now + waitingReviewInterval;
    m_waiting[{ asking.service->name, asking.pin.epoch, shard.shard }].push({ asking.id, place, asking.pin, isHedge, asking.isUrgent, now });
}

void query_engine::stopWaiting(query& asking, std::uint32_t place)
{
    auto& shard = asking.shards[place];
    if (!shard.isWaiting)
        return;
    shard.isWaiting = false;
    auto const found = m_waiting.find({ asking.service->name, asking.pin.epoch, shard.shard });
    if (found == m_waiting.end())
        return;
    auto const removed = found->second.remove(asking.id, place);
    if (removed && removed->isHedge)
        limitsOf(asking.service->name).hedgeBudget.giveBack();
    if (found->second.isEmpty())
        m_waiting.erase(found);
}

shard_queue const* query_engine::findQueue(query const& asking, std::uint32_t shard) const
{
    auto const found = m_waiting.find({ asking.service->name, asking.pin.epoch, shard });
    return found == m_waiting.end() ? nullptr : &found->second;
}

void query_engine::dispatchWaiting(shard_key const& key, time_point now)
{
    // Abandoning an entry may settle its query, which changes the queues, so the queue is looked up again in each round. The
    // check for room avoids a scan of the complete queue after each call.
    for (auto found = m_waiting.find(key); found != m_waiting.end(); found = m_waiting.find(key)) {
        if (!m_leafs.hasRoom(key.service, key.epoch, key.shard) || !dispatchNext(found->second, now))
            return;
        if (auto const after = m_waiting.find(key); after != m_waiting.end() && after->second.isEmpty())
            m_waiting.erase(after);
    }
}

query* query_engine::findWaiting(waiting_shard const& entry)
{
    auto* asking = find(entry.query);
    if (!asking || asking->pin != entry.pin)
        return nullptr;
    auto const& shard = asking->shards[entry.place];
    return shard.isSettled() || !shard.isWaiting ? nullptr : asking;
}

bool query_engine::dispatchNext(shard_queue& queue, time_point now)
{
    routing::leaf_choice choice;
    // The first entry may not be able to use the leaf with room: it already called that leaf, or has another pin.
    auto const* const next = queue.findFirst([&](waiting_shard const& entry) {
        auto* const asking = findWaiting(entry);
        if (!asking || now >= asking->deadline)
            return true;
        auto const& shard = asking->shards[entry.place];
        choice = m_leafs.choose(asking->service->name, asking->pin, shard.shard, shard.asked, now, m_random);
        return choice.chosen || !choice.isWorthWaiting;
    });
    if (!next)
        return false;
    auto const entry = *next;
    queue.remove(entry);
    auto* const asking = findWaiting(entry);
    if (!asking || now >= asking->deadline)
        return true;
    if (choice.chosen)
        send(*asking, entry.place, *choice.chosen, entry.isHedge, now);
    else
        giveUpWaiting(*asking, entry.place, now);
    return true;
}

std::chrono::microseconds query_engine::hedgeDelayOf(service_limits const& limits)
{
    // The hedge delay grows as tokens run out, so that the longest calls are hedged instead of the earliest calls.
    double const scarcity = 1 - limits.hedgeBudget.tokens() / budgetBurst;
    auto const delay = static_cast<double>(limits.hedgeDelay.value().count()) * (1 + scarcity);
    return std::chrono::microseconds { static_cast<std::int64_t>(delay) };
}

void query_engine::reviewWaiting(std::string const& service, time_point now)
{
    std::vector<shard_key> keys;
    for (auto each = m_waiting.lower_bound({ service, 0, 0 }); each != m_waiting.end() && each->first.service == service; ++each)
        keys.push_back(each->first);
    for (auto const& key : keys) {
        // A review may repin queries and thus add entries to any queue; these new entries go behind the existing entries.
        auto const found = m_waiting.find(key);
        if (found == m_waiting.end())
            continue;
        auto const queue = std::move(found->second);
        m_waiting.erase(found);
        for (auto const& entry : queue.entries())
            review(entry, now);
    }
}

void query_engine::review(waiting_shard const& entry, time_point now)
{
    auto* asking = findWaiting(entry);
    if (!asking || now >= asking->deadline)
        return;
    auto const& shard = asking->shards[entry.place];
    auto const choice = m_leafs.choose(asking->service->name, asking->pin, shard.shard, shard.asked, now, m_random);
    if (choice.chosen)
        send(*asking, entry.place, *choice.chosen, entry.isHedge, now);
    else if (choice.isWorthWaiting)
        m_waiting[{ asking->service->name, asking->pin.epoch, shard.shard }].push(entry);
    else
        giveUpWaiting(*asking, entry.place, now);
}

void query_engine::giveUpWaiting(query& asking, std::uint32_t place, time_point now)
{
    stopWaiting(asking, place);
    auto const& shard = asking.shards[place];
    if (shard.calls.empty())
        repinOrMiss(asking, place, shard.asked.empty() ? model::missing_reason::no_leaf : shard.reasonSoFar, now);
}

void query_engine::hedge(query& asking, std::uint32_t place, time_point now)
{
    auto& shard = asking.shards[place];
    if (!asking.isRepeatable || shard.isSettled() || shard.isHedged || shard.isWaiting || shard.calls.empty() || now >= asking.deadline)
        return;
    // A shard with queued calls has no spare capacity: a hedge would delay all of them.
    if (auto const* queue = findQueue(asking, shard.shard); queue && queue->hasPrimaries())
        return;
    auto const choice = m_leafs.choose(asking.service->name, asking.pin, shard.shard, shard.asked, now, m_random);
    if (choice.isSlow || (!choice.chosen && !choice.isWorthWaiting))
        return;
    if (!limitsOf(asking.service->name).hedgeBudget.take(asking.isUrgent ? 0 : ordinaryHedgeReserve))
        return;
    shard.isHedged = true;
    requestShard(asking, place, true, now);
}

void query_engine::probeSlowLeaf(query& asking, std::uint32_t place, time_point now)
{
    if (!m_settings.policy.isHedging || !asking.isRepeatable)
        return;
    auto& shard = asking.shards[place];
    auto const slow = m_leafs.findProbe(asking.service->name, asking.pin, shard.shard, shard.asked, now);
    if (!slow || !limitsOf(asking.service->name).hedgeBudget.take())
        return;
    send(asking, place, *slow, true, now);
    // A probe is never cancelled, because a cancelled probe would not measure the latency of the leaf.
    shard.calls.back().isProbe = true;
}

}
