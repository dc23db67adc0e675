// Declarations, leaf status, timers, relays and caller disconnects.

#include "Libraries/zinnialedge/queries/query_engine.h"

#include "Kernel/verify.h"

namespace zinnialedge::queries {

using errors::error_kind;
using kernel::time_point;

static constexpr double hedgeQuantile = 0.95;
static constexpr std::chrono::microseconds initialHedgeDelay { 10'000 };
static constexpr double retryBudgetPercent = 10;

query_engine::query_engine(engine_settings settings, kernel::random_hook random)
    : m_settings(std::move(settings))
    , m_random(std::move(random))
    , m_admission(m_settings.queryCapacity)
    , m_tickets(m_settings.daemon, m_settings.incarnation, m_settings.ticketCapacity)
    , m_quarantine(m_settings.incarnation)
{
    m_admission.setShares(m_settings.sharePercentByPartner);
    if (!m_settings.policy.isComparingDelays)
        m_leafs.disableDelayComparison();
}

actions query_engine::step(event const& newEvent, time_point now)
{
    m_actions.clear();
    std::visit([&](auto const& each) { handle(each, now); }, newEvent);
    return std::move(m_actions);
}

std::optional<time_point> query_engine::nextTimerTime() const
{
    std::optional<time_point> next;
    if (!m_timers.empty())
        next = m_timers.top().dueAt;
    if (!m_shardQueues.empty())
        next = std::min(next.value_or(m_nextQueueReview), m_nextQueueReview);
    return next;
}

std::size_t query_engine::queuedShardCount() const
{
    std::size_t count = 0;
    for (auto const& [key, queue] : m_shardQueues)
        count += queue.size();
    return count;
}

query* query_engine::findQuery(query_id id)
{
    auto const found = m_queries.find(id);
    return found == m_queries.end() ? nullptr : &found->second;
}

query_engine::service_call_budgets& query_engine::callBudgetsOf(std::string const& service)
{
    auto const found = m_callBudgets.find(service);
    VERIFY(found != m_callBudgets.end());
    return found->second;
}

void query_engine::handle(ticket_admission_changed const& changed, time_point)
{
    m_newTicketError = changed.refusal;
}

// Declarations and leaf status.

void query_engine::handle(service_declared const& declared, time_point now)
{
    auto const& service = *declared.declaration;
    double const hedgeShare = service.maximumHedgePercent / 100.0;
    auto const found = m_callBudgets.find(service.name);
    double const hedgeBurst = hedgeShare > 0 ? maximumBudgetTokens : 0;
    if (found == m_callBudgets.end())
        m_callBudgets.emplace(service.name, service_call_budgets { { hedgeShare, hedgeBurst }, { retryBudgetPercent / 100, maximumBudgetTokens }, { hedgeQuantile, initialHedgeDelay } });
    else
        found->second.hedgeBudget.setRate(hedgeShare, hedgeBurst);
    for (auto const& change : m_leafs.applyDeclaration(declared.declaration))
        m_actions.emplace_back(change_leaf_connections { change, service.name, m_leafs.at(change.handle).name() });
    reviewQueues(service.name, now);
}

void query_engine::handle(service_removed const& removed, time_point now)
{
    for (auto const& change : m_leafs.removeService(removed.name))
        m_actions.emplace_back(change_leaf_connections { change, removed.name, m_leafs.at(change.handle).name() });
    reviewQueues(removed.name, now);
}

bool query_engine::recordLeafStatus(routing::leaf_handle handle, leaf_status const& status, time_point now)
{
    auto& leaf = m_leafs.at(handle);
    bool const isPinStale = !leaf.isReachable() || leaf.versions() != status.versions || leaf.epochs() != status.epochs;
    auto const stateBefore = leaf.state();
    leaf.recordStatus(status.epochs, status.versions, status.load, status.isDraining, now);
    bool const isChanged = isPinStale || leaf.state() != stateBefore;
    if (isChanged)
        m_leafs.invalidatePin(leaf.service());
    return isChanged;
}

void query_engine::handle(leaf_status_received const& seen, time_point now)
{
    auto& leaf = m_leafs.at(seen.leaf);
    if (seen.connections)
        leaf.setOpenConnections(*seen.connections);
    bool isChanged = seen.status && recordLeafStatus(seen.leaf, *seen.status, now);
    if (!seen.status && seen.connections == 0U && leaf.isReachable()) {
        leaf.markUnreachable();
        m_leafs.invalidatePin(leaf.service());
        isChanged = true;
    }
    if (isChanged)
        reviewQueues(std::string { leaf.service() }, now);
}

// Timers, relays and caller disconnects.

void query_engine::dispatchAllQueues(time_point now)
{
    // A leaf becomes unresponsive without an event, so calls queued for that leaf must periodically be offered to slower leafs.
    if (m_shardQueues.empty() || now < m_nextQueueReview)
        return;
    m_nextQueueReview = now + queueReviewInterval;
    std::vector<shard_key> keys;
    keys.reserve(m_shardQueues.size());
    for (auto const& [key, queue] : m_shardQueues)
        keys.push_back(key);
    for (auto const& key : keys)
        dispatchQueue(key, now);
}

void query_engine::handle(timer_due const&, time_point now)
{
    dispatchAllQueues(now);
    // Timers that are set meanwhile run in a later step, even if they are due at once, so that other events get their turn.
    std::vector<timer> dueTimers;
    while (!m_timers.empty() && m_timers.top().dueAt <= now) {
        dueTimers.push_back(m_timers.top());
        m_timers.pop();
    }
    for (auto const& due : dueTimers) {
        if (due.kind == timer_kind::relay_deadline) {
            failRelayAtDeadline(due.caller);
            continue;
        }
        if (due.kind == timer_kind::share_suspects) {
            m_isSharingScheduled = false;
            shareSuspects(now);
            continue;
        }
        auto* activeQuery = findQuery(due.queryId);
        if (!activeQuery)
            continue;
        switch (due.kind) {
        case timer_kind::deadline:
            settleAtDeadline(*activeQuery);
            break;
        case timer_kind::soft_deadline:
            settleAtSoftDeadline(*activeQuery);
            break;
        case timer_kind::caller_deadline:
            answerCallersPastDeadline(*activeQuery, now);
            break;
        case timer_kind::relay_deadline:
        case timer_kind::share_suspects:
            break;
        case timer_kind::hedge:
            if (due.shardIndex < activeQuery->shards.size())
                hedgeShard(*activeQuery, due.shardIndex, now);
            break;
        }
    }
}

void query_engine::handle(relay_ended const& ended, time_point)
{
    auto const found = m_relayedRequestIds.find(ended.caller);
    if (found == m_relayedRequestIds.end()) {
        ++m_counters.lateReplies;
        return;
    }
    auto const requestId = std::move(found->second);
    m_relayedRequestIds.erase(found);
    answerCaller(ended.caller, requestId, ended.result);
}

void query_engine::handle(caller_left const& left, time_point)
{
    if (m_relayedRequestIds.erase(left.caller) > 0) {
        m_actions.emplace_back(abandon_relay { left.caller });
        return;
    }
    auto const found = m_queryByCaller.find(left.caller);
    if (found == m_queryByCaller.end())
        return;
    auto* activeQuery = findQuery(found->second);
    VERIFY(activeQuery);
    m_queryByCaller.erase(found);
    std::erase_if(activeQuery->callers, [&](waiting_caller const& caller) { return caller.token == left.caller; });
    // A query that is not repeatable continues without callers: its outcome is retained for a later request with the same ticket.
    if (activeQuery->callers.empty() && activeQuery->isRepeatable)
        abandonQuery(*activeQuery);
}

void query_engine::abandonQuery(query& activeQuery)
{
    ++m_counters.abandonedQueries;
    for (auto& shard : activeQuery.shards)
        cancelCalls(shard);
    removeQuery(activeQuery);
}

}
