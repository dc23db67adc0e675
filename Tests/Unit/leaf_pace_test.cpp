// Load pattern: a leaf that has just started is flooded by all daemons at once, or left idle because the others look faster.

#include "Libraries/zinnialedge/pacing/leaf_pace.h"
#include "Tests/Support/cold_fleet.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace zinnialedge;
using namespace std::chrono_literals;
using pacing::call_outcome;
using pacing::leaf_pace;
using pacing::pace_change;
using pacing::pace_scope;
using tests::cold_fleet;
using tests::cold_fleet_daemon;

namespace {

constexpr std::size_t usualLimit = 20;

/// How a leaf with four slots behaves after its start.
struct start_behaviour {
    std::chrono::milliseconds workAtFirst { 20 };
    /// Number of calls that wait before the leaf rejects more.
    std::size_t queueAtFirst { 40 };
    std::chrono::milliseconds firstTime { 3s };
};

struct start_outcome {
    std::size_t arrivals { 0 };
    std::size_t shed { 0 };
    std::size_t mostOpen { 0 };
    kernel::duration longestIdle {};
    /// Number of calls until all daemons had ended the start phase, or zero.
    std::size_t callsUntilFullPace { 0 };
};

/// One leaf in the middle of its start beside two that run as usual.
class starting_leaf {
public:
    starting_leaf(cold_fleet& fleet, start_behaviour behaviour)
        : m_fleet(fleet)
        , m_behaviour(behaviour)
        , m_startedAt(fleet.now())
        , m_lastArrivalAt(m_startedAt)
    {
    }

    bool serve(cold_fleet_daemon& daemon, forwarding::leaf_call const& call)
    {
        static constexpr auto usualWork = 20ms;
        static constexpr std::size_t slots = 4;
        auto const now = daemon.now();
        auto& open = m_open[call.leafId];
        auto const key = std::pair { &daemon, call.number };
        bool const isStarting = call.leafId == "desk/0";
        bool const isFirstTime = isStarting && now - m_startedAt < m_behaviour.firstTime;
        if (std::find(daemon.cancelled().begin(), daemon.cancelled().end(), call.number) != daemon.cancelled().end()) {
            open.erase(key);
            daemon.fail(call.number, forwarding::call_failure::cancelled);
            return false;
        }
        if (auto const found = open.find(key); found != open.end()) {
            if (now < found->second)
                return false;
            open.erase(found);
            return true;
        }
        if (isStarting)
            recordArrival(now, isFirstTime ? open.size() + 1 : 0);
        if (isFirstTime && open.size() >= slots + m_behaviour.queueAtFirst) {
            ++outcome.shed;
            daemon.shed(call.number);
            return false;
        }
        auto const work = isFirstTime ? m_behaviour.workAtFirst : usualWork;
        auto const rounds = static_cast<std::int64_t>(open.size() / slots) + 1;
        open[key] = now + work * rounds;
        return false;
    }

    start_outcome outcome;

private:
    void recordArrival(kernel::time_point now, std::size_t open)
    {
        ++outcome.arrivals;
        outcome.mostOpen = std::max(outcome.mostOpen, open);
        outcome.longestIdle = std::max(outcome.longestIdle, now - m_lastArrivalAt);
        m_lastArrivalAt = now;
        bool const isStarted = std::all_of(m_fleet.daemons().begin(), m_fleet.daemons().end(), [](auto const& each) { return each->engine.leafs().startingCount() == 0; });
        if (isStarted && outcome.callsUntilFullPace == 0)
            outcome.callsUntilFullPace = outcome.arrivals;
    }

    cold_fleet& m_fleet;
    start_behaviour m_behaviour;
    kernel::time_point m_startedAt;
    kernel::time_point m_lastArrivalAt;
    std::map<std::string, std::map<std::pair<cold_fleet_daemon*, forwarding::call_number>, kernel::time_point>> m_open;
};

/// Restarts one of three leafs under the calls of six daemons.
start_outcome runStart(start_behaviour behaviour, pace_scope scope, std::chrono::milliseconds requestInterval = 20ms, std::chrono::milliseconds length = 6s)
{
    cold_fleet fleet { { .daemons = 6, .coldRequestsPerSecond = 0, .warmupTime = 5s, .paceScope = scope, .requestInterval = requestInterval } };
    fleet.registerLeafs({ 0s, 0s, 0s });
    starting_leaf before { fleet, {} };
    fleet.press(2s, [&](auto& daemon, auto const& call) { return before.serve(daemon, call); });
    for (auto const& daemon : fleet.daemons()) {
        for (auto const& call : daemon->openCalls("desk")) {
            if (call.leafId == "desk/0")
                daemon->fail(call.number, forwarding::call_failure::broken);
        }
    }
    fleet.registerLeafs({ 5s, 0s, 0s }, 2);
    starting_leaf after { fleet, behaviour };
    fleet.press(length, [&](auto& daemon, auto const& call) { return after.serve(daemon, call); });
    return after.outcome;
}

}

