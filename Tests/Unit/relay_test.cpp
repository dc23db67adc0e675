#include "Libraries/zinnialedge/forwarding/relay_plan.h"
#include "Libraries/zinnialedge/forwarding/relay_protocol.h"
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
constexpr std::size_t remoteShardCount = 10;

/// Twenty shards with two leafs each. The first leaf of shards 0 to 9 is in data centre "here" and that of shards 10 to 19 in
/// "there"; all second leafs are in "elsewhere". One relay daemon is in "there".
struct fleet_across_data_centres : engine_harness {
    explicit fleet_across_data_centres(forwarding::engine_settings const& settings = defaultSettings())
        : engine_harness(settings)
    {
        declare(3, { gatherRoute(shardCount, 0.89) });
        std::vector<forwarding::leaf_registration> leafs;
        for (std::size_t shard = 0; shard < shardCount; ++shard) {
            auto const service = "shard" + std::to_string(shard);
            leafs.push_back({ service + "/0", 1, service, { "10.0.0.1", 80 }, shard < shardCount - remoteShardCount ? "here" : "there", 2, false, {} });
            leafs.push_back({ service + "/1", 1, service, { "10.0.0.2", 80 }, "elsewhere", 2, false, {} });
        }
        engine.setLeafs(leafs, now());
        engine.setFleetShare({ 3, 3, { { "there", { "10.0.0.9", 7395 } } } }, now());
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

    /// Answers a relay call as the remote daemon with records of the given shards.
    void answerRelay(leaf_call const& call, std::vector<std::size_t> const& shards)
    {
        leaf_reply answer;
        answer.status = 200;
        answer.body = std::string(16, 'z');
        for (auto const shard : shards) {
            answer.relayedShards.push_back(shard);
            answer.relayedSeals.push_back("relayed-" + std::to_string(shard));
        }
        reply(call.number, std::move(answer));
    }
};

void checkPartsAreUnique(forwarding::final_answer const& answer)
{
    std::set<std::size_t> const uniqueShards { answer.partShards.begin(), answer.partShards.end() };
    LONGS_EQUAL(answer.partShards.size(), uniqueShards.size());
    LONGS_EQUAL(shardCount, answer.partSeals.size() + answer.missingParts);
}

}

TEST_GROUP(Relay) {};

TEST(Relay, PlanCoversRemoteShardsWithFewMessages)
{
    auto const plan = forwarding::planRelays({ 1, 2, 3, 4, 5, 6, 7, 8, 9 }, { "a", "b" }, [](std::size_t shard, std::string const& dataCentre) { return dataCentre == "a" ? shard <= 5 : shard >= 4 && shard <= 8; });
    CHECK(plan == (std::vector<relayed_shards> { { "a", { 1, 2, 3, 4, 5 } } }));
}

TEST(Relay, RemoteShardsAreRelayedInOneMessage)
{
    fleet_across_data_centres fleet;
    auto const token = fleet.arrive("/gather/1");
    LONGS_EQUAL(shardCount - remoteShardCount + 1, fleet.openCalls().size());
    auto const call = fleet.relayCalls().front();
    LONGS_EQUAL(remoteShardCount, call.relayed->shardIndices.size());
    LONGS_EQUAL(3, call.relayed->version);
    fleet.succeedDirectCalls();
    fleet.answerRelay(call, call.relayed->shardIndices);
    auto const* const answer = fleet.answerOf(token);
    CHECK(answer);
    LONGS_EQUAL(0, answer->missingParts);
    checkPartsAreUnique(*answer);
    CHECK(answer->body.starts_with(std::string(16, 'z')));
}

TEST(Relay, ShardMissingFromTheRelayedAnswerIsHedgedInAnotherDataCentre)
{
    fleet_across_data_centres fleet;
    auto const token = fleet.arrive("/gather/1");
    fleet.succeedDirectCalls();
    auto const call = fleet.relayCalls().front();
    auto answeredShards = call.relayed->shardIndices;
    auto const missingShard = answeredShards.back();
    answeredShards.pop_back();
    fleet.answerRelay(call, answeredShards);
    LONGS_EQUAL(1, fleet.openCalls().size());
    STRCMP_EQUAL(("shard" + std::to_string(missingShard) + "/1").c_str(), fleet.openCalls().front().leafId.c_str());
    fleet.succeed(fleet.openCalls().front().number);
    checkPartsAreUnique(*fleet.answerOf(token));
    LONGS_EQUAL(0, fleet.answerOf(token)->missingParts);
}

