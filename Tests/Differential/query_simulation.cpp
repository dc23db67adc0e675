#include "Tests/Differential/query_simulation.h"

#include <algorithm>

namespace zinnialedge::tests {

using queries::leaf_outcome_kind;
using queries::leaf_refusal;
using std::chrono::milliseconds;

static constexpr std::uint64_t changes = 12;
static constexpr std::uint64_t askingsOfRun = 25;
static constexpr milliseconds activeTime { 300 };
static constexpr milliseconds ticketExpiry { 30'000 };
static constexpr double hedgeBurst = 20;

static queries::engine_settings makeSettings()
{
    queries::engine_settings settings;
    settings.daemon = "daemon-1";
    settings.incarnation = 7;
    settings.capacity = 12;
    settings.partnerShares = { { "suva", 50 }, { "amman", 50 } };
    return settings;
}

query_simulation::query_simulation(std::uint64_t seed)
    : m_random(seed)
    , m_engine(makeSettings(), kernel::makeSeededRandom(seed))
{
}

std::uint64_t query_simulation::draw(std::uint64_t below)
{
    return m_random() % below;
}

kernel::duration query_simulation::drawDelay(std::uint64_t belowMilliseconds)
{
    return std::chrono::microseconds { draw(belowMilliseconds * 1000) };
}

void query_simulation::at(kernel::duration delay, std::function<void()> what)
{
    m_agenda.emplace(m_now + delay, std::move(what));
}

void query_simulation::fail(std::string const& what)
{
    if (!m_fault)
        m_fault = what + " at " + std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(m_now.time_since_epoch()).count()) + " us";
}

std::optional<std::string> query_simulation::run()
{
    declare();
    for (auto const& [handle, leaf] : m_leafs)
        tellStatus(handle);
    for (std::uint64_t index = 0; index < changes; ++index)
        at(drawDelay(activeTime.count()), [this] { chance(30) ? redeclare() : changeLeaf(); });
    for (std::uint64_t index = 0; index < askingsOfRun; ++index)
        at(drawDelay(activeTime.count()), [this] { ask(); });
    while (!m_fault) {
        auto const timer = m_engine.nextTimer();
        if (timer && (m_agenda.empty() || *timer <= m_agenda.begin()->first)) {
            m_now = std::max(m_now, *timer);
            step(queries::timer_due {});
            continue;
        }
        if (m_agenda.empty())
            break;
        m_now = m_agenda.begin()->first;
        auto const what = std::move(m_agenda.begin()->second);
        m_agenda.erase(m_agenda.begin());
        what();
    }
    checkEnd();
    return m_fault;
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
    m_declared.name = "lunch-portal";
    m_declared.partner = chance(50) ? "suva" : "amman";
    m_declared.shardCount = static_cast<std::uint32_t>(1 + draw(4));
    m_declared.coverage = chance(50) ? model::coverage_policy::whole : model::coverage_policy::partial;
    m_declared.softSharePercent = static_cast<std::uint32_t>(1 + draw(100));
    m_declared.requests = { { "read", false, true, false }, { "confirm", false, false, false } };
    if (m_declared.epoch == 1 || chance(80))
        m_declared.requests.push_back({ "search", true, true, true });
    m_declared.targets.clear();
    auto const replicas = 1 + draw(3);
    for (std::uint32_t index = 0; index < m_declared.shardCount * replicas; ++index) {
        // A leaf of an earlier epoch may own another shard in the current epoch.
        auto const name = "t" + std::to_string(chance(70) ? index : index + 100 * m_declared.epoch);
        model::target_declaration target { name, { "127.0.0.1", 1 }, index % m_declared.shardCount };
        target.isDraining = chance(10);
        m_declared.targets.push_back(std::move(target));
    }
    m_shardsOfEpoch[m_declared.epoch] = m_declared.shardCount;
    m_isDeclared = true;
    step(queries::service_declared { std::make_shared<model::service_declaration const>(m_declared) });
}

void query_simulation::redeclare()
{
    if (m_isDeclared && chance(10)) {
        m_isDeclared = false;
        step(queries::service_removed { m_declared.name });
        return;
    }
    if (chance(60)) {
        ++m_declared.epoch;
        declare();
        for (auto& [handle, leaf] : m_leafs) {
            if (chance(80))
                leaf.epochs.push_back(m_declared.epoch);
            at(drawDelay(40), [this, handle = handle] { tellStatus(handle); });
        }
        return;
    }
    for (auto& target : m_declared.targets)
        target.isDraining = chance(30);
    m_declared.partner = chance(50) ? "suva" : "amman";
    m_isDeclared = true;
    step(queries::service_declared { std::make_shared<model::service_declaration const>(m_declared) });
}

void query_simulation::changeLeaf()
{
    auto const chosen = std::next(m_leafs.begin(), static_cast<std::ptrdiff_t>(draw(m_leafs.size())));
    auto& leaf = chosen->second;
    switch (draw(5)) {
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
        if (chance(60))
            at(drawDelay(20), [this, handle = handle] { tellStatus(handle); });
    }
}

void query_simulation::tellStatus(routing::leaf_handle handle)
{
    auto& leaf = m_leafs.at(handle);
    leaf.isTakingNewWork = !leaf.isDraining;
    step(queries::leaf_status_seen { handle, queries::leaf_status { leaf.epochs, leaf.versions, 0, leaf.isDraining } });
}

void query_simulation::check(queries::change_leaf_connections const& changed)
{
    auto& leaf = m_leafs[changed.change.handle];
    leaf.isGone = changed.change.connections == 0;
    if (leaf.epochs.back() != m_declared.epoch && m_isDeclared && !m_handles.contains(changed.name))
        leaf.epochs = { m_declared.epoch };
    m_handles[changed.name] = changed.change.handle;
}

// Queries

void query_simulation::ask()
{
    model::query_request request;
    request.service = "lunch-portal";
    request.key = "k" + std::to_string(draw(50));
    request.deadline = chance(30) ? milliseconds { 0 } : milliseconds { 5 + draw(100) };
    request.requestKind = std::array { "search", "search", "read", "confirm" }[draw(4)];
    if (request.requestKind == "confirm") {
        auto const prefix = chance(85) ? m_engine.issueTicketPrefix(m_now) : "daemon-" + std::to_string(1 + draw(2)) + "~5~999999";
        request.ticket = prefix + "~" + std::to_string(m_lastCaller);
    }
    submit(request);
}

void query_simulation::askAgain(model::query_request request, bool isOther)
{
    if (isOther)
        request.key += "-other";
    request.deadline = milliseconds { 5 + draw(100) };
    submit(request);
}

void query_simulation::submit(model::query_request const& asked)
{
    auto const caller = ++m_lastCaller;
    auto request = asked;
    request.id = "q" + std::to_string(caller);
    auto const deadline = request.deadline.count() > 0 ? request.deadline : m_declared.deadline;
    bool const isConfirm = request.requestKind == "confirm";
    m_askings[caller] = { request, m_now + deadline, !isConfirm, request.requestKind == "search" };
    if (isConfirm && caller < 4 * askingsOfRun) {
        bool const isOther = chance(20);
        if (chance(60))
            at(drawDelay(150), [this, request, isOther] { askAgain(request, isOther); });
        if (chance(20))
            at(ticketExpiry + drawDelay(100'000), [this, request] { askAgain(request, false); });
        // A request that needs no ticket but carries the ticket of a running request must not affect the running request.
        if (chance(20)) {
            auto read = request;
            read.requestKind = "read";
            at(drawDelay(50), [this, read] { submit(read); });
        }
    }
    step(queries::query_arrived { caller, request });
    if (chance(10)) {
        at(drawDelay(60), [this, caller] {
            if (m_askings.at(caller).isAnswered)
                return;
            m_askings.at(caller).hasLeft = true;
            step(queries::caller_left { caller });
        });
    }
}

void query_simulation::check(queries::relay_query const& relayed)
{
    m_askings.at(relayed.caller).isRelayed = true;
    if (chance(30))
        return;
    model::answer const answer { relayed.request.id, { 1, 1 }, { 1, 1, {} }, {}, false };
    at(drawDelay(150), [this, caller = relayed.caller, answer] { step(queries::relay_ended { caller, answer }); });
}

// Leaf calls

std::vector<model::row> query_simulation::rowsOf(std::uint32_t shard, model::snapshot reflects)
{
    return { { "s" + std::to_string(shard), "e" + std::to_string(reflects.epoch) + "v" + std::to_string(reflects.version) } };
}

void query_simulation::check(queries::send_leaf_call const& sent)
{
    auto const& leaf = m_leafs.at(sent.leaf);
    if (leaf.isGone || !leaf.isTakingNewWork)
        fail("call " + std::to_string(sent.call) + " was sent to a leaf that accepts no new work");
    if (sent.deadline <= m_now)
        fail("call " + std::to_string(sent.call) + " was sent after its deadline");
    for (auto const& [id, earlier] : m_calls) {
        bool const isSameQuery = earlier.sent.request->id == sent.request->id;
        if (isSameQuery && earlier.sent.pin == sent.pin && earlier.sent.shard == sent.shard && earlier.sent.leaf == sent.leaf)
            fail("one leaf was called twice for one shard of " + sent.request->id);
        bool const isSameTicket = !sent.isRepeatable && !earlier.sent.isRepeatable && earlier.sent.request->ticket == sent.request->ticket;
        if (isSameTicket && !earlier.isKnownUnrun)
            fail("ticket " + sent.request->ticket + " was sent twice");
    }
    m_calls[sent.call].sent = sent;
    auto const outcome = drawOutcome(sent);
    // A call whose reply is lost ends when the connection times out.
    auto const delay = chance(10) ? kernel::duration { sent.deadline - m_now + milliseconds { 1000 } } : drawDelay(chance(70) ? 10 : 150);
    at(delay, [this, call = sent.call, outcome] { deliver(call, outcome); });
    if (chance(10))
        at(delay + drawDelay(30), [this, call = sent.call, outcome] { deliver(call, outcome); });
}

queries::leaf_outcome query_simulation::drawOutcome(queries::send_leaf_call const& sent)
{
    queries::leaf_outcome outcome;
    outcome.shard = sent.shard;
    outcome.reflects = sent.pin;
    auto const kind = draw(100);
    if (kind < 10) {
        outcome.mayHaveBeenSent = chance(50);
    } else if (kind < 35) {
        outcome.kind = leaf_outcome_kind::refused;
        outcome.refusal = static_cast<leaf_refusal>(1 + draw(static_cast<std::uint64_t>(leaf_refusal::deadline)));
    } else {
        outcome.kind = leaf_outcome_kind::answered;
        if (kind < 40)
            ++outcome.shard;
        else if (kind < 45)
            ++outcome.reflects.version;
        outcome.rows = rowsOf(outcome.shard, outcome.reflects);
    }
    return outcome;
}

void query_simulation::deliver(queries::call_id call, queries::leaf_outcome const& drawn)
{
    auto& known = m_calls.at(call);
    auto outcome = drawn;
    auto& leaf = m_leafs.at(known.sent.leaf);
    if (outcome.kind != leaf_outcome_kind::failed && !known.hasEnded) {
        outcome.status = queries::leaf_status { leaf.epochs, leaf.versions, 0, leaf.isDraining };
        leaf.isTakingNewWork = !leaf.isDraining && outcome.refusal != leaf_refusal::draining;
    }
    if (!known.hasEnded) {
        known.hasEnded = true;
        known.isAnswerDelivered = outcome.kind == leaf_outcome_kind::answered && outcome.shard == known.sent.shard && outcome.reflects == known.sent.pin;
        // A cancelled call may have run partially.
        known.isKnownUnrun = outcome.kind == leaf_outcome_kind::refused ? outcome.refusal != leaf_refusal::cancelled : !outcome.mayHaveBeenSent;
    }
    step(queries::leaf_call_ended { call, outcome });
}

// Answers

bool query_simulation::isSameRun(leaf_call const& call, asking const& asked) const
{
    if (call.sent.isRepeatable != asked.isRepeatable)
        return false;
    if (asked.isRepeatable)
        return call.sent.request->id == asked.request.id;
    // A request with the same ticket but another key is a different request.
    return call.sent.request->ticket == asked.request.ticket && call.sent.request->key == asked.request.key;
}

void query_simulation::check(queries::answer_caller const& given)
{
    auto const found = m_askings.find(given.caller);
    if (found == m_askings.end() || found->second.isAnswered || found->second.hasLeft) {
        fail("caller " + std::to_string(given.caller) + " was answered twice or after its disconnection");
        return;
    }
    auto& asked = found->second;
    asked.isAnswered = true;
    if (m_now > asked.deadline)
        fail(asked.request.id + " was answered after its deadline");
    if (given.requestId != asked.request.id)
        fail(asked.request.id + " received the answer to request '" + given.requestId + "'");
    bool const isForeign = !asked.isRepeatable && !asked.request.ticket.starts_with("daemon-1~7~");
    if (isForeign || asked.isRelayed) {
        if (!given.result && errors::answerFor(given.result.error().kind).ran == errors::run_state::no)
            fail(asked.request.id + " was reported as not executed, but another process may have executed it");
        return;
    }
    if (given.result) {
        checkAnswer(asked, *given.result);
        checkNoneForgotten(asked, *given.result);
    }
    if (!given.result && errors::answerFor(given.result.error().kind).ran == errors::run_state::no)
        checkUnrun(asked, given.result.error());
}

void query_simulation::checkUnrun(asking const& asked, errors::error const& error)
{
    for (auto const& [id, call] : m_calls) {
        if (isSameRun(call, asked) && !call.isKnownUnrun)
            fail(asked.request.id + " was reported as not executed (" + error.message + "), but call " + std::to_string(id) + " may have been executed");
    }
}

void query_simulation::checkAnswer(asking const& asked, model::answer const& answer)
{
    if (answer.id != asked.request.id)
        fail(asked.request.id + " received the answer to " + answer.id);
    model::answer expected { answer.id, answer.reflects, {}, {}, answer.isRemembered };
    std::set<std::uint32_t> answered;
    std::set<std::uint32_t> asking;
    for (auto const& [id, call] : m_calls) {
        if (!isSameRun(call, asked) || call.sent.pin != answer.reflects)
            continue;
        asking.insert(call.sent.shard);
        if (call.isAnswerDelivered)
            answered.insert(call.sent.shard);
    }
    expected.covered.asked = asked.isOverAllShards ? m_shardsOfEpoch[answer.reflects.epoch] : static_cast<std::uint32_t>(asking.size());
    expected.covered.answered = static_cast<std::uint32_t>(answered.size());
    for (auto const shard : answered) {
        auto const rows = rowsOf(shard, answer.reflects);
        expected.rows.insert(expected.rows.end(), rows.begin(), rows.end());
    }
    std::sort(expected.rows.begin(), expected.rows.end());
    if (answer.rows != expected.rows)
        fail(asked.request.id + " was answered with other rows than the shards returned");
    if (answer.covered.asked != expected.covered.asked || answer.covered.answered != expected.covered.answered)
        fail(asked.request.id + " reports coverage " + std::to_string(answer.covered.answered) + "/" + std::to_string(answer.covered.asked) + ", but the merged replies cover " + std::to_string(expected.covered.answered) + "/" + std::to_string(expected.covered.asked) + " shards");
    std::set<std::uint32_t> missing;
    for (auto const& each : answer.covered.missing)
        missing.insert(each.shard);
    bool const isOverlapping = std::any_of(missing.begin(), missing.end(), [&](auto shard) { return answered.contains(shard); });
    if (isOverlapping || missing.size() != answer.covered.missing.size() || missing.size() + answered.size() != answer.covered.asked)
        fail(asked.request.id + " lists other missing shards than the shards that did not answer");
}

void query_simulation::checkNoneForgotten(asking const& asked, model::answer const& answer)
{
    // A timer step frees no leaf slots: a slot that is free after the step was free before.
    auto const* map = m_engine.leafs().findMap(asked.request.service, answer.reflects.epoch);
    if (!m_isTimerStep || !map || answer.isRemembered)
        return;
    for (auto const& missing : answer.covered.missing) {
        // Every other reason became final while no leaf could be called.
        if (missing.reason != model::missing_reason::deadline)
            continue;
        bool const isSent = std::any_of(m_calls.begin(), m_calls.end(), [&](auto const& entry) {
            auto const& call = entry.second;
            return isSameRun(call, asked) && call.sent.pin == answer.reflects && call.sent.shard == missing.shard;
        });
        // A slow leaf may have free slots and still be excluded from this call. The engine reviews waiting shards at
        // `waitingReviewInterval`, so the choice is made for a time one interval ago.
        auto const choice = m_engine.leafs().choose(asked.request.service, answer.reflects, missing.shard, {}, m_now - queries::waitingReviewInterval, kernel::makeSeededRandom(1));
        if (!isSent && choice.chosen)
            fail(asked.request.id + " never queried shard " + std::to_string(missing.shard) + ", though one of its leafs had a free slot");
    }
}

void query_simulation::checkEnd()
{
    for (auto const& [caller, asked] : m_askings) {
        if (!asked.isAnswered && !asked.hasLeft)
            fail(asked.request.id + " was never answered");
    }
    if (m_engine.queriesInFlight() != 0 || m_engine.admission().inFlight() != 0)
        fail("queries remain in flight at the end of the schedule");
    if (m_engine.relaysInFlight() != 0)
        fail("relays remain in flight at the end of the schedule");
    if (m_engine.waitingShards() != 0)
        fail("shards still wait for a free leaf slot at the end of the schedule");
    for (std::size_t handle = 0; handle < m_engine.leafs().size(); ++handle) {
        if (m_engine.leafs().at(static_cast<routing::leaf_handle>(handle)).inFlight() != 0)
            fail("calls to a leaf remain in flight at the end of the schedule");
    }
    auto const& counters = m_engine.counters();
    auto const primaries = static_cast<double>(counters.leafCalls - counters.hedges);
    if (static_cast<double>(counters.hedges) > hedgeBurst + primaries * m_declared.hedgePercent / 100)
        fail("the number of hedged calls exceeds the hedge budget");
}

}
