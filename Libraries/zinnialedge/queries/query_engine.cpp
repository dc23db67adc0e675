#include "Libraries/zinnialedge/queries/query_engine.h"

#include "Kernel/try.h"
#include "Kernel/verify.h"
#include <algorithm>

namespace zinnialedge::queries {

using errors::error;
using errors::error_kind;
using kernel::time_point;

static constexpr std::chrono::milliseconds maximumDeadline { 60'000 };
static constexpr double hedgeQuantile = 0.95;
static constexpr std::chrono::microseconds initialHedgeDelay { 10'000 };
static constexpr double budgetBurst = 20;
/// Tokens that calls of ordinary requests leave for the hedges of urgent ones.
static constexpr double ordinaryHedgeReserve = 5;
static constexpr double retryBudgetPercent = 10;
static constexpr double lowestCallsPerSecond = 1;
static constexpr std::chrono::milliseconds overloadRetryAfter { 50 };
static constexpr std::chrono::milliseconds noLeafRetryAfter { 500 };

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

// Arrival.

errors::error_or<void> query_engine::check(model::query_request const& request, model::service_declaration const* service) const
{
    if (!service)
        return errors::fail(error_kind::unknown_service, "no service " + request.service);
    auto const* kind = service->findRequest(request.requestKind);
    if (!kind)
        return errors::fail(error_kind::unknown_request_kind, request.service + " has no request " + request.requestKind);
    if (!kind->isOverAllShards && request.key.empty())
        return errors::fail(error_kind::missing_key, request.requestKind + " needs a key");
    if (request.deadline < std::chrono::milliseconds::zero() || request.deadline > maximumDeadline)
        return errors::fail(error_kind::deadline_out_of_range, "deadline_ms must be from 1 to " + std::to_string(maximumDeadline.count()));
    if (!kind->isRepeatable && request.ticket.empty())
        return errors::fail(error_kind::ticket_required, request.requestKind + " is not repeatable; ask /directory for a ticket prefix");
    return {};
}

void query_engine::refuse(caller_token caller, model::query_request const& request, error reason)
{
    ++m_counters.refusals;
    m_actions.emplace_back(answer_caller { caller, request.id, tl::unexpected(std::move(reason)) });
}

void query_engine::giveAnswer(caller_token caller, std::string const& requestId, model::answer_or_error result)
{
    if (result)
        result->id = requestId;
    m_queryOfCaller.erase(caller);
    m_actions.emplace_back(answer_caller { caller, requestId, std::move(result) });
}

time_point query_engine::deadlineOf(model::query_request const& request, time_point now) const
{
    auto deadline = request.deadline;
    if (deadline.count() == 0) {
        auto const service = m_leafs.findService(request.service);
        deadline = service ? service->deadline : model::service_declaration {}.deadline;
    }
    return now + std::clamp<std::chrono::milliseconds>(deadline - m_settings.returnMargin, std::chrono::milliseconds { 1 }, maximumDeadline);
}

void query_engine::handle(query_arrived const& arrived, time_point now)
{
    ++m_counters.queries;
    auto const& request = arrived.request;
    auto const service = m_leafs.findService(request.service);
    auto const* kind = service ? service->findRequest(request.requestKind) : nullptr;
    // The ticket goes first: a refusal for want of a declaration would deny a run that the ticket had before.
    bool const mayNeedTicket = !kind || !kind->isRepeatable;
    if (mayNeedTicket && answerByTicket(arrived, now))
        return;
    if (auto const checked = check(request, service.get()); !checked) {
        refuse(arrived.caller, request, checked.error());
        return;
    }
    if (!kind->isRepeatable && !claimTicket(arrived, now))
        return;
    admit(arrived, service, now);
}

bool query_engine::answerByTicket(query_arrived const& arrived, time_point now)
{
    auto const& request = arrived.request;
    auto const parsed = parseTicket(request.ticket);
    if (!parsed)
        return false;
    if (!m_tickets.isOwn(*parsed)) {
        // A relayed request whose ticket names an earlier process of this daemon has an outcome that nobody knows.
        if (request.isRelayed || parsed->daemon == m_settings.daemon)
            refuse(arrived.caller, request, { error_kind::outcome_unknown, "the process that the ticket names is gone", {} });
        else
            relay(arrived, parsed->daemon, now);
        return true;
    }
    switch (m_tickets.lookUp(request, *parsed, now)) {
    case ticket_state::unused:
        return false;
    case ticket_state::running:
        join(*find(m_runningTickets.at(request.ticket)), arrived, now);
        return true;
    case ticket_state::settled: {
        auto result = m_tickets.outcomeOf(request.ticket);
        if (result)
            result->isRemembered = true;
        giveAnswer(arrived.caller, request.id, std::move(result));
        return true;
    }
    case ticket_state::other_request:
        refuse(arrived.caller, request, { error_kind::malformed_request, "ticket: used for a request with other contents; give each request a suffix of its own", {} });
        return true;
    case ticket_state::forgotten:
        refuse(arrived.caller, request, { error_kind::outcome_unknown, "the ticket expired long ago, and whether it ran is no longer known", {} });
        return true;
    }
    VERIFY(false);
}

bool query_engine::claimTicket(query_arrived const& arrived, time_point now)
{
    auto const& request = arrived.request;
    auto const parsed = parseTicket(request.ticket);
    if (!parsed) {
        refuse(arrived.caller, request, { error_kind::malformed_request, "ticket: expected a prefix from /directory, '~' and a suffix", {} });
        return false;
    }
    switch (m_tickets.claim(request, *parsed, now)) {
    case ticket_claim::granted:
        if (!m_ticketRefusal)
            return true;
        m_tickets.release(request.ticket);
        refuse(arrived.caller, request, *m_ticketRefusal);
        return false;
    case ticket_claim::expired:
        refuse(arrived.caller, request, { error_kind::ticket_expired, "the ticket has expired", std::chrono::milliseconds { 0 } });
        return false;
    case ticket_claim::memory_full:
        refuse(arrived.caller, request, { error_kind::ticket_memory_full, "too many unexpired tickets", noLeafRetryAfter });
        return false;
    }
    VERIFY(false);
}

void query_engine::relay(query_arrived const& arrived, std::string const& daemon, time_point now)
{
    ++m_counters.relays;
    auto const& request = arrived.request;
    // The other daemon may be frozen, so the caller's deadline is kept here too.
    m_timers.push({ deadlineOf(request, now), 0, 0, timer_kind::relay_deadline, arrived.caller });
    m_relays.emplace(arrived.caller, request.id);
    m_actions.emplace_back(relay_query { arrived.caller, daemon, request });
}

void query_engine::endRelay(caller_token caller)
{
    auto const found = m_relays.find(caller);
    if (found == m_relays.end())
        return;
    ++m_counters.relaysWithoutAnswer;
    auto const requestId = std::move(found->second);
    m_relays.erase(found);
    m_actions.emplace_back(abandon_relay { caller });
    giveAnswer(caller, requestId, errors::fail(error_kind::outcome_unknown, "the daemon that the ticket names did not answer by the deadline"));
}

void query_engine::join(query& running, query_arrived const& arrived, time_point now)
{
    auto const deadline = deadlineOf(arrived.request, now);
    running.callers.push_back({ arrived.caller, arrived.request.id, deadline });
    m_queryOfCaller.emplace(arrived.caller, running.id);
    if (deadline < running.deadline)
        m_timers.push({ deadline, running.id, 0, timer_kind::caller_deadline });
}

std::optional<model::snapshot> query_engine::choosePin(model::query_request const& request, model::service_declaration const& service)
{
    if (service.findRequest(request.requestKind)->isOverAllShards)
        return m_leafs.choosePin(service.name);
    return m_leafs.choosePinForKey(service.name, request.key);
}

std::vector<std::uint32_t> query_engine::shardsOf(model::query_request const& request, model::service_declaration const& service, model::snapshot pin) const
{
    auto const* map = m_leafs.findMap(service.name, pin.epoch);
    VERIFY(map);
    auto const shardCount = static_cast<std::uint32_t>(map->leafsOfShard.size());
    if (!service.findRequest(request.requestKind)->isOverAllShards)
        return { model::shardOfKey(request.key, shardCount) };
    std::vector<std::uint32_t> shards(shardCount);
    for (std::uint32_t shard = 0; shard < shardCount; ++shard)
        shards[shard] = shard;
    return shards;
}

void query_engine::admit(query_arrived const& arrived, std::shared_ptr<model::service_declaration const> const& service, time_point now)
{
    auto const& request = arrived.request;
    auto const refuseUnrun = [&](error reason) {
        // A request that may be repeated needs no ticket; the one it carries may belong to another that runs.
        if (!service->findRequest(request.requestKind)->isRepeatable)
            m_tickets.release(request.ticket);
        refuse(arrived.caller, request, std::move(reason));
    };
    auto const pin = choosePin(request, *service);
    if (!pin) {
        refuseUnrun({ error_kind::no_live_target, "no leaf of " + service->name + " serves any version", noLeafRetryAfter });
        return;
    }
    auto const shards = shardsOf(request, *service, *pin);
    if (m_calls.size() + 2 * shards.size() > m_settings.leafCallCapacity) {
        refuseUnrun({ error_kind::overloaded, "too many calls to leafs are in flight", overloadRetryAfter });
        return;
    }
    auto const* kind = service->findRequest(request.requestKind);
    auto const id = ++m_lastQuery;
    query added;
    added.id = id;
    added.request = std::make_shared<model::query_request const>(request);
    added.service = service;
    added.isUrgent = kind->isUrgent;
    added.isRepeatable = kind->isRepeatable;
    added.pin = *pin;
    added.arrivedAt = now;
    added.deadline = deadlineOf(request, now);
    added.callers = { { arrived.caller, request.id, added.deadline } };
    m_queryOfCaller.emplace(arrived.caller, id);
    for (auto const shard : shards)
        added.shards.emplace_back().shard = shard;
    auto const verdict = judge(added, now);
    if (!verdict.isAdmitted) {
        refuseUnrun(makeTooShort(verdict));
        return;
    }
    if (!m_admission.tryEnter(service->partner)) {
        refuseUnrun({ error_kind::over_share, service->partner + " has no room left on this daemon", overloadRetryAfter });
        return;
    }
    for (auto const shard : verdict.skipped) {
        added.shards[shard].missing = model::missing_reason::overloaded;
        ++added.settledShards;
    }
    if (!added.isRepeatable)
        m_runningTickets[request.ticket] = id;
    m_timers.push({ added.deadline, id, 0, timer_kind::deadline });
    if (service->coverage == model::coverage_policy::partial && kind->isOverAllShards)
        m_timers.push({ std::min(added.deadline, now + service->softDeadline), id, 0, timer_kind::soft_deadline });
    scatter(m_queries.emplace(id, std::move(added)).first->second, now);
}

limits::admission_verdict query_engine::judge(query const& arrived, time_point now)
{
    if (!m_settings.policy.isAdmittingByShard)
        return {};
    limits::admission_question question;
    question.coverage = arrived.service->coverage;
    question.remaining = std::chrono::duration_cast<std::chrono::microseconds>(arrived.deadline - now);
    question.softRemaining = arrived.service->softDeadline;
    question.softSharePercent = arrived.service->softSharePercent;
    question.callTail = limitsOf(arrived.service->name).hedgeDelay.value();
    for (auto const& shard : arrived.shards) {
        auto const* queue = findQueue(arrived, shard.shard);
        auto const ahead = queue ? queue->countAhead(arrived.isUrgent, now) : 0;
        auto const perSecond = ahead > 0 ? m_leafs.callsPerSecond(arrived.service->name, arrived.pin, shard.shard, now) : 0;
        std::chrono::microseconds const wait { ahead > 0 ? static_cast<std::int64_t>(1e6 * static_cast<double>(ahead) / std::max(perSecond, lowestCallsPerSecond)) : 0 };
        question.waits.push_back({ shard.shard, wait });
    }
    return limits::judgeAdmission(question);
}

error query_engine::makeTooShort(limits::admission_verdict const& verdict)
{
    auto const drain = std::chrono::ceil<std::chrono::milliseconds>(verdict.drainTime) + std::chrono::milliseconds { 1 };
    // Callers that were refused together must not come back together.
    auto const jitter = std::chrono::milliseconds { static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(drain.count() + 1)) };
    return { error_kind::deadline_too_short, "the backlog of a shard would outlast the deadline", drain + jitter };
}

// Scattering.

void query_engine::scatter(query& scattered, time_point now)
{
    auto const id = scattered.id;
    for (std::uint32_t place = 0; place < scattered.shards.size(); ++place) {
        if (scattered.shards[place].isSettled())
            continue;
        requestShard(scattered, place, false, now);
        // A shard without a leaf may settle the whole query.
        if (!m_queries.contains(id))
            return;
    }
}

void query_engine::requestShard(query& asking, std::uint32_t place, bool isHedge, time_point now)
{
    // The deadline's timer may be late; it settles the query.
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
        // Budgets are fractions of first calls: a retry must not pay for the next one.
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
    // A shard that is given up may settle its query, which changes the queues. The check for room spares a walk through
    // the whole queue after each call.
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
    // The first may wait for another leaf than the one with room: it was refused there, or has another pin.
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
    // With few tokens left only the longest calls are hedged, in place of whichever comes first.
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
        // A review may pin queries anew and so add to any line; these entries go behind those that waited before.
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
    // A shard with calls waiting has no capacity to spare: an extra call would delay them all.
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
    // It runs to its end: a cancelled probe would tell nothing.
    shard.calls.back().isProbe = true;
}

// Gathering.

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
    // While a repartition goes on, the leaf may own other shards in the other epoch.
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
        // A reply for something else must never be merged; the leaf is not to be trusted with this shard now.
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
        // Its one sending is spent.
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
    // A call that never left costs no leaf anything, so that sending it elsewhere isn't a retry to be paid.
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
    // Only a snapshot that can't be had is a cause for another one, and only as long as a second sending does no harm.
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
    // The declaration of the arrival stays: a newer one may lack the request kind or name another partner.
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

// Settling.

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
        return errors::fail(error_kind::outcome_unknown, "the request was sent, but no reply came");
    auto const reason = asking.shards.front().missing.value_or(asking.shards.front().reasonSoFar);
    auto const text = isSingle ? "shard " + std::to_string(asking.shards.front().shard) : std::string { "no shard answered" };
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

void query_engine::answerImpatientCallers(query& asking, time_point now)
{
    std::erase_if(asking.callers, [&](waiting_caller const& caller) {
        if (caller.deadline > now)
            return false;
        ++m_counters.refusals;
        giveAnswer(caller.token, caller.requestId, errors::fail(error_kind::outcome_unknown, "the request with this ticket still runs"));
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

// Timers, relays and callers that leave.

void query_engine::dispatchAllWaiting(time_point now)
{
    // A leaf falls silent without an event: what waited for it is then for a slower one.
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
            answerImpatientCallers(*asking, now);
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
    // One that must not be repeated goes on: its outcome is kept for whoever asks with the ticket again.
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
