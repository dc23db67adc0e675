#include "Libraries/zinnialedge/forwarding/relay_plan.h"
#include "Tests/Support/engine_harness.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <set>

using namespace zinnialedge;
using namespace std::chrono_literals;
using errors::error_kind;
using forwarding::call_failure;
using forwarding::leaf_call;
using forwarding::leaf_reply;
using forwarding::relayed_shards;
using tests::engine_harness;

namespace {

constexpr std::size_t shardCount = 20;
constexpr std::size_t farCount = 10;

/// Twenty shards of two leafs; the first ten have one here, the others in "there" and "elsewhere". One daemon there.
struct divided_fleet : engine_harness {
    explicit divided_fleet(forwarding::engine_settings const& settings = defaultSettings())
        : engine_harness(settings)
    {
        declare(3, { gatherRoute(shardCount, 0.89) });
        std::vector<forwarding::leaf_registration> leafs;
        for (std::size_t shard = 0; shard < shardCount; ++shard) {
            auto const service = "shard" + std::to_string(shard);
            leafs.push_back({ service + "/0", 1, service, { "10.0.0.1", 80 }, shard < shardCount - farCount ? "here" : "there", 2, false, {} });
            leafs.push_back({ service + "/1", 1, service, { "10.0.0.2", 80 }, "elsewhere", 2, false, {} });
        }
        engine.setLeafs(leafs, now());
        engine.setFleetShare({ 3, 3, { { "there", { "10.0.0.9", 7395 } } } });
    }

    std::vector<leaf_call> relayCalls() const
    {
        auto calls = openCalls();
        std::erase_if(calls, [](auto const& call) { return !call.relayed; });
        return calls;
    }

    void succeedDirectCalls()
    {
        for (auto const& call : openCalls()) {
            if (!call.relayed)
                succeed(call.number);
        }
    }

    /// The other daemon's answer for those places.
    void answerRelay(leaf_call const& call, std::vector<std::size_t> const& places)
    {
        leaf_reply given;
        given.status = 200;
        given.body = std::string(16, 'z');
        for (auto const place : places) {
            given.relayedPlaces.push_back(place);
            given.relayedSeals.push_back("relayed-" + std::to_string(place));
        }
        reply(call.number, std::move(given));
    }
};

void checkNoPartTwice(forwarding::final_answer const& answer)
{
    std::set<std::size_t> const places { answer.partPlaces.begin(), answer.partPlaces.end() };
    LONGS_EQUAL(answer.partPlaces.size(), places.size());
    LONGS_EQUAL(shardCount, answer.partSeals.size() + answer.missingParts);
}

}

TEST_GROUP(Relay) {};

TEST(Relay, FewMessagesCoverTheFarShards)
{
    auto const plan = forwarding::planRelays({ 1, 2, 3, 4, 5, 6, 7, 8, 9 }, { "a", "b" }, [](std::size_t place, std::string const& dataCentre) { return dataCentre == "a" ? place <= 5 : place >= 4 && place <= 8; });
    CHECK(plan == (std::vector<relayed_shards> { { "a", { 1, 2, 3, 4, 5 } } }));
}

TEST(Relay, ShardsOfOtherDataCentresGoInOneMessage)
{
    divided_fleet fleet;
    auto const token = fleet.arrive("/gather/1");
    LONGS_EQUAL(shardCount - farCount + 1, fleet.openCalls().size());
    auto const call = fleet.relayCalls().front();
    LONGS_EQUAL(farCount, call.relayed->places.size());
    LONGS_EQUAL(3, call.relayed->version);
    fleet.succeedDirectCalls();
    fleet.answerRelay(call, call.relayed->places);
    auto const* const answer = fleet.answerOf(token);
    CHECK(answer);
    LONGS_EQUAL(0, answer->missingParts);
    checkNoPartTwice(*answer);
    CHECK(answer->body.starts_with(std::string(16, 'z')));
}

TEST(Relay, WhatTheOtherDaemonLeavesOutIsCopiedToALeafElsewhere)
{
    divided_fleet fleet;
    auto const token = fleet.arrive("/gather/1");
    fleet.succeedDirectCalls();
    auto const call = fleet.relayCalls().front();
    auto places = call.relayed->places;
    auto const missing = places.back();
    places.pop_back();
    fleet.answerRelay(call, places);
    LONGS_EQUAL(1, fleet.openCalls().size());
    STRCMP_EQUAL(("shard" + std::to_string(missing) + "/1").c_str(), fleet.openCalls().front().leafId.c_str());
    fleet.succeed(fleet.openCalls().front().number);
    checkNoPartTwice(*fleet.answerOf(token));
    LONGS_EQUAL(0, fleet.answerOf(token)->missingParts);
}

TEST(Relay, ARefusalOfTheOtherDaemonLeavesAllAttempts)
{
    divided_fleet fleet;
    auto const token = fleet.arrive("/gather/1");
    fleet.succeedDirectCalls();
    leaf_reply refused;
    refused.status = 503;
    fleet.reply(fleet.relayCalls().front().number, refused);
    LONGS_EQUAL(farCount, fleet.openCalls().size());
    fleet.succeedDirectCalls();
    LONGS_EQUAL(0, fleet.answerOf(token)->missingParts);
}