TEST_GROUP(LeafPace)
{
    kernel::time_point now { 1h };
    leaf_pace pace;

    pace_change serve(kernel::duration latency)
    {
        return pace.record({ call_outcome::served, now, latency, 10ms }, usualLimit, now + latency);
    }
};

TEST(LeafPace, WindowGrowsWithGoodRepliesUntilItRestrictsNoMore)
{
    pace.start(now, true);
    LONGS_EQUAL(1, pace.inFlightLimit(usualLimit));
    for (std::size_t count = 2; count < usualLimit; ++count)
        CHECK(serve(10ms) == pace_change::raised);
    LONGS_EQUAL(usualLimit - 1, pace.inFlightLimit(usualLimit));
    CHECK(serve(10ms) == pace_change::ended);
    CHECK(!pace.isActive());
}

TEST(LeafPace, RefusalAndHighLatencyCutTheWindowAtOnce)
{
    for (bool const isRefused : { true, false }) {
        pace.start(now, true);
        for (int count = 0; count < 9; ++count)
            serve(10ms);
        LONGS_EQUAL(10, pace.inFlightLimit(usualLimit));
        auto const change = isRefused ? pace.record({ call_outcome::refused, now, 1ms, 10ms }, usualLimit, now + 1ms) : serve(100ms);
        CHECK(change == pace_change::lowered);
        LONGS_EQUAL(5, pace.inFlightLimit(usualLimit));
        // The other calls of the larger window show the same load and cut it no further.
        CHECK(pace.record({ call_outcome::refused, now, 2ms, 10ms }, usualLimit, now + 2ms) == pace_change::none);
        now += 1s;
        for (int count = 0; count < 10; ++count)
            serve(10ms);
        LONGS_EQUAL(5, pace.inFlightLimit(usualLimit));
        serve(10ms);
        LONGS_EQUAL(6, pace.inFlightLimit(usualLimit));
    }
}

// Guards against a leaf that refuses all calls and is called again at once by every daemon.
TEST(LeafPace, LeafThatRefusesItsOnlyCallIsLeftAloneForAWhile)
{
    pace.start(now, true);
    pace.record({ call_outcome::refused, now, {}, 10ms }, usualLimit, now);
    auto const firstHold = pace.heldUntil() - now;
    CHECK(firstHold >= 20ms && firstHold <= 100ms);
    now += 1s;
    pace.record({ call_outcome::refused, now, {}, 10ms }, usualLimit, now);
    CHECK(pace.heldUntil() - now > firstHold);
}

TEST(LeafPace, WithdrawnCallCountsOnlyWhenItWasLate)
{
    pace.start(now, true);
    CHECK(pace.record({ call_outcome::unknown, now, 15ms, 10ms }, usualLimit, now + 15ms) == pace_change::none);
    CHECK(pace.record({ call_outcome::unknown, now, 80ms, 10ms }, usualLimit, now + 80ms) == pace_change::lowered);
    CHECK(pace.record({ call_outcome::served, now - 1ms, 10ms, 10ms }, usualLimit, now + 80ms) == pace_change::none);
}

// Guards against a leaf that starts slowly and is flooded by the daemons because it has replied to nothing yet.
TEST(LeafPace, LeafThatStartsSlowlyIsNotFlooded)
{
    start_behaviour const slow { .workAtFirst = 150ms };
    auto const paced = runStart(slow, pace_scope::declared);
    auto const unpaced = runStart(slow, pace_scope::never);
    CHECK(paced.mostOpen <= 8);
    CHECK(paced.mostOpen * 2 < unpaced.mostOpen);
}

