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
    , m_admission(m_settings.capacity)
    , m_tickets(m_settings.daemon, m_settings.incarnation, m_settings.ticketCapacity)
{
    m_admission.setShares(m_settings.partnerShares);
    if (!m_settings.policy.isChoosingByDelay)
        m_leafs.chooseAtRandom();
}

actions query_engine::step(event const& happened, time_point now)
{
    m_actions.clear();
    std::visit([&](auto const& each) { handle(each, now); }, happened);
    return std::move(m_actions);
}

std::optional<time_point> query_engine::nextTimer() const
{
    std::optional<time_point> next;
    if (!m_timers.empty())
        next = m_timers.top().at;
    if (!m_waiting.empty())
        next = std::min(next.value_or(m_nextWaitingReview), m_nextWaitingReview);
    return next;
}

std::size_t query_engine::waitingShards() const
{
    std::size_t count = 0;
    for (auto const& [key, queue] : m_waiting)
        count += queue.size();
    return count;
}

query* query_engine::find(query_id id)
{
    auto const found = m_queries.find(id);
    return found == m_queries.end() ? nullptr : &found->second;
}

query_engine::service_limits& query_engine::limitsOf(std::string const& service)
{
    auto const found = m_limits.find(service);
    VERIFY(found != m_limits.end());
    return found->second;
}

void query_engine::handle(ticket_intake_changed const& changed, time_point)
{
    m_ticketRefusal = changed.refusal;
}

// Declarations and leaf status.

void query_engine::handle(service_declared const& declared, time_point now)
{
    auto const& service = *declared.declaration;
    double const hedgeShare = service.hedgePercent / 100.0;
    auto const found = m_limits.find(service.name);
    double const hedgeBurst = hedgeShare > 0 ? budgetBurst : 0;
    if (found == m_limits.end())
        m_limits.emplace(service.name, service_limits { { hedgeShare, hedgeBurst }, { retryBudgetPercent / 100, budgetBurst }, { hedgeQuantile, initialHedgeDelay } });
    else
        found->second.hedgeBudget.setRate(hedgeShare, hedgeBurst);
    for (auto const& change : m_leafs.declare(declared.declaration))
        m_actions.emplace_back(change_leaf_connections { change, service.name, m_leafs.at(change.handle).name() });
    reviewWaiting(service.name, now);
}

void query_engine::handle(service_removed const& removed, time_point now)
{
    for (auto const& change : m_leafs.remove(removed.name))
        m_actions.emplace_back(change_leaf_connections { change, removed.name, m_leafs.at(change.handle).name() });
    reviewWaiting(removed.name, now);
}

bool query_engine::noteLeafStatus(routing::leaf_handle handle, leaf_status const& status, time_point now)
{
    auto& leaf = m_leafs.at(handle);
    bool const isPinStale = !leaf.isReachable() || leaf.versions() != status.versions || leaf.epochs() != status.epochs;
    auto const stateBefore = leaf.state();
    leaf.noteStatus(status.epochs, status.versions, status.load, status.isDraining, now);
    bool const isChanged = isPinStale || leaf.state() != stateBefore;
    if (isChanged)
        m_leafs.forgetPin(leaf.service());
    return isChanged;
}

void query_engine::handle(leaf_status_seen const& seen, time_point now)
{
    auto& leaf = m_leafs.at(seen.leaf);
    if (seen.connections)
        leaf.noteConnections(*seen.connections);
    bool isChanged = seen.status && noteLeafStatus(seen.leaf, *seen.status, now);
    if (!seen.status && seen.connections == 0U && leaf.isReachable()) {
        leaf.noteUnreachable();
        m_leafs.forgetPin(leaf.service());
        isChanged = true;
    }
    if (isChanged)
        reviewWaiting(std::string { leaf.service() }, now);
}

// Timers, relays and caller disconnects.

void query_engine::dispatchAllWaiting(time_point now)
{
    // A leaf becomes unresponsive without an event, so calls queued for that leaf must periodically be offered to slower leafs.
    if (m_waiting.empty() || now < m_nextWaitingReview)
        return;
    m_nextWaitingReview = now + waitingReviewInterval;
    std::vector<shard_key> keys;
    keys.reserve(m_waiting.size());
    for (auto const& [key, queue] : m_waiting)
        keys.push_back(key);
    for (auto const& key : keys)
        dispatchWaiting(key, now);
}

void query_engine::handle(timer_due const&, time_point now)
{
    dispatchAllWaiting(now);
    while (!m_timers.empty() && m_timers.top().at <= now) {
        auto const due = m_timers.top();
        m_timers.pop();
        if (due.kind == timer_kind::relay_deadline) {
            endRelay(due.caller);
            continue;
        }
        auto* asking = find(due.query);
        if (!asking)
            continue;
        switch (due.kind) {
        case timer_kind::deadline:
            settleAtDeadline(*asking);
            break;
        case timer_kind::soft_deadline:
            settleAtSoftDeadline(*asking);
            break;
        case timer_kind::caller_deadline:
            answerCallersPastDeadline(*asking, now);
            break;
        case timer_kind::relay_deadline:
            break;
        case timer_kind::hedge:
            if (due.place < asking->shards.size())
                hedge(*asking, due.place, now);
            break;
        }
    }
}

void query_engine::handle(relay_ended const& ended, time_point)
{
    auto const found = m_relays.find(ended.caller);
    if (found == m_relays.end()) {
        ++m_counters.lateReplies;
        return;
    }
    auto const requestId = std::move(found->second);
    m_relays.erase(found);
    giveAnswer(ended.caller, requestId, ended.result);
}

void query_engine::handle(caller_left const& left, time_point)
{
    if (m_relays.erase(left.caller) > 0) {
        m_actions.emplace_back(abandon_relay { left.caller });
        return;
    }
    auto const found = m_queryOfCaller.find(left.caller);
    if (found == m_queryOfCaller.end())
        return;
    auto* asking = find(found->second);
    VERIFY(asking);
    m_queryOfCaller.erase(found);
    std::erase_if(asking->callers, [&](waiting_caller const& caller) { return caller.token == left.caller; });
    // A query that is not repeatable continues without callers: its outcome is retained for a later request with the same ticket.
    if (asking->callers.empty() && asking->isRepeatable)
        abandon(*asking);
}

void query_engine::abandon(query& asking)
{
    ++m_counters.abandoned;
    for (auto& shard : asking.shards)
        cancelCalls(shard);
    forget(asking);
}

}