TEST(Relay, AShardIsAskedOfNoMoreLeafsThanTheRouteAllows)
{
    // The other daemon dies after it has called its leafs; each copy here is the second and last leaf of its shard.
    divided_fleet fleet;
    auto const token = fleet.arrive("/gather/1");
    fleet.succeedDirectCalls();
    fleet.fail(fleet.relayCalls().front().number, call_failure::broken);
    for (auto const& call : fleet.openCalls())
        CHECK(call.leafId.ends_with("/1"));
    for (auto const& call : fleet.openCalls())
        fleet.fail(call.number, call_failure::broken);
    LONGS_EQUAL(0, fleet.openCalls().size());
    CHECK(fleet.answerOf(token)->refused->kind == error_kind::leaf_failed);
}

TEST(Relay, AnAnswerThatComesAfterTheCopiesCountsNoPartTwice)
{
    divided_fleet fleet;
    auto const token = fleet.arrive("/gather/1");
    fleet.succeedDirectCalls();
    auto const call = fleet.relayCalls().front();
    fleet.pass(47ms);
    auto copies = fleet.openCalls();
    std::erase_if(copies, [](auto const& each) { return each.relayed.has_value(); });
    CHECK(copies.size() > 2);
    fleet.succeed(copies[0].number);
    fleet.succeed(copies[1].number);
    fleet.answerRelay(call, call.relayed->places);
    auto const* const answer = fleet.answerOf(token);
    CHECK(answer);
    checkNoPartTwice(*answer);
    LONGS_EQUAL(0, answer->missingParts);
}

TEST(Relay, ALateDaemonIsWaitedForWhenNoCopyMayBeSent)
{
    auto settings = engine_harness::defaultSettings();
    settings.extraCalls = { 0, 10s, 0 };
    divided_fleet fleet { settings };
    auto const token = fleet.arrive("/gather/1");
    auto const relayed = fleet.relayCalls().front();
    fleet.succeedDirectCalls();
    fleet.pass(60ms);
    CHECK(!fleet.answerOf(token));
    fleet.answerRelay(relayed, relayed.relayed->places);
    auto const* const answer = fleet.answerOf(token);
    CHECK(answer);
    LONGS_EQUAL(200, answer->status);
    LONGS_EQUAL(0, answer->missingParts);
}

TEST(Relay, ADaemonThatStandsStillIsNotAskedForAWhile)
{
    divided_fleet fleet;
    (void)fleet.arrive("/gather/1");
    (void)fleet.arrive("/gather/2");
    LONGS_EQUAL(2, fleet.relayCalls().size());
    fleet.pass(60ms);
    (void)fleet.arrive("/gather/3");
    LONGS_EQUAL(2, fleet.relayCalls().size());
}

TEST(Relay, ADaemonThatIsAskedMakesFirstCallsOnlyAndAnswersInTime)
{
    engine_harness fleet;
    fleet.declare(3, { engine_harness::gatherRoute(shardCount, 0.89) });
    fleet.registerLeafs(engine_harness::gatherRoute(shardCount, 1).gather.shards, 2);
    auto const token = fleet.arriveRelayed("/gather/1", { 3, { 12, 14 }, 25ms });
    LONGS_EQUAL(2, fleet.openCalls().size());
    fleet.succeed(fleet.openCalls("shard14").front().number);
    fleet.pass(20ms);
    CHECK(!fleet.answerOf(token));
    LONGS_EQUAL(1, fleet.openCalls().size());
    fleet.pass(6ms);
    CHECK(fleet.answerOf(token));
    CHECK(fleet.answerOf(token)->partPlaces == std::vector<std::size_t> { 14 });
}

TEST(Relay, AnotherVersionIsRefused)
{
    engine_harness fleet;
    fleet.declare(3, { engine_harness::gatherRoute(shardCount, 0.89) });
    fleet.registerLeafs(engine_harness::gatherRoute(shardCount, 1).gather.shards, 2);
    auto const token = fleet.arriveRelayed("/gather/1", { 2, { 12, 14 }, 25ms });
    LONGS_EQUAL(503, fleet.answerOf(token)->status);
    LONGS_EQUAL(0, fleet.openCalls().size());
}

TEST(Relay, WithoutABudgetForCopiesTheOtherDaemonIsGivenMoreTime)
{
    // The leafs of many shards turn slow, and copies of them use up the budget.
    divided_fleet fleet;
    (void)fleet.arrive("/gather/1");
    auto const usual = fleet.relayCalls().front().relayed->answerWithin;
    for (int count = 0; count < 60; ++count) {
        (void)fleet.arrive("/gather/2");
        fleet.pass(20ms);
        for (auto const& call : fleet.relayCalls())
            fleet.answerRelay(call, {});
        fleet.succeedDirectCalls();
    }
    CHECK(fleet.engine.counters().extraCallsDenied > 0);
    (void)fleet.arrive("/gather/3");
    auto const scarce = fleet.relayCalls().back().relayed->answerWithin;
    CHECK(scarce > 2 * usual);
    CHECK(scarce < 100ms);
}