TEST(LeafPace, LeafThatShedsAtFirstShedsASmallerShare)
{
    start_behaviour const shedding { .workAtFirst = 60ms, .queueAtFirst = 0 };
    auto const paced = runStart(shedding, pace_scope::declared, 15ms);
    auto const unpaced = runStart(shedding, pace_scope::never, 15ms);
    CHECK(paced.shed * unpaced.arrivals * 2 < unpaced.shed * paced.arrivals);
    CHECK(paced.callsUntilFullPace > 0);
}

// Guards against a leaf that could serve and stays idle during its start because the others look faster.
TEST(LeafPace, LeafThatIsFineIsNotIdleAndReachesFullPace)
{
    auto const paced = runStart({}, pace_scope::declared, 40ms);
    auto const unpaced = runStart({}, pace_scope::never, 40ms);
    CHECK(paced.longestIdle <= 400ms);
    CHECK(unpaced.longestIdle > 2s);
    CHECK(paced.callsUntilFullPace > 0 && paced.callsUntilFullPace <= 30);
}

namespace {

/// One daemon with two leafs, of which the first starts.
struct paced_desk : cold_fleet {
    explicit paced_desk(std::optional<std::chrono::milliseconds> warmup = 5s, bool areRepeatable = true)
        : cold_fleet({ .daemons = 1, .coldRequestsPerSecond = 0, .warmupTime = warmup, .areRequestsRepeatable = areRepeatable })
    {
        registerLeafs({ 0s, 0s });
    }

    cold_fleet_daemon& daemon() const { return *daemons().front(); }
    forwarding::leaf_record const& record(std::string const& id) const { return daemon().engine.leafs().at(*daemon().engine.leafs().findLeaf(id)); }

    /// Sends a request and returns the leaf that is called.
    std::string serveOnce(std::chrono::milliseconds latency, std::optional<std::uint32_t> machineTime = {})
    {
        daemon().arrive("/single/1");
        daemon().pass(latency);
        auto const call = daemon().openCalls().front();
        forwarding::leaf_reply made;
        made.status = 200;
        made.seal = "seal";
        if (machineTime)
            made.load = { 0, 0, 4, machineTime };
        daemon().reply(call.number, made);
        return call.leafId;
    }
};

}

TEST(LeafPace, NewIncarnationStartsAndLeafsOfTheFirstListDoNot)
{
    paced_desk desk;
    LONGS_EQUAL(0, desk.daemon().engine.leafs().startingCount());
    desk.registerLeafs({ 0s, 0s }, 2);
    CHECK(desk.record("desk/0").isStarting() && !desk.record("desk/1").isStarting());
}

// Guards against a changed behaviour of deployments whose services declare no warm-up.
TEST(LeafPace, ServiceWithoutAWarmupIsNotPaced)
{
    paced_desk desk { std::nullopt };
    desk.registerLeafs({ 30s, 0s }, 2);
    desk.daemon().engine.handleUnmatchedReply(desk.daemon().engine.leafs().findLeaf("desk/1").value(), { .warmupLeft = 9s }, desk.daemon().now());
    LONGS_EQUAL(0, desk.daemon().engine.leafs().startingCount());
    LONGS_EQUAL(0, desk.daemon().engine.counters().leafPaceRaised);
}

TEST(LeafPace, FailureAndWarmupNewsBeginAStart)
{
    paced_desk desk;
    desk.daemon().arrive("/single/1");
    auto const call = desk.daemon().openCalls().front();
    desk.daemon().fail(call.number, forwarding::call_failure::not_sent);
    CHECK(desk.record(call.leafId).isStarting());
    auto const other = call.leafId == "desk/0" ? "desk/1" : "desk/0";
    CHECK(!desk.record(other).isStarting());
    desk.daemon().engine.handleUnmatchedReply(desk.daemon().engine.leafs().findLeaf(other).value(), { .warmupLeft = 9s }, desk.daemon().now());
    CHECK(desk.record(other).isStarting() && desk.record(other).isCold(desk.now()));
}

