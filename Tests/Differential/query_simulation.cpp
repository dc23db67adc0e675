#include "Tests/Differential/query_simulation.h"

#include <algorithm>

namespace zinnialedge::tests {

using queries::leaf_outcome_kind;
using queries::leaf_refusal;
using std::chrono::milliseconds;

static constexpr std::uint64_t topologyChangeCount = 12;
static constexpr std::uint64_t queryCount = 25;
static constexpr milliseconds schedulePeriod { 300 };
static constexpr milliseconds ticketExpiry { 30'000 };
static constexpr double hedgeBurst = 20;

static queries::engine_settings makeSettings()
{
    queries::engine_settings settings;
    settings.daemon = "daemon-1";
    settings.incarnation = 7;
    settings.queryCapacity = 12;
    settings.sharePercentByPartner = { { "suva", 50 }, { "amman", 50 } };
    return settings;
}

query_simulation::query_simulation(std::uint64_t seed)
    : m_random(seed)
    , m_engine(makeSettings(), kernel::makeSeededRandom(seed))
{
}

std::uint64_t query_simulation::drawNumber(std::uint64_t below)
{
    return m_random() % below;
}

kernel::duration query_simulation::drawDelay(std::uint64_t belowMilliseconds)
{
    return std::chrono::microseconds { drawNumber(belowMilliseconds * 1000) };
}

void query_simulation::schedule(kernel::duration delay, std::function<void()> work)
{
    m_events.emplace(m_now + delay, std::move(work));
}

void query_simulation::recordViolation(std::string const& message)
{
    if (!m_violation)
        m_violation = message + " at " + std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(m_now.time_since_epoch()).count()) + " us";
}

std::optional<std::string> query_simulation::run()
{
    declare();
    for (auto const& [handle, leaf] : m_leafs)
        deliverStatus(handle);
    for (std::uint64_t index = 0; index < topologyChangeCount; ++index)
        schedule(drawDelay(schedulePeriod.count()), [this] { drawBool(30) ? redeclare() : changeLeaf(); });
    for (std::uint64_t index = 0; index < queryCount; ++index)
        schedule(drawDelay(schedulePeriod.count()), [this] { submitRandomQuery(); });
    while (!m_violation) {
        auto const timer = m_engine.nextTimerTime();
        if (timer && (m_events.empty() || *timer <= m_events.begin()->first)) {
            m_now = std::max(m_now, *timer);
            step(queries::timer_due {});
            continue;
        }
        if (m_events.empty())
            break;
        m_now = m_events.begin()->first;
        auto const work = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        work();
    }
    checkFinalState();
    return m_violation;
}

void query_simulation::step(queries::event const& event)
{
    m_isTimerStep = std::holds_alternative<queries::timer_due>(event);
    for (auto const& action : m_engine.step(event, m_now))
        std::visit([this](auto const& each) { check(each); }, action);
}

// Service declarations and leafs

void query_simulation::declare()
{
    m_declaration.name = "lunch-portal";
    m_declaration.partner = drawBool(50) ? "suva" : "amman";
    m_declaration.shardCount = static_cast<std::uint32_t>(1 + drawNumber(4));
    m_declaration.coverage = drawBool(50) ? model::coverage_policy::whole : model::coverage_policy::partial;
    m_declaration.minimumCoveragePercent = static_cast<std::uint32_t>(1 + drawNumber(100));
    m_declaration.requests = { { "read", false, true, false }, { "confirm", false, false, false } };
    if (m_declaration.epoch == 1 || drawBool(80))
        m_declaration.requests.push_back({ "search", true, true, true });
    m_declaration.targets.clear();
    auto const replicas = 1 + drawNumber(3);
    for (std::uint32_t index = 0; index < m_declaration.shardCount * replicas; ++index) {
        // A leaf of an earlier epoch may own another shard in the current epoch.
        auto const name = "t" + std::to_string(drawBool(70) ? index : index + 100 * m_declaration.epoch);
        model::target_declaration target { name, { "127.0.0.1", 1 }, index % m_declaration.shardCount };
        target.isDraining = drawBool(10);
        m_declaration.targets.push_back(std::move(target));
    }
    m_shardCountByEpoch[m_declaration.epoch] = m_declaration.shardCount;
    m_isDeclared = true;
    step(queries::service_declared { std::make_shared<model::service_declaration const>(m_declaration) });
}

void query_simulation::redeclare()
{
    if (m_isDeclared && drawBool(10)) {
        m_isDeclared = false;
        step(queries::service_removed { m_declaration.name });
        return;
    }
    if (drawBool(60)) {
        ++m_declaration.epoch;
        declare();
        for (auto& [handle, leaf] : m_leafs) {
            if (drawBool(80))
                leaf.epochs.push_back(m_declaration.epoch);
            schedule(drawDelay(40), [this, handle = handle] { deliverStatus(handle); });
        }
        return;
    }
    for (auto& target : m_declaration.targets)
        target.isDraining = drawBool(30);
    m_declaration.partner = drawBool(50) ? "suva" : "amman";
    m_isDeclared = true;
    step(queries::service_declared { std::make_shared<model::service_declaration const>(m_declaration) });
}

void query_simulation::changeLeaf()
{
    auto const chosen = std::next(m_leafs.begin(), static_cast<std::ptrdiff_t>(drawNumber(m_leafs.size())));
    auto& leaf = chosen->second;
    switch (drawNumber(5)) {
    case 0:
        leaf.versions.push_back(leaf.versions.back() + 1);
        break;
    case 1:
        if (leaf.versions.size() > 1)
            leaf.versions.erase(leaf.versions.begin());
        break;
    case 2:
        for (auto& [handle, each] : m_leafs)
            each.versions = { each.versions.back() + 1 };
        break;
    case 3:
        leaf.isDraining = !leaf.isDraining;
        break;
    default:
        if (leaf.epochs.size() > 1)
            leaf.epochs.erase(leaf.epochs.begin());
    }
    for (auto const& [handle, each] : m_leafs) {
        if (drawBool(60))
            schedule(drawDelay(20), [this, handle = handle] { deliverStatus(handle); });
    }
}

void query_simulation::deliverStatus(routing::leaf_handle handle)
{
    auto& leaf = m_leafs.at(handle);
    leaf.isAcceptingNewWork = !leaf.isDraining;
    step(queries::leaf_status_received { handle, queries::leaf_status { leaf.epochs, leaf.versions, 0, leaf.isDraining } });
}

void query_simulation::check(queries::change_leaf_connections const& action)
{
    auto& leaf = m_leafs[action.change.handle];
    leaf.isRemoved = action.change.connections == 0;
    if (leaf.epochs.back() != m_declaration.epoch && m_isDeclared && !m_handleByName.contains(action.name))
        leaf.epochs = { m_declaration.epoch };
    m_handleByName[action.name] = action.change.handle;
}

// Queries

void query_simulation::submitRandomQuery()
{
    model::query_request request;
    request.service = "lunch-portal";
    request.key = "k" + std::to_string(drawNumber(50));
    request.deadline = drawBool(30) ? milliseconds { 0 } : milliseconds { 5 + drawNumber(100) };
    request.requestKind = std::array { "search", "search", "read", "confirm" }[drawNumber(4)];
    if (request.requestKind == "confirm") {
        auto const prefix = drawBool(85) ? m_engine.issueTicketPrefix(m_now) : "daemon-" + std::to_string(1 + drawNumber(2)) + "~5~999999";
        request.ticket = prefix + "~" + std::to_string(m_lastCaller);
    }
    submit(request);
}

void query_simulation::resubmit(model::query_request request, bool hasOtherKey)
{
    if (hasOtherKey)
        request.key += "-other";
    request.deadline = milliseconds { 5 + drawNumber(100) };
    submit(request);
}

void query_simulation::submit(model::query_request const& original)
{
    auto const caller = ++m_lastCaller;
    auto request = original;
    request.id = "q" + std::to_string(caller);
    auto const deadline = request.deadline.count() > 0 ? request.deadline : m_declaration.deadline;
    bool const isConfirm = request.requestKind == "confirm";
    m_callerQueries[caller] = { request, m_now + deadline, !isConfirm, request.requestKind == "search" };
    if (isConfirm && caller < 4 * queryCount) {
        bool const hasOtherKey = drawBool(20);
        if (drawBool(60))
            schedule(drawDelay(150), [this, request, hasOtherKey] { resubmit(request, hasOtherKey); });
        if (drawBool(20))
            schedule(ticketExpiry + drawDelay(100'000), [this, request] { resubmit(request, false); });
        // A request that needs no ticket but carries the ticket of a running request must not affect the running request.
        if (drawBool(20)) {
            auto read = request;
            read.requestKind = "read";
            schedule(drawDelay(50), [this, read] { submit(read); });
        }
    }
    step(queries::query_arrived { caller, request });
    if (drawBool(10)) {
        schedule(drawDelay(60), [this, caller] {
            if (m_callerQueries.at(caller).isAnswered)
                return;
            m_callerQueries.at(caller).hasDisconnected = true;
            step(queries::caller_left { caller });
        });
    }
}

void query_simulation::check(queries::relay_query const& relayed)
{
    m_callerQueries.at(relayed.caller).isRelayed = true;
    if (drawBool(30))
        return;
    model::answer const answer { relayed.request.id, { 1, 1 }, { 1, 1, {} }, {}, false };
    schedule(drawDelay(150), [this, caller = relayed.caller, answer] { step(queries::relay_ended { caller, answer }); });
}

// Leaf calls

std::vector<model::row> query_simulation::makeRows(std::uint32_t shard, model::snapshot reflects)
{
    return { { "s" + std::to_string(shard), "e" + std::to_string(reflects.epoch) + "v" + std::to_string(reflects.version) } };
}

void query_simulation::check(queries::send_leaf_call const& sent)
{
    auto const& leaf = m_leafs.at(sent.leaf);
    if (leaf.isRemoved || !leaf.isAcceptingNewWork)
        recordViolation("call " + std::to_string(sent.call) + " was sent to a leaf that accepts no new work");
    if (sent.deadline <= m_now)
        recordViolation("call " + std::to_string(sent.call) + " was sent after its deadline");
    for (auto const& [id, earlier] : m_calls) {
        bool const isSameQuery = earlier.sent.request->id == sent.request->id;
        if (isSameQuery && earlier.sent.pin == sent.pin && earlier.sent.shard == sent.shard && earlier.sent.leaf == sent.leaf)
            recordViolation("one leaf was called twice for one shard of " + sent.request->id);
        bool const isSameTicket = !sent.isRepeatable && !earlier.sent.isRepeatable && earlier.sent.request->ticket == sent.request->ticket;
        if (isSameTicket && !earlier.isKnownNotExecuted)
            recordViolation("ticket " + sent.request->ticket + " was sent twice");
    }
    m_calls[sent.call].sent = sent;
    auto const outcome = drawOutcome(sent);
    // A call whose reply is lost ends when the connection times out.
    auto const delay = drawBool(10) ? kernel::duration { sent.deadline - m_now + milliseconds { 1000 } } : drawDelay(drawBool(70) ? 10 : 150);
    schedule(delay, [this, call = sent.call, outcome] { deliverOutcome(call, outcome); });
    if (drawBool(10))
        schedule(delay + drawDelay(30), [this, call = sent.call, outcome] { deliverOutcome(call, outcome); });
}

queries::leaf_outcome query_simulation::drawOutcome(queries::send_leaf_call const& sent)
{
    queries::leaf_outcome outcome;
    outcome.shard = sent.shard;
    outcome.reflects = sent.pin;
    auto const percentile = drawNumber(100);
    if (percentile < 10) {
        outcome.mayHaveBeenSent = drawBool(50);
    } else if (percentile < 35) {
        outcome.kind = leaf_outcome_kind::refused;
        outcome.refusal = static_cast<leaf_refusal>(1 + drawNumber(static_cast<std::uint64_t>(leaf_refusal::deadline)));
    } else {
        outcome.kind = leaf_outcome_kind::answered;
        if (percentile < 40)
            ++outcome.shard;
        else if (percentile < 45)
            ++outcome.reflects.version;
        outcome.rows = makeRows(outcome.shard, outcome.reflects);
    }
    return outcome;
}

void query_simulation::deliverOutcome(queries::call_id call, queries::leaf_outcome const& drawn)
{
    auto& leafCall = m_calls.at(call);
    auto outcome = drawn;
    auto& leaf = m_leafs.at(leafCall.sent.leaf);
    if (outcome.kind != leaf_outcome_kind::failed && !leafCall.hasEnded) {
        outcome.status = queries::leaf_status { leaf.epochs, leaf.versions, 0, leaf.isDraining };
        leaf.isAcceptingNewWork = !leaf.isDraining && outcome.refusal != leaf_refusal::draining;
    }
    if (!leafCall.hasEnded) {
        leafCall.hasEnded = true;
        leafCall.hasUsableReply = outcome.kind == leaf_outcome_kind::answered && outcome.shard == leafCall.sent.shard && outcome.reflects == leafCall.sent.pin;
        // A cancelled call may have run partially.
        leafCall.isKnownNotExecuted = outcome.kind == leaf_outcome_kind::refused ? outcome.refusal != leaf_refusal::cancelled : !outcome.mayHaveBeenSent;
    }
    step(queries::leaf_call_ended { call, outcome });
}

// Answers

bool query_simulation::isCallOf(leaf_call const& call, caller_query const& query) const
{
    if (call.sent.isRepeatable != query.isRepeatable)
        return false;
    if (query.isRepeatable)
        return call.sent.request->id == query.request.id;
    // A request with the same ticket but another key is a different request.
    return call.sent.request->ticket == query.request.ticket && call.sent.request->key == query.request.key;
}

void query_simulation::check(queries::answer_caller const& action)
{
    auto const found = m_callerQueries.find(action.caller);
    if (found == m_callerQueries.end() || found->second.isAnswered || found->second.hasDisconnected) {
        recordViolation("caller " + std::to_string(action.caller) + " was answered twice or after its disconnection");
        return;
    }
    auto& query = found->second;
    query.isAnswered = true;
    if (m_now > query.deadline)
        recordViolation(query.request.id + " was answered after its deadline");
    if (action.requestId != query.request.id)
        recordViolation(query.request.id + " received the answer to request '" + action.requestId + "'");
    bool const hasForeignTicket = !query.isRepeatable && !query.request.ticket.starts_with("daemon-1~7~");
    if (hasForeignTicket || query.isRelayed) {
        if (!action.result && errors::propertiesOf(action.result.error().kind).executionState == errors::execution_state::no)
            recordViolation(query.request.id + " was reported as not executed, but another process may have executed it");
        return;
    }
    if (action.result) {
        checkAnswer(query, *action.result);
        checkNoShardSkipped(query, *action.result);
    }
    if (!action.result && errors::propertiesOf(action.result.error().kind).executionState == errors::execution_state::no)
        checkNotExecuted(query, action.result.error());
}

void query_simulation::checkNotExecuted(caller_query const& query, errors::error const& error)
{
    for (auto const& [id, call] : m_calls) {
        if (isCallOf(call, query) && !call.isKnownNotExecuted)
            recordViolation(query.request.id + " was reported as not executed (" + error.message + "), but call " + std::to_string(id) + " may have been executed");
    }
}

void query_simulation::checkAnswer(caller_query const& query, model::answer const& answer)
{
    if (answer.id != query.request.id)
        recordViolation(query.request.id + " received the answer to " + answer.id);
    model::answer expected { answer.id, answer.reflects, {}, {}, answer.isRemembered };
    std::set<std::uint32_t> answeredShards;
    std::set<std::uint32_t> queriedShards;
    for (auto const& [id, call] : m_calls) {
        if (!isCallOf(call, query) || call.sent.pin != answer.reflects)
            continue;
        queriedShards.insert(call.sent.shard);
        if (call.hasUsableReply)
            answeredShards.insert(call.sent.shard);
    }
    expected.covered.asked = query.isAllShardsQuery ? m_shardCountByEpoch[answer.reflects.epoch] : static_cast<std::uint32_t>(queriedShards.size());
    expected.covered.answered = static_cast<std::uint32_t>(answeredShards.size());
    for (auto const shard : answeredShards) {
        auto const rows = makeRows(shard, answer.reflects);
        expected.rows.insert(expected.rows.end(), rows.begin(), rows.end());
    }
    std::sort(expected.rows.begin(), expected.rows.end());
    if (answer.rows != expected.rows)
        recordViolation(query.request.id + " was answered with other rows than the shards returned");
    if (answer.covered.asked != expected.covered.asked || answer.covered.answered != expected.covered.answered)
        recordViolation(query.request.id + " reports coverage " + std::to_string(answer.covered.answered) + "/" + std::to_string(answer.covered.asked) + ", but the merged replies cover " + std::to_string(expected.covered.answered) + "/" + std::to_string(expected.covered.asked) + " shards");
    std::set<std::uint32_t> missing;
    for (auto const& each : answer.covered.missing)
        missing.insert(each.shard);
    bool const isOverlapping = std::any_of(missing.begin(), missing.end(), [&](auto shard) { return answeredShards.contains(shard); });
    if (isOverlapping || missing.size() != answer.covered.missing.size() || missing.size() + answeredShards.size() != answer.covered.asked)
        recordViolation(query.request.id + " lists other missing shards than the shards that did not answer");
}

void query_simulation::checkNoShardSkipped(caller_query const& query, model::answer const& answer)
{
    // A timer step frees no leaf slots: a slot that is free after the step was free before.
    auto const* map = m_engine.leafs().findMap(query.request.service, answer.reflects.epoch);
    if (!m_isTimerStep || !map || answer.isRemembered)
        return;
    for (auto const& missing : answer.covered.missing) {
        // Every other reason became final while no leaf could be called.
        if (missing.reason != model::missing_reason::deadline)
            continue;
        bool const isSent = std::any_of(m_calls.begin(), m_calls.end(), [&](auto const& entry) {
            auto const& call = entry.second;
            return isCallOf(call, query) && call.sent.pin == answer.reflects && call.sent.shard == missing.shard;
        });
        // A slow leaf may have free slots and still be excluded from this call. The engine reviews waiting shards at
        // `queueReviewInterval`, so the choice is made for a time one interval ago.
        auto const choice = m_engine.leafs().chooseLeaf(query.request.service, answer.reflects, missing.shard, {}, m_now - queries::queueReviewInterval, kernel::makeSeededRandom(1));
        if (!isSent && choice.chosenLeaf)
            recordViolation(query.request.id + " never queried shard " + std::to_string(missing.shard) + ", though one of its leafs had a free slot");
    }
}

void query_simulation::checkFinalState()
{
    for (auto const& [caller, query] : m_callerQueries) {
        if (!query.isAnswered && !query.hasDisconnected)
            recordViolation(query.request.id + " was never answered");
    }
    if (m_engine.queriesInFlight() != 0 || m_engine.admission().inFlight() != 0)
        recordViolation("queries remain in flight at the end of the schedule");
    if (m_engine.relaysInFlight() != 0)
        recordViolation("relays remain in flight at the end of the schedule");
    if (m_engine.queuedShardCount() != 0)
        recordViolation("shards still wait for a free leaf slot at the end of the schedule");
    for (std::size_t handle = 0; handle < m_engine.leafs().size(); ++handle) {
        if (m_engine.leafs().at(static_cast<routing::leaf_handle>(handle)).inFlight() != 0)
            recordViolation("calls to a leaf remain in flight at the end of the schedule");
    }
    auto const& counters = m_engine.counters();
    auto const primaries = static_cast<double>(counters.leafCalls - counters.hedges);
    if (static_cast<double>(counters.hedges) > hedgeBurst + primaries * m_declaration.maximumHedgePercent / 100)
        recordViolation("the number of hedged calls exceeds the hedge budget");
}

}
