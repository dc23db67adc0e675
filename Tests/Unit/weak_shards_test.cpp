#include "Libraries/zinnialedge/limits/weak_shards.h"
#include "Tests/Support/engine_harness.h"
#include <CppUTest/TestHarness.h>
#include <set>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::engine_harness;

namespace {

/// Twenty shards of two leafs, some of which are slow.
struct fleet_with_slow_shards : engine_harness {
    fleet_with_slow_shards(double leastShare, std::set<std::string> slowShards)
        : slow(std::move(slowShards))
    {
        declare(1, { gatherRoute(20, leastShare) });
        registerLeafs(gatherRoute(20, leastShare).gather.shards, 2);
    }

    bool isSlow(forwarding::leaf_call const& call) const { return slow.contains(call.leafId.substr(0, call.leafId.find('/'))); }

    /// One request whose quick leafs answer after 5 ms and whose slow ones after 150 ms. Returns the shards that were called.
    std::set<std::string> serve(std::chrono::milliseconds rest = 0ms)
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
        isAnsweredEarly = answerOf(lastToken) != nullptr;
        pass(145ms);
        for (auto const& call : openCalls())
            succeed(call.number);
        pass(rest);
        return called;
    }

    std::size_t countServedWithout(std::string const& shard, std::size_t requests)
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < requests; ++index)
            count += serve().contains(shard) ? 0 : 1;
        return count;
    }

    std::set<std::string> slow;
    forwarding::request_token lastToken { 0 };
    /// By the time at which the quick leafs had answered.
    bool isAnsweredEarly { false };
};

}

// Pattern: graceful degradation. Leafs of some shards are slow, and answers may lack some shards.
TEST_GROUP(WeakShards) {};

TEST(WeakShards, AShardThatWouldAnswerTooLateIsNotAskedWhileAnAnswerMayLackIt)
{
    fleet_with_slow_shards fleet { 0.89, { "shard3" } };
    fleet.countServedWithout("shard3", 20);
    std::size_t early = 0;
    std::size_t without = 0;
    for (int index = 0; index < 50; ++index) {
        bool const isLeftOut = !fleet.serve().contains("shard3");
        without += isLeftOut ? 1 : 0;
        if (!isLeftOut)
            continue;
        early += fleet.isAnsweredEarly ? 1 : 0;
        auto const* const answer = fleet.answerOf(fleet.lastToken);
        LONGS_EQUAL(19, answer->partSeals.size());
        LONGS_EQUAL(1, answer->missingParts);
    }
    CHECK(without >= 35);
    LONGS_EQUAL(without, early);
}

TEST(WeakShards, NowAndThenASlowShardIsAsked)
{
    fleet_with_slow_shards fleet { 0.89, { "shard3" } };
    fleet.countServedWithout("shard3", 20);
    CHECK(fleet.countServedWithout("shard3", 100) < 100);
}

TEST(WeakShards, OfMoreSlowShardsThanMayLackOthersAreAskedEachTime)
{
    fleet_with_slow_shards fleet { 0.89, { "shard3", "shard7", "shard9" } };
    fleet.countServedWithout("shard3", 20);
    for (auto const* const shard : { "shard3", "shard7", "shard9" }) {
        auto const without = fleet.countServedWithout(shard, 60);
        CHECK(without >= 20);
        CHECK(without <= 55);
    }
}

TEST(WeakShards, AnAnswerThatMustBeWholeAsksAllShards)
{
    fleet_with_slow_shards fleet { 1, { "shard3" } };
    LONGS_EQUAL(0, fleet.countServedWithout("shard3", 60));
}

TEST(WeakShards, AShardThatHasRecoveredIsAskedAgain)
{
    fleet_with_slow_shards fleet { 0.89, { "shard3" } };
    fleet.countServedWithout("shard3", 30);
    fleet.slow.clear();
    for (int index = 0; index < 60; ++index)
        fleet.serve();
    LONGS_EQUAL(0, fleet.countServedWithout("shard3", 20));
}

TEST(WeakShards, APausedLeafDoesNotMakeItsShardWeak)
{
    fleet_with_slow_shards fleet { 0.89, {} };
    fleet.serve();
    auto const token = fleet.arrive("/gather/1");
    auto const paused = fleet.openCalls("shard3").front().number;
    for (auto const& call : fleet.openCalls()) {
        if (call.number != paused)
            fleet.succeed(call.number);
    }
    fleet.pass(90ms);
    CHECK(fleet.answerOf(token));
    fleet.arrive("/gather/1");
    LONGS_EQUAL(20, fleet.openCalls().size() - fleet.openCalls("shard3").size() + 1);
    CHECK(fleet.openCalls("shard3").size() >= 2);
}

TEST(WeakShards, AShardThatWasLeftOutIsAskedWhenAnotherOneFails)
{
    fleet_with_slow_shards fleet { 0.95, { "shard3" } };
    fleet.countServedWithout("shard3", 20);
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

TEST(WeakShards, NoMoreAreLeftOutThanMayBe)
{
    limits::weak_shard_question const question { std::vector<kernel::duration>(20, 200ms), 80ms, 2 };
    auto const random = kernel::makeSeededRandom(5);
    for (int index = 0; index < 100; ++index) {
        auto const leftOut = limits::chooseLeftOutShards(question, random);
        LONGS_EQUAL(2, leftOut.size());
        CHECK(leftOut[0] < leftOut[1]);
    }
}
