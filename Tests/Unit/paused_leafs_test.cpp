// Load patterns: leafs under pressure that ask for pauses.

#include "Tests/Support/noticing_fleet.h"
#include <limits>
#include <set>

using namespace zinnialedge;
using namespace std::chrono_literals;
using forwarding::call_failure;
using forwarding::leaf_registration;
using tests::engine_harness;
using tests::noticing_fleet;
using tests::rejection;

TEST_GROUP(LeafPauses) {};

TEST(LeafPauses, PausedLeafGetsNeitherCallsNorRetriesNorHedges)
{
    noticing_fleet fleet;
    fleet.arrive("/gather/1");
    auto const paused = fleet.answerOnly("shard3", rejection(2.0));
    for (auto const& call : fleet.openCalls("shard3"))
        CHECK(call.leafId != paused.leafId);
    fleet.succeedAll();
    for (int count = 0; count < 30; ++count) {
        fleet.arrive("/gather/1");
        fleet.pass(60ms);
        for (auto const& call : fleet.openCalls("shard3"))
            CHECK(call.leafId != paused.leafId);
        fleet.succeedAll();
    }
}

// Guards against a leaf that stays idle for long after it has shed one call, while another one serves all.
TEST(LeafPauses, LeafThatShedACallIsCalledAgainWithOneRequestAtATime)
{
    engine_harness fleet;
    fleet.declare(1, { engine_harness::singleRoute(true) });
    leaf_registration const first { "desk/0", 1, "desk", { "10.0.0.1", 80 }, "here", 2, false, {} };
    leaf_registration const second { "desk/1", 1, "desk", { "10.0.0.2", 80 }, "here", 2, false, {} };
    fleet.engine.setLeafs({ first, second }, fleet.now());
    std::size_t callsToIt = 0;
    bool hasShed = false;
    for (int count = 0; count < 200; ++count) {
        fleet.arrive("/single/1");
        // The leafs do not take exactly the same time for each call.
        fleet.pass(std::chrono::milliseconds { 9 + count % 3 });
        for (auto const& call : fleet.openCalls("desk")) {
            bool const isToFirst = call.leafId == first.id;
            bool const isShed = isToFirst && !hasShed && count > 20;
            hasShed |= isShed;
            callsToIt += isToFirst && hasShed && !isShed ? 1 : 0;
            if (isShed)
                fleet.reply(call.number, rejection({}));
        }
        for (auto const& call : fleet.openCalls("desk"))
            fleet.succeed(call.number);
        fleet.pass(50ms);
    }
    CHECK(hasShed);
    CHECK(callsToIt > 0);
}

TEST(LeafPauses, PausedLeafIsCalledAgainAfterThePause)
{
    noticing_fleet fleet;
    fleet.arrive("/single/1");
    auto const paused = fleet.answerOnly("desk", rejection(2.0));
    fleet.succeedAll();
    fleet.pass(2s);
    std::set<std::string> called;
    for (int count = 0; count < 20; ++count) {
        fleet.arrive("/single/1");
        for (auto const& call : fleet.openCalls("desk"))
            called.insert(call.leafId);
        fleet.pass(1s);
        fleet.succeedAll();
    }
    CHECK(called.contains(paused.leafId));
}

TEST(LeafPauses, PauseEndsSlowly)
{
    engine_harness fleet;
    fleet.declare(1, { engine_harness::singleRoute(true) });
    fleet.engine.setLeafs({ { "desk/0", 1, "desk", { "10.0.0.1", 80 }, "here", 2, false, {} } }, fleet.now());
    fleet.arrive("/single/1");
    fleet.reply(fleet.openCalls().front().number, rejection(2.0));
    fleet.pass(2s);
    for (int count = 0; count < 10; ++count)
        fleet.arrive("/single/1");
    LONGS_EQUAL(1, fleet.openCalls().size());
    fleet.succeed(fleet.openCalls().front().number);
    LONGS_EQUAL(2, fleet.openCalls().size());
}