TEST(Relay, RejectedRelayCallUsesUpNoAttempt)
{
    fleet_across_data_centres fleet;
    auto const token = fleet.arrive("/gather/1");
    fleet.succeedDirectCalls();
    leaf_reply rejection;
    rejection.status = 503;
    fleet.reply(fleet.relayCalls().front().number, rejection);
    LONGS_EQUAL(remoteShardCount, fleet.openCalls().size());
    fleet.succeedDirectCalls();
    LONGS_EQUAL(0, fleet.answerOf(token)->missingParts);
}

TEST(Relay, RelayedShardStaysWithinTheAttemptLimit)
{
    // The remote daemon dies after it has called its leafs. Each hedge goes to the second and last leaf of its shard.
    fleet_across_data_centres fleet;
    auto const token = fleet.arrive("/gather/1");
    fleet.succeedDirectCalls();
    fleet.fail(fleet.relayCalls().front().number, call_failure::broken);
    for (auto const& call : fleet.openCalls())
        CHECK(call.leafId.ends_with("/1"));
    for (auto const& call : fleet.openCalls())
        fleet.fail(call.number, call_failure::broken);
    LONGS_EQUAL(0, fleet.openCalls().size());
    CHECK(fleet.answerOf(token)->error->kind == error_kind::leaf_failed);
}

TEST(Relay, RelayedAnswerAfterHedgesCountsEachPartOnce)
{
    fleet_across_data_centres fleet;
    auto const token = fleet.arrive("/gather/1");
    fleet.succeedDirectCalls();
    auto const call = fleet.relayCalls().front();
    fleet.pass(52ms);
    auto hedges = fleet.openCalls();
    std::erase_if(hedges, [](auto const& each) { return each.relayed.has_value(); });
    CHECK(hedges.size() > 2);
    fleet.succeed(hedges[0].number);
    fleet.succeed(hedges[1].number);
    fleet.answerRelay(call, call.relayed->shardIndices);
    auto const* const answer = fleet.answerOf(token);
    CHECK(answer);
    checkPartsAreUnique(*answer);
    LONGS_EQUAL(0, answer->missingParts);
}

TEST(Relay, LateRelayedAnswerIsAcceptedWhenTheHedgeBudgetIsExhausted)
{
    auto settings = engine_harness::defaultSettings();
    settings.extraCalls = { 0, 10s, 0 };
    fleet_across_data_centres fleet { settings };
    auto const token = fleet.arrive("/gather/1");
    auto const relayCall = fleet.relayCalls().front();
    fleet.succeedDirectCalls();
    fleet.pass(60ms);
    CHECK(!fleet.answerOf(token));
    fleet.answerRelay(relayCall, relayCall.relayed->shardIndices);
    auto const* const answer = fleet.answerOf(token);
    CHECK(answer);
    LONGS_EQUAL(200, answer->status);
    LONGS_EQUAL(0, answer->missingParts);
}

TEST(Relay, StalledDaemonGetsNoRelayCallsDuringTheBackoff)
{
    fleet_across_data_centres fleet;
    (void)fleet.arrive("/gather/1");
    (void)fleet.arrive("/gather/2");
    LONGS_EQUAL(2, fleet.relayCalls().size());
    fleet.pass(60ms);
    (void)fleet.arrive("/gather/3");
    LONGS_EQUAL(2, fleet.relayCalls().size());
}

TEST(Relay, RelayedRequestSendsFirstCallsOnlyAndIsAnsweredWithinItsTimeLimit)
{
    engine_harness fleet;
    fleet.declare(3, { engine_harness::gatherRoute(shardCount, 0.89) });
    fleet.registerLeafs(engine_harness::gatherRoute(shardCount, 1).gather.shards, 2);
    auto const token = fleet.sendRelayedRequest("/gather/1", { 3, { 12, 14 }, 25ms });
    LONGS_EQUAL(2, fleet.openCalls().size());
    fleet.succeed(fleet.openCalls("shard14").front().number);
    fleet.pass(20ms);
    CHECK(!fleet.answerOf(token));
    LONGS_EQUAL(1, fleet.openCalls().size());
    fleet.pass(6ms);
    CHECK(fleet.answerOf(token));
    CHECK(fleet.answerOf(token)->partShards == std::vector<std::size_t> { 14 });
}

TEST(Relay, RelayedRequestOfAnotherVersionIsRejected)
{
    engine_harness fleet;
    fleet.declare(3, { engine_harness::gatherRoute(shardCount, 0.89) });
    fleet.registerLeafs(engine_harness::gatherRoute(shardCount, 1).gather.shards, 2);
    auto const token = fleet.sendRelayedRequest("/gather/1", { 2, { 12, 14 }, 25ms });
    LONGS_EQUAL(503, fleet.answerOf(token)->status);
    LONGS_EQUAL(0, fleet.openCalls().size());
}

