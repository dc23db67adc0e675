// Arrival of queries: validation, tickets and admission.

#include "Libraries/zinnialedge/queries/query_engine.h"

#include "Kernel/verify.h"
#include <algorithm>

namespace zinnialedge::queries {

using errors::error;
using errors::error_kind;
using kernel::time_point;

static constexpr std::chrono::milliseconds maximumDeadline { 60'000 };
static constexpr double minimumCallsPerSecond = 1;
static constexpr std::chrono::milliseconds overloadRetryAfter { 50 };

errors::error_or<void> query_engine::validateRequest(model::query_request const& request, model::service_declaration const* service) const
{
    if (!service)
        return errors::makeError(error_kind::unknown_service, "no service " + request.service);
    auto const* kind = service->findRequestKind(request.requestKind);
    if (!kind)
        return errors::makeError(error_kind::unknown_request_kind, request.service + " has no request kind " + request.requestKind);
    if (!kind->isAllShardsQuery && request.key.empty())
        return errors::makeError(error_kind::missing_key, request.requestKind + " reads a single shard and needs a key");
    if (request.deadline < std::chrono::milliseconds::zero() || request.deadline > maximumDeadline)
        return errors::makeError(error_kind::deadline_out_of_range, "deadline_ms must be between 1 and " + std::to_string(maximumDeadline.count()));
    if (!kind->isRepeatable && request.ticket.empty())
        return errors::makeError(error_kind::ticket_required, request.requestKind + " is not repeatable and needs a ticket; get a ticket prefix from /directory");
    return {};
}

void query_engine::rejectRequest(caller_token caller, model::query_request const& request, error reason)
{
    ++m_counters.refusals;
    m_actions.emplace_back(answer_caller { caller, request.id, tl::unexpected(std::move(reason)) });
}

void query_engine::answerCaller(caller_token caller, std::string const& requestId, model::answer_or_error result)
{
    if (result)
        result->id = requestId;
    m_queryByCaller.erase(caller);
    m_actions.emplace_back(answer_caller { caller, requestId, std::move(result) });
}

time_point query_engine::computeDeadline(model::query_request const& request, time_point now) const
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
    auto const* kind = service ? service->findRequestKind(request.requestKind) : nullptr;
    // The ticket is checked first: a rejection for a missing declaration would claim that the request did not run, although
    // it may have run with this ticket before.
    bool const mayNeedTicket = !kind || !kind->isRepeatable;
    if (mayNeedTicket && answerByTicket(arrived, now))
        return;
    if (auto const checked = validateRequest(request, service.get()); !checked) {
        rejectRequest(arrived.caller, request, checked.error());
        return;
    }
    if (!kind->isRepeatable && !tryClaimTicket(arrived, now))
        return;
    admitQuery(arrived, service, now);
}

bool query_engine::answerByTicket(query_arrived const& arrived, time_point now)
{
    auto const& request = arrived.request;
    auto const parsed = parseTicket(request.ticket);
    if (!parsed)
        return false;
    if (!m_tickets.isIssuedByThisProcess(*parsed)) {
        // The outcome of a ticket that an earlier process of this daemon issued is lost. A relayed request is never relayed again.
        if (request.isRelayed || parsed->daemon == m_settings.daemon)
            rejectRequest(arrived.caller, request, { error_kind::outcome_unknown, "the daemon process that issued the ticket no longer exists", {} });
        else
            relayToIssuer(arrived, parsed->daemon, now);
        return true;
    }
    switch (m_tickets.lookUp(request, *parsed, now)) {
    case ticket_state::unused:
        return false;
    case ticket_state::running:
        attachCaller(*findQuery(m_queryByRunningTicket.at(request.ticket)), arrived, now);
        return true;
    case ticket_state::settled: {
        auto result = m_tickets.outcomeOf(request.ticket);
        if (result)
            result->isRemembered = true;
        answerCaller(arrived.caller, request.id, std::move(result));
        return true;
    }
    case ticket_state::request_mismatch:
        rejectRequest(arrived.caller, request, { error_kind::malformed_request, "ticket: already used for a request with different contents; use a new suffix for each request", {} });
        return true;
    case ticket_state::evicted:
        rejectRequest(arrived.caller, request, { error_kind::outcome_unknown, "the ticket has expired and its outcome is no longer retained; the request may have run", {} });
        return true;
    }
    VERIFY(false);
}

bool query_engine::tryClaimTicket(query_arrived const& arrived, time_point now)
{
    auto const& request = arrived.request;
    auto const parsed = parseTicket(request.ticket);
    if (!parsed) {
        rejectRequest(arrived.caller, request, { error_kind::malformed_request, "ticket: expected a prefix from /directory, followed by '~' and a suffix", {} });
        return false;
    }
    switch (m_tickets.claim(request, *parsed, now)) {
    case ticket_claim::granted:
        if (!m_newTicketError)
            return true;
        m_tickets.release(request.ticket);
        rejectRequest(arrived.caller, request, *m_newTicketError);
        return false;
    case ticket_claim::expired:
        rejectRequest(arrived.caller, request, { error_kind::ticket_expired, "the ticket expired before the request ran", std::chrono::milliseconds { 0 } });
        return false;
    case ticket_claim::table_full:
        rejectRequest(arrived.caller, request, { error_kind::ticket_memory_full, "the ticket table is full: too many unexpired tickets", noLeafRetryAfter });
        return false;
    }
    VERIFY(false);
}

void query_engine::relayToIssuer(query_arrived const& arrived, std::string const& daemon, time_point now)
{
    ++m_counters.relays;
    auto const& request = arrived.request;
    // The other daemon may be unresponsive, so this daemon enforces the caller's deadline as well.
    m_timers.push({ computeDeadline(request, now), 0, 0, timer_kind::relay_deadline, arrived.caller });
    m_relayedRequestIds.emplace(arrived.caller, request.id);
    m_actions.emplace_back(relay_query { arrived.caller, daemon, request });
}

void query_engine::failRelayAtDeadline(caller_token caller)
{
    auto const found = m_relayedRequestIds.find(caller);
    if (found == m_relayedRequestIds.end())
        return;
    ++m_counters.unansweredRelays;
    auto const requestId = std::move(found->second);
    m_relayedRequestIds.erase(found);
    m_actions.emplace_back(abandon_relay { caller });
    answerCaller(caller, requestId, errors::makeError(error_kind::outcome_unknown, "the daemon that issued the ticket did not answer before the deadline"));
}

void query_engine::attachCaller(query& running, query_arrived const& arrived, time_point now)
{
    auto const deadline = computeDeadline(arrived.request, now);
    running.callers.push_back({ arrived.caller, arrived.request.id, deadline });
    m_queryByCaller.emplace(arrived.caller, running.id);
    if (deadline < running.deadline)
        m_timers.push({ deadline, running.id, 0, timer_kind::caller_deadline });
}

std::optional<model::snapshot> query_engine::choosePin(model::query_request const& request, model::service_declaration const& service)
{
    if (service.findRequestKind(request.requestKind)->isAllShardsQuery)
        return m_leafs.choosePin(service.name);
    return m_leafs.choosePinForShardOfKey(service.name, request.key);
}

std::vector<std::uint32_t> query_engine::listShards(model::query_request const& request, model::service_declaration const& service, model::snapshot pin) const
{
    auto const* map = m_leafs.findMap(service.name, pin.epoch);
    VERIFY(map);
    auto const shardCount = static_cast<std::uint32_t>(map->leafsByShard.size());
    if (!service.findRequestKind(request.requestKind)->isAllShardsQuery)
        return { model::shardOfKey(request.key, shardCount) };
    std::vector<std::uint32_t> shards(shardCount);
    for (std::uint32_t shard = 0; shard < shardCount; ++shard)
        shards[shard] = shard;
    return shards;
}

void query_engine::admitQuery(query_arrived const& arrived, std::shared_ptr<model::service_declaration const> const& service, time_point now)
{
    auto const& request = arrived.request;
    auto const rejectUnexecuted = [&](error reason) {
        // A repeatable request needs no ticket; a ticket that it carries anyway may belong to another request that is running.
        if (!service->findRequestKind(request.requestKind)->isRepeatable)
            m_tickets.release(request.ticket);
        rejectRequest(arrived.caller, request, std::move(reason));
    };
    auto const pin = choosePin(request, *service);
    if (!pin) {
        rejectUnexecuted({ error_kind::no_live_target, "no live leaf of " + service->name + " serves any version", noLeafRetryAfter });
        return;
    }
    auto const shards = listShards(request, *service, *pin);
    if (m_callsInFlight.size() + 2 * shards.size() > m_settings.leafCallCapacity) {
        rejectUnexecuted({ error_kind::overloaded, "too many leaf calls are in flight on this daemon", overloadRetryAfter });
        return;
    }
    auto const* kind = service->findRequestKind(request.requestKind);
    auto const id = ++m_lastQueryId;
    query newQuery;
    newQuery.id = id;
    newQuery.request = std::make_shared<model::query_request const>(request);
    newQuery.evidence = std::make_shared<quarantine::request_evidence>([made = newQuery.request] { return quarantine::request_digests { quarantine::computeDigest({ made->service, made->requestKind, made->key, made->body }) }; });
    newQuery.service = service;
    newQuery.isUrgent = kind->isUrgent;
    newQuery.isRepeatable = kind->isRepeatable;
    newQuery.pin = *pin;
    newQuery.arrivedAt = now;
    newQuery.deadline = computeDeadline(request, now);
    newQuery.callers = { { arrived.caller, request.id, newQuery.deadline } };
    for (auto const shard : shards)
        newQuery.shards.emplace_back().shard = shard;
    m_quarantine.removeExpired(now);
    if (judge(newQuery, now) == quarantine::verdict::quarantined) {
        ++m_counters.rejectionsForQuarantine;
        rejectUnexecuted({ error_kind::request_quarantined, "leafs were lost while they ran this request", std::nullopt });
        return;
    }
    auto const verdict = evaluateAdmission(newQuery, now);
    if (!verdict.isAdmitted) {
        rejectUnexecuted(makeDeadlineTooShortError(verdict));
        return;
    }
    if (!m_admission.tryAdmit(service->partner)) {
        rejectUnexecuted({ error_kind::over_share, service->partner + " has no query capacity left on this daemon", overloadRetryAfter });
        return;
    }
    m_queryByCaller.emplace(arrived.caller, id);
    for (auto const shard : verdict.skipped) {
        newQuery.shards[shard].missingReason = model::missing_reason::overloaded;
        ++newQuery.settledShardCount;
    }
    if (!newQuery.isRepeatable)
        m_queryByRunningTicket[request.ticket] = id;
    m_timers.push({ newQuery.deadline, id, 0, timer_kind::deadline });
    if (service->coverage == model::coverage_policy::partial && kind->isAllShardsQuery)
        m_timers.push({ std::min(newQuery.deadline, now + service->softDeadline), id, 0, timer_kind::soft_deadline });
    scatter(m_queries.emplace(id, std::move(newQuery)).first->second, now);
}

limits::admission_decision query_engine::evaluateAdmission(query const& arrived, time_point now)
{
    if (!m_settings.policy.isShardAdmissionEnabled)
        return {};
    limits::admission_input admissionQuestion;
    admissionQuestion.coverage = arrived.service->coverage;
    admissionQuestion.timeToDeadline = std::chrono::duration_cast<std::chrono::microseconds>(arrived.deadline - now);
    admissionQuestion.timeToSoftDeadline = arrived.service->softDeadline;
    admissionQuestion.minimumCoveragePercent = arrived.service->minimumCoveragePercent;
    admissionQuestion.callTail = callBudgetsOf(arrived.service->name).hedgeDelay.value();
    for (auto const& shard : arrived.shards) {
        auto const* queue = findQueue(arrived, shard.shard);
        auto const callsAhead = queue ? queue->countCallsAhead(arrived.isUrgent, now) : 0;
        auto const callsPerSecond = callsAhead > 0 ? m_leafs.maximumCallsPerSecond(arrived.service->name, arrived.pin, shard.shard, now) : 0;
        std::chrono::microseconds const queueingDelay { callsAhead > 0 ? static_cast<std::int64_t>(1e6 * static_cast<double>(callsAhead) / std::max(callsPerSecond, minimumCallsPerSecond)) : 0 };
        admissionQuestion.queueingDelays.push_back({ shard.shard, queueingDelay });
    }
    return limits::decideAdmission(admissionQuestion);
}

error query_engine::makeDeadlineTooShortError(limits::admission_decision const& verdict)
{
    auto const drainTime = std::chrono::ceil<std::chrono::milliseconds>(verdict.drainTime) + std::chrono::milliseconds { 1 };
    // Jitter, so that callers that were rejected together do not retry together.
    auto const jitter = std::chrono::milliseconds { static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(drainTime.count() + 1)) };
    return { error_kind::deadline_too_short, "the queueing delay of at least one shard exceeds the deadline", drainTime + jitter };
}

}