TEST(LeafPauses, PauseBelongsToTheIncarnation)
{
    engine_harness fleet;
    fleet.declare(1, { engine_harness::singleRoute(true) });
    leaf_registration registration { "desk/0", 1, "desk", { "10.0.0.1", 80 }, "here", 2, false, {} };
    fleet.engine.setLeafs({ registration }, fleet.now());
    fleet.arrive("/single/1");
    fleet.reply(fleet.openCalls().front().number, rejection(2.0));
    // The entry of the same incarnation lapses and returns: the pause goes on.
    fleet.engine.setLeafs({}, fleet.now());
    fleet.engine.setLeafs({ registration }, fleet.now());
    auto const rejected = fleet.arrive("/single/1");
    CHECK(fleet.answerOf(rejected));
    registration.startedAt = 2;
    fleet.engine.setLeafs({ registration }, fleet.now());
    fleet.arrive("/single/1");
    LONGS_EQUAL(1, fleet.openCalls().size());
}

TEST(LeafPauses, AllPausedLeafsMeanARejectionAtOnceUntilTheFirstPauseEnds)
{
    noticing_fleet fleet;
    fleet.arrive("/single/1");
    fleet.answerOnly("desk", rejection(4.0));
    fleet.answerOnly("desk", rejection(2.0));
    auto const token = fleet.arrive("/single/1");
    auto const* const answer = fleet.answerOf(token);
    CHECK(answer);
    LONGS_EQUAL(503, answer->status);
    STRCMP_EQUAL("leafs_paused", answer->reason.c_str());
    CHECK(*answer->error->retryAfter >= 2s);
    CHECK(*answer->error->retryAfter <= 3s);
    LONGS_EQUAL(0, fleet.openCalls("desk").size());
}

TEST(LeafPauses, RequestWhoseLastLeafAsksForAPauseIsRejectedAsNotRun)
{
    noticing_fleet fleet { 0.89, false };
    auto const token = fleet.arrive("/single/1");
    fleet.answerOnly("desk", rejection(1.0));
    fleet.answerOnly("desk", rejection(1.0));
    auto const* const answer = fleet.answerOf(token);
    CHECK(answer);
    LONGS_EQUAL(503, answer->status);
    CHECK(errors::propertiesOf(answer->error->kind).executionState == errors::execution_state::no);
    CHECK(*answer->error->retryAfter >= 1s);
}

TEST(LeafPauses, RejectedRequestsReturnOneAfterTheOther)
{
    noticing_fleet fleet;
    // A success tells how long calls take.
    fleet.arrive("/single/1");
    fleet.pass(40ms);
    fleet.succeedAll();
    fleet.arrive("/single/1");
    fleet.answerOnly("desk", rejection(1.0));
    fleet.answerOnly("desk", rejection(1.0));
    std::vector<std::chrono::milliseconds> times;
    times.reserve(20);
    for (int count = 0; count < 20; ++count)
        times.push_back(*fleet.answerOf(fleet.arrive("/single/1"))->error->retryAfter);
    for (std::size_t index = 1; index < times.size(); ++index)
        CHECK(times[index] > times[index - 1]);
    CHECK(times.back() - times.front() >= 150ms);
}

TEST(LeafPauses, GatherGoesOnWithoutAPausedShardThatItMayLack)
{
    noticing_fleet fleet;
    fleet.replyFromEachLeaf("/gather/1", "shard3", rejection(2.0));
    auto const token = fleet.arrive("/gather/1");
    LONGS_EQUAL(0, fleet.openCalls("shard3").size());
    fleet.succeedAll();
    LONGS_EQUAL(200, fleet.answerOf(token)->status);
    LONGS_EQUAL(1, fleet.answerOf(token)->missingParts);
}

