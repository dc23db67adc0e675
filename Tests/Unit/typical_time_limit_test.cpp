#include "Libraries/zinnialedge/limits/typical_time_limit.h"
#include "Tests/Support/engine_harness.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using limits::typical_time_limit;
using tests::engine_harness;

// Failure pattern: urgent queries of callers that look up daemons and open a connection first. They tell a shorter time limit, since a part of
// the objective has passed before the request arrives.

// Guards against ages that are made up from limits that only few requests tell.
TEST_GROUP(TypicalTimeLimit) {};

TEST(TypicalTimeLimit, IsUnknownWhileNoLimitIsFrequent)
{
    typical_time_limit limit;
    for (int count = 0; count < 100; ++count)
        limit.record(std::chrono::milliseconds { 200 + count });
    CHECK(!limit.value());
    CHECK(limit.ageOf(150ms, 60ms) == kernel::duration::zero());
}

TEST(TypicalTimeLimit, DelayedRequestsAreOlder)
{
    typical_time_limit limit;
    for (int count = 0; count < 40; ++count)
        limit.record(count % 2 == 0 ? 250ms : std::chrono::milliseconds { 210 + count });
    CHECK(limit.value() == 250ms);
    CHECK(limit.ageOf(230ms, 30ms) == kernel::duration { 20ms });
    CHECK(limit.ageOf(250ms, 30ms) == kernel::duration::zero());
    // A second attempt, and callers with limits of their own.
    CHECK(limit.ageOf(150ms, 30ms) == kernel::duration::zero());
    CHECK(limit.ageOf(900ms, 30ms) == kernel::duration::zero());
}

TEST(TypicalTimeLimit, FewCallersWithALongLimitDoNotMakeOthersOlder)
{
    typical_time_limit limit;
    for (int count = 0; count < 64; ++count)
        limit.record(count % 5 == 0 ? 1000ms : 980ms);
    CHECK(limit.value() == 980ms);
}

TEST(TypicalTimeLimit, FollowsCallersWhoseLimitChanges)
{
    typical_time_limit limit;
    for (int count = 0; count < 40; ++count)
        limit.record(250ms);
    for (std::size_t count = 0; count < typical_time_limit::capacity; ++count)
        limit.record(400ms);
    CHECK(limit.value() == 400ms);
}

// Guards against late answers to requests whose callers had to open a connection first: before, each request had the complete objective from
// its arrival on.
TEST(TypicalTimeLimit, AnswersToOlderRequestsComeEarlier)
{
    engine_harness fleet;
    fleet.declare(1, { engine_harness::gatherRoute(20, 0.89) });
    auto const shards = engine_harness::gatherRoute(20, 0.89).gather.shards;
    fleet.registerLeafs(shards, 2);
    fleet.setTransitTime(6ms);
    auto const answerTimeOf = [&](std::chrono::milliseconds timeLimit) {
        auto const token = fleet.arrive("/gather/1", timeLimit);
        auto const startedAt = fleet.now();
        for (auto const& call : fleet.openCalls()) {
            if (!call.leafId.starts_with("shard3/"))
                fleet.succeed(call.number);
        }
        while (!fleet.answerOf(token))
            fleet.pass(1ms);
        auto const elapsed = fleet.now() - startedAt;
        for (auto const& call : fleet.openCalls())
            fleet.succeed(call.number);
        fleet.pass(5s);
        return elapsed;
    };
    for (std::size_t count = 0; count < typical_time_limit::minimumCount; ++count)
        answerTimeOf(600ms);
    CHECK(answerTimeOf(600ms) > 80ms);
    auto const elapsed = answerTimeOf(570ms);
    CHECK(elapsed > 50ms && elapsed + 30ms + 3ms < 100ms);
}