// Guards against requests that pay for a leaf whose speed is unknown: those that may run only once, and those with little time.
TEST(LeafPace, OnlyRequestsWithASecondChanceTryAnIdleLeaf)
{
    forwarding::leaf_roster roster { "here", kernel::makeSeededRandom(1), { .paceScope = pacing::pace_scope::always } };
    kernel::time_point now { 1h };
    roster.replaceRegistrations({ { "a", 1, "desk", {}, "here", 1, false, 0s } }, now);
    roster.replaceRegistrations({ { "a", 1, "desk", {}, "here", 1, false, 0s }, { "b", 1, "desk", {}, "here", 1, false, 9s }, { "c", 1, "desk", {}, "there", 1, false, 9s } }, now);
    roster.recordCallDuration(10ms);
    auto const pick = [&](bool mayTry) { return roster.at(roster.pickLeaf("desk", {}, 1s, now, mayTry)->leaf).registration().id; };
    STRCMP_EQUAL("a", pick(true).c_str());
    now += 300ms;
    STRCMP_EQUAL("a", pick(false).c_str());
    STRCMP_EQUAL("b", pick(true).c_str());
    roster.at(*roster.findLeaf("b")).recordSent(forwarding::call_origin::first, now);
    // The traffic to the other data centre is charged.
    STRCMP_EQUAL("a", pick(true).c_str());
}

TEST(LeafPace, IdleLeafIsNotTriedAsTheOnlyHope)
{
    struct request_kind {
        std::chrono::milliseconds timeout;
        bool isRepeatable;
        char const* calledLeaf;
    };
    for (auto const& kind : { request_kind { 1500ms, true, "desk/0" }, request_kind { 60ms, true, "desk/1" }, request_kind { 1500ms, false, "desk/1" } }) {
        paced_desk desk { 5s, kind.isRepeatable };
        for (int count = 0; count < 20; ++count)
            desk.serveOnce(10ms);
        desk.registerLeafs({ 9s, 0s }, 2);
        desk.daemon().pass(400ms);
        desk.daemon().arrive("/single/1", kind.timeout);
        STRCMP_EQUAL(kind.calledLeaf, desk.daemon().openCalls().back().leafId.c_str());
    }
}

// Guards against a leaf that was slow or evacuated, is well again, and gets its complete share of the calls at once.
TEST(LeafPace, RecoveryAndEvacuationBeginAStart)
{
    kernel::time_point now { 1h };
    forwarding::leaf_record record { { "a", 1, "desk", {}, "here", 1, false, 0s }, 10, now };
    record.setStartRules({ .isPaced = true }, now);
    auto const serve = [&](std::chrono::milliseconds latency) {
        now += 1s;
        record.recordSent(forwarding::call_origin::first, now);
        record.recordSuccess(now, now + latency);
        record.recordPace({ call_outcome::served, now, latency, 10ms }, now + latency);
    };
    for (int count = 0; count < 20; ++count)
        serve(15ms);
    CHECK(!record.isStarting());
    for (int count = 0; count < 10; ++count)
        serve(200ms);
    CHECK(!record.isStarting());
    for (int count = 0; count < 20; ++count)
        serve(10ms);
    CHECK(record.isStarting());
    for (int count = 0; count < 10; ++count)
        serve(10ms);
    CHECK(!record.isStarting());
    record.becomeCold(5s, now);
    CHECK(record.isStarting());
}

// Guards against calls to a leaf whose machine has become slow since its last replies.
TEST(LeafPace, MachineTimeCountsInTheExpectedDelay)
{
    kernel::time_point now { 1h };
    forwarding::leaf_record record { { "a", 1, "desk", {}, "here", 1, false, 0s }, 10, now };
    auto const replyWith = [&](std::optional<std::uint32_t> machineTime) {
        record.recordLoad({ 0, 0, 1, machineTime }, now);
        record.recordSent(forwarding::call_origin::first, now);
        record.recordSuccess(now, now + 10ms);
    };
    replyWith({});
    auto const usual = record.delayScore(now, 10'000);
    replyWith(100);
    DOUBLES_EQUAL(usual, record.delayScore(now, 10'000), 50);
    record.recordLoad({ 0, 0, 1, 300 }, now);
    auto const slow = record.delayScore(now, 10'000);
    DOUBLES_EQUAL(3 * usual, slow, usual / 2);
    CHECK(record.delayScore(now + 1s, 10'000) < 1.3 * usual);
    // The latency of calls that were slow because of the machine already contains the factor.
    for (int count = 0; count < 60; ++count)
        replyWith(300);
    CHECK(record.delayScore(now, 10'000) < 1.1 * usual);
    DOUBLES_EQUAL(10'000.0 / 3, *record.usualSpeedLatency(), 200);
}
