#include "Libraries/zinnialedge/limits/weak_shards.h"
#include "Tests/Support/engine_harness.h"
#include <CppUTest/TestHarness.h>
#include <set>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::engine_harness;

namespace {

/// Twenty shards with two leafs each; all leafs of some shards are slow.
struct fleet_with_slow_shards : engine_harness {
    fleet_with_slow_shards(double minimumCoverage, std::set<std::string> slowShardNames)
        : slowShards(std::move(slowShardNames))
    {
        declare(1, { gatherRoute(20, minimumCoverage) });
        registerLeafs(gatherRoute(20, minimumCoverage).gather.shards, 2);
    }

    bool isSlow(forwarding::leaf_call const& call) const { return slowShards.contains(call.leafId.substr(0, call.leafId.find('/'))); }

    /// Serves one request: fast leafs reply after 5 ms, slow leafs after 150 ms. Returns the shards called at the start.
    std::set<std::string> serve(std::chrono::milliseconds idleTime = 0ms)
    {
        lastToken = arrive("/gather/1");
        std::set<std::string> called;
        for (auto const& call : openCalls())
            called.insert(call.leafId.substr(0, call.leafId.find('/')));
        pass(5ms);
        for (auto const& call : openCalls()) {
            if (!isSlow(call))
                succeed(call.number);
        }
        wasAnsweredByFastLeafs = answerOf(lastToken) != nullptr;
        pass(145ms);
        for (auto const& call : openCalls())
            succeed(call.number);
        pass(idleTime);
        return called;
    }

    std::size_t countRequestsWithout(std::string const& shard, std::size_t requests)
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < requests; ++index)
            count += serve().contains(shard) ? 0 : 1;
        return count;
    }

    std::set<std::string> slowShards;
    forwarding::request_token lastToken { 0 };
    /// True when the last request was answered as soon as the fast leafs had replied.
    bool wasAnsweredByFastLeafs { false };
};

}

// Failure pattern: slow shards. The leafs of some shards reply after the objective, and answers may lack some shards.
TEST_GROUP(WeakShards) {};

TEST(WeakShards, SlowShardIsSkippedWhileItMayBeMissing)
{
    fleet_with_slow_shards fleet { 0.89, { "shard3" } };
    fleet.countRequestsWithout("shard3", 20);
    std::size_t earlyAnswerCount = 0;
    std::size_t skippedCount = 0;
    for (int index = 0; index < 50; ++index) {
        bool const isSkipped = !fleet.serve().contains("shard3");
        skippedCount += isSkipped ? 1 : 0;
        if (!isSkipped)
            continue;
        earlyAnswerCount += fleet.wasAnsweredByFastLeafs ? 1 : 0;
        auto const* const answer = fleet.answerOf(fleet.lastToken);
        LONGS_EQUAL(19, answer->partSeals.size());
        LONGS_EQUAL(1, answer->missingParts);
    }
    CHECK(skippedCount >= 35);
    LONGS_EQUAL(skippedCount, earlyAnswerCount);
}

TEST(WeakShards, SlowShardIsProbedOccasionally)
{
    fleet_with_slow_shards fleet { 0.89, { "shard3" } };
    fleet.countRequestsWithout("shard3", 20);
    CHECK(fleet.countRequestsWithout("shard3", 100) < 100);
}

TEST(WeakShards, SkippedShardsAlternateWhenMoreAreSlowThanMayBeMissing)
{
    fleet_with_slow_shards fleet { 0.89, { "shard3", "shard7", "shard9" } };
    fleet.countRequestsWithout("shard3", 20);
    for (auto const* const shard : { "shard3", "shard7", "shard9" }) {
        auto const skippedCount = fleet.countRequestsWithout(shard, 60);
        CHECK(skippedCount >= 20);
        CHECK(skippedCount <= 55);
    }
}

TEST(WeakShards, CompleteAnswerQueriesAllShards)
{
    fleet_with_slow_shards fleet { 1, { "shard3" } };
    LONGS_EQUAL(0, fleet.countRequestsWithout("shard3", 60));
}

TEST(WeakShards, RecoveredShardIsQueriedAgain)
{
    fleet_with_slow_shards fleet { 0.89, { "shard3" } };
    fleet.countRequestsWithout("shard3", 30);
    fleet.slowShards.clear();
    for (int index = 0; index < 60; ++index)
        fleet.serve();
    LONGS_EQUAL(0, fleet.countRequestsWithout("shard3", 20));
}

TEST(WeakShards, SinglePausedLeafDoesNotMakeItsShardSlow)
{
    fleet_with_slow_shards fleet { 0.89, {} };
    fleet.serve();
    auto const token = fleet.arrive("/gather/1");
    auto const pausedCall = fleet.openCalls("shard3").front().number;
    for (auto const& call : fleet.openCalls()) {
        if (call.number != pausedCall)
            fleet.succeed(call.number);
    }
    fleet.pass(90ms);
    CHECK(fleet.answerOf(token));
    fleet.arrive("/gather/1");
    LONGS_EQUAL(20, fleet.openCalls().size() - fleet.openCalls("shard3").size() + 1);
    CHECK(fleet.openCalls("shard3").size() >= 2);
}

TEST(WeakShards, SkippedShardIsQueriedWhenAnotherShardFails)
{
    fleet_with_slow_shards fleet { 0.95, { "shard3" } };
    fleet.countRequestsWithout("shard3", 20);
    while (fleet.serve().contains("shard3"))
        continue;
    auto const token = fleet.arrive("/gather/1");
    if (!fleet.openCalls("shard3").empty())
        return;
    for (int attempt = 0; attempt < 2; ++attempt)
        fleet.fail(fleet.openCalls("shard5").front().number, forwarding::call_failure::broken);
    CHECK(!fleet.answerOf(token));
    LONGS_EQUAL(1, fleet.openCalls("shard3").size());
    for (auto const& call : fleet.openCalls())
        fleet.succeed(call.number);
    auto const* const answer = fleet.answerOf(token);
    CHECK(answer);
    LONGS_EQUAL(200, answer->status);
    LONGS_EQUAL(1, answer->missingParts);
}

TEST(WeakShards, SkippedShardsStayWithinTheAllowedMissingShards)
{
    limits::shard_skip_input const question { std::vector<kernel::duration>(20, 200ms), 80ms, 2 };
    auto const random = kernel::makeSeededRandom(5);
    for (int index = 0; index < 100; ++index) {
        auto const skipped = limits::chooseSkippedShards(question, random);
        LONGS_EQUAL(2, skipped.size());
        CHECK(skipped[0] < skipped[1]);
    }
}