TEST(Relay, RelayTimeLimitIsLongerWhenTheHedgeBudgetIsExhausted)
{
    // The leafs of many shards become slow, and hedges of their calls exhaust the budget.
    fleet_across_data_centres fleet;
    (void)fleet.arrive("/gather/1");
    auto const defaultTimeLimit = fleet.relayCalls().front().relayed->answerTimeLimit;
    for (int count = 0; count < 60; ++count) {
        (void)fleet.arrive("/gather/2");
        fleet.pass(20ms);
        for (auto const& call : fleet.relayCalls())
            fleet.answerRelay(call, {});
        fleet.succeedDirectCalls();
    }
    CHECK(fleet.engine.counters().extraCallsDenied > 0);
    (void)fleet.arrive("/gather/3");
    auto const extendedTimeLimit = fleet.relayCalls().back().relayed->answerTimeLimit;
    CHECK(extendedTimeLimit > 2 * defaultTimeLimit);
    CHECK(extendedTimeLimit < 100ms);
}

TEST(Relay, RelayIsLateSoonerOnceRelaysAreKnownToBeQuick)
{
    fleet_across_data_centres fleet;
    for (int count = 0; count < 60; ++count) {
        fleet.arrive("/gather/1");
        fleet.pass(3ms);
        fleet.succeedDirectCalls();
        auto const call = fleet.relayCalls().front();
        fleet.answerRelay(call, call.relayed->shardIndices);
        fleet.pass(1s);
    }
    fleet.arrive("/gather/1");
    fleet.pass(3ms);
    fleet.succeedDirectCalls();
    fleet.pass(25ms);
    auto const replacements = fleet.openCalls();
    LONGS_EQUAL(remoteShardCount, std::count_if(replacements.begin(), replacements.end(), [](auto const& each) { return !each.relayed; }));
}

TEST(Relay, RelayedRequestWaitsWhileItsShardsAreSlowTogether)
{
    fleet_across_data_centres fleet;
    auto const token = fleet.sendRelayedRequest("/gather/1", { 3, { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9 }, 15ms, 40ms });
    fleet.pass(39ms);
    CHECK(!fleet.answerOf(token));
    fleet.pass(1ms);
    CHECK(fleet.answerOf(token));
}

TEST(Relay, RelayedRequestIsAnsweredAtItsLimitWhenFewShardsAreMissing)
{
    fleet_across_data_centres fleet;
    auto const token = fleet.sendRelayedRequest("/gather/1", { 3, { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9 }, 15ms, 40ms });
    fleet.pass(5ms);
    auto const calls = fleet.openCalls();
    for (std::size_t index = 0; index < 8; ++index)
        fleet.succeed(calls[index].number);
    fleet.pass(10ms);
    CHECK(fleet.answerOf(token));
    LONGS_EQUAL(2, fleet.answerOf(token)->missingParts);
}

TEST(Relay, ShardsWhoseLeafsNamedALimitAreCalledDirectly)
{
    fleet_across_data_centres fleet;
    fleet.arrive("/gather/1");
    fleet.succeedDirectCalls();
    auto const call = fleet.relayCalls().front();
    auto const limitedShard = call.relayed->shardIndices.front();
    auto const limitedLeaf = "shard" + std::to_string(limitedShard) + "/0";
    leaf_reply answer;
    answer.status = 200;
    answer.leafLimits = { { limitedLeaf, 1000 }, { "unknown leaf", 1 } };
    fleet.reply(call.number, std::move(answer));
    fleet.succeedDirectCalls();
    fleet.pass(100ms);
    fleet.arrive("/gather/1");
    auto const relayed = fleet.relayCalls().front().relayed->shardIndices;
    LONGS_EQUAL(remoteShardCount - 1, relayed.size());
    CHECK(std::find(relayed.begin(), relayed.end(), limitedShard) == relayed.end());
}

// Guards against: a time from another daemon that is out of range overflows, and seems to have passed already.
TEST(Relay, TimesOutOfRangeStayInTheFuture)
{
    auto const protocol = forwarding::makeRelayProtocol();
    for (std::string const time : { "9223372036854775807", "9223372036855" }) {
        forwarding::caller_request request { .method = "GET", .target = "/gather/1", .host = "host" };
        for (auto const* const name : { "X-Relay-Answer-Within-Ms", "X-Relay-Latest-Answer-Ms", "X-Relay-Patience-Ms", "X-Relay-Objective-Ms" })
            protocol.parseRequestHeader(name, time, request);
        for (auto const limit : { request.relayed->answerTimeLimit, request.relayed->latestAnswerTimeLimit, *request.timeLimit, request.detoured->objectiveLeft })
            CHECK(limit >= 1h && limit <= 24h);
    }
}