TEST(LeafPauses, GatherThatNeedsAPausedShardIsRejectedAtOnceUntilThePauseEnds)
{
    noticing_fleet fleet { 1 };
    fleet.replyFromEachLeaf("/gather/1", "shard3", rejection(2.0));
    auto const token = fleet.arrive("/gather/1");
    auto const* const answer = fleet.answerOf(token);
    CHECK(answer);
    STRCMP_EQUAL("leafs_paused", answer->reason.c_str());
    CHECK(*answer->error->retryAfter >= 2s);
    LONGS_EQUAL(0, fleet.openCalls().size());
}

TEST(LeafPauses, PartThatWaitsForAConnectionIsDecidedWhenItsLastLeafPauses)
{
    engine_harness fleet;
    fleet.declare(1, { engine_harness::singleRoute(true) });
    fleet.engine.setLeafs({ { "desk/0", 1, "desk", { "10.0.0.1", 80 }, "here", 2, false, {} } }, fleet.now());
    std::vector<forwarding::request_token> tokens;
    tokens.reserve(40);
    for (int count = 0; count < 40; ++count)
        tokens.push_back(fleet.arrive("/single/1"));
    CHECK(fleet.openCalls().size() < tokens.size());
    fleet.reply(fleet.openCalls().front().number, rejection(2.0));
    // The waiting requests are rejected at once, not at their deadlines.
    auto const* const last = fleet.answerOf(tokens.back());
    CHECK(last);
    STRCMP_EQUAL("leafs_paused", last->reason.c_str());
}

TEST(LeafPauses, CallWhoseConnectionOpensDuringThePauseIsNotWanted)
{
    noticing_fleet fleet;
    for (int count = 0; count < 6; ++count)
        fleet.arrive("/single/1");
    auto const calls = fleet.openCalls("desk");
    auto const& first = calls.front();
    fleet.reply(first.number, rejection(2.0));
    std::size_t withheld = 0;
    for (auto const& call : calls) {
        if (call.number == first.number)
            continue;
        CHECK(fleet.engine.isCallWanted(call.number, fleet.now()) == (call.leafId != first.leafId));
        if (call.leafId != first.leafId)
            continue;
        ++withheld;
        fleet.fail(call.number, call_failure::withheld);
    }
    LONGS_EQUAL(withheld, fleet.engine.counters().callsWithheld);
    for (auto const& call : fleet.openCalls("desk"))
        CHECK(call.leafId != first.leafId);
}

TEST(LeafPauses, MalformedPauseIsIgnoredAndCounted)
{
    noticing_fleet fleet;
    for (auto const seconds : { -1.0, 1e9, std::numeric_limits<double>::quiet_NaN() }) {
        fleet.arrive("/single/1");
        fleet.answerOnly("desk", rejection(seconds));
        fleet.succeedAll();
        fleet.pass(1s);
    }
    LONGS_EQUAL(3, fleet.engine.counters().leafPausesIgnored);
    LONGS_EQUAL(0, fleet.engine.counters().leafPauses);
    CHECK(!fleet.engine.leafs().hasPausedLeafs(fleet.now()));
}

TEST(LeafPauses, AdmissionFollowsTheLostCapacity)
{
    // Requests that need every shard have half of the capacity of shard 3 when one of its two leafs is paused.
    noticing_fleet fleet { 1 };
    fleet.arrive("/gather/1");
    fleet.answerOnly("shard3", rejection(5.0));
    fleet.succeedAll();
    std::size_t admittedDuringPause = 0;
    for (int count = 0; count < 20; ++count) {
        fleet.arrive("/gather/1");
        admittedDuringPause = fleet.openCalls("shard5").size();
    }
    noticing_fleet other { 1 };
    other.arrive("/gather/1");
    other.succeedAll();
    for (int count = 0; count < 20; ++count)
        other.arrive("/gather/1");
    CHECK(admittedDuringPause > 0);
    CHECK(2 * admittedDuringPause <= other.openCalls("shard5").size() + 1);
}
