#include "Tests/Support/engine_harness.h"
#include <CppUTest/TestHarness.h>
#include <unistd.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using errors::error_kind;
using forwarding::call_failure;
using forwarding::leaf_reply;
using tests::engine_harness;

namespace {

std::vector<std::string> shardNames(std::size_t count)
{
    return engine_harness::gatherRoute(count, 1).gather.shards;
}

/// Twenty shards with two leafs each, and the service "desk" with two leafs.
struct fleet_of_twenty : engine_harness {
    explicit fleet_of_twenty(double minimumCoverage = 0.89, bool isSingleRepeatable = true)
    {
        declare(1, { gatherRoute(20, minimumCoverage), singleRoute(isSingleRepeatable) });
        auto services = shardNames(20);
        services.emplace_back("desk");
        registerLeafs(services, 2);
    }

    void succeedAllBut(std::string const& service)
    {
        for (auto const& call : openCalls()) {
            if (!call.leafId.starts_with(service + "/"))
                succeed(call.number);
        }
    }
};

leaf_reply errorReply(int status)
{
    leaf_reply reply;
    reply.status = status;
    reply.seal = "seal";
    return reply;
}

}

TEST_GROUP(RequestEngine) {};

TEST(RequestEngine, CompleteGatherContainsEachPartOnce)
{
    fleet_of_twenty fleet;
    auto const token = fleet.arrive("/gather/1");
    LONGS_EQUAL(20, fleet.openCalls().size());
    fleet.succeedAllBut("none");
    auto const* const answer = fleet.answerOf(token);
    CHECK(answer);
    CHECK(answer->isMerged);
    LONGS_EQUAL(20, answer->partSeals.size());
    LONGS_EQUAL(0, answer->missingParts);
}

TEST(RequestEngine, PartialAnswerIsSentAtTheObjective)
{
    fleet_of_twenty fleet;
    auto const token = fleet.arrive("/gather/1");
    fleet.succeedAllBut("shard3");
    fleet.pass(50ms);
    CHECK(!fleet.answerOf(token));
    fleet.pass(50ms);
    auto const* const answer = fleet.answerOf(token);
    CHECK(answer);
    LONGS_EQUAL(19, answer->partSeals.size());
    LONGS_EQUAL(1, answer->missingParts);
}

// Failure pattern: late answers. Callers that are far away or open new connections lose part of the objective in transit, and
// one shard is slow.
TEST(RequestEngine, CallerRoundTripIsSubtractedFromTheObjective)
{
    fleet_of_twenty fleet;
    auto const measureAnswerTime = [&](std::chrono::milliseconds transit) {
        fleet.setTransitTime(transit);
        auto const token = fleet.arrive("/gather/1");
        auto const startedAt = fleet.now();
        fleet.succeedAllBut("shard3");
        while (!fleet.answerOf(token))
            fleet.pass(1ms);
        auto const elapsed = fleet.now() - startedAt;
        for (auto const& call : fleet.openCalls())
            fleet.succeed(call.number);
        fleet.pass(5s);
        return elapsed;
    };
    auto const nearCallerTime = measureAnswerTime(2ms);
    auto const farCallerTime = measureAnswerTime(30ms);
    CHECK(nearCallerTime > 85ms && nearCallerTime + 2ms < 100ms);
    CHECK(farCallerTime > 55ms && farCallerTime + 30ms < 100ms);
}

TEST(RequestEngine, CoverageBelowTheMinimumIsAnError)
{
    fleet_of_twenty fleet;
    auto const token = fleet.arrive("/gather/1");
    for (auto const& call : fleet.openCalls()) {
        if (!call.leafId.starts_with("shard1"))
            fleet.succeed(call.number);
    }
    fleet.pass(1000ms);
    CHECK(!fleet.answerOf(token));
    fleet.pass(500ms);
    auto const* const answer = fleet.answerOf(token);
    CHECK(answer);
    CHECK(answer->error && answer->error->kind == error_kind::deadline_exceeded);
}

TEST(RequestEngine, RequestWithTooFewServableShardsIsRejectedAtOnceAsNotRun)
{
    engine_harness fleet;
    fleet.declare(1, { engine_harness::gatherRoute(20, 0.89) });
    fleet.registerLeafs(shardNames(17), 2);
    auto const token = fleet.arrive("/gather/1");
    auto const* const answer = fleet.answerOf(token);
    CHECK(answer);
    CHECK(answer->error && answer->error->kind == error_kind::no_live_target);
    CHECK(answer->error->retryAfter.has_value());
    LONGS_EQUAL(0, fleet.openCalls().size());
}

TEST(RequestEngine, SlowCallIsHedgedToTheOtherLeaf)
{
    fleet_of_twenty fleet;
    auto const token = fleet.arrive("/gather/1");
    fleet.succeedAllBut("shard3");
    auto const first = fleet.openCalls().front();
    fleet.pass(45ms);
    LONGS_EQUAL(2, fleet.openCalls().size());
    auto const hedge = fleet.openCalls().back();
    CHECK(first.leafId != hedge.leafId);
    fleet.succeed(hedge.number);
    CHECK(fleet.answerOf(token));
    LONGS_EQUAL(0, fleet.answerOf(token)->missingParts);
}

TEST(RequestEngine, LeafsCalledForAShardStayWithinTheAttempts)
{
    engine_harness fleet;
    fleet.declare(1, { engine_harness::gatherRoute(1, 1) });
    fleet.registerLeafs(shardNames(1), 4);
    auto const token = fleet.arrive("/gather/1");
    fleet.fail(fleet.openCalls().front().number, call_failure::broken);
    LONGS_EQUAL(1, fleet.openCalls().size());
    fleet.fail(fleet.openCalls().front().number, call_failure::broken);
    LONGS_EQUAL(0, fleet.openCalls().size());
    CHECK(fleet.answerOf(token)->error->kind == error_kind::leaf_failed);
}

TEST(RequestEngine, NonRepeatableRequestIsNotRetriedAfterALostReply)
{
    fleet_of_twenty fleet { 0.89, false };
    auto const token = fleet.arrive("/single/1");
    fleet.fail(fleet.openCalls("desk").front().number, call_failure::broken);
    LONGS_EQUAL(0, fleet.openCalls("desk").size());
    auto const* const answer = fleet.answerOf(token);
    CHECK(answer);
    CHECK(errors::propertiesOf(answer->error->kind).executionState == errors::execution_state::maybe);
    CHECK(answer->status == 502);
}

TEST(RequestEngine, NonRepeatableRequestIsRetriedAfterTheLeafShedTheCall)
{
    fleet_of_twenty fleet { 0.89, false };
    auto const token = fleet.arrive("/single/1");
    auto const first = fleet.openCalls("desk").front();
    fleet.shed(first.number);
    LONGS_EQUAL(1, fleet.openCalls("desk").size());
    CHECK(fleet.openCalls("desk").front().leafId != first.leafId);
    fleet.shed(fleet.openCalls("desk").front().number);
    auto const* const answer = fleet.answerOf(token);
    CHECK(answer);
    LONGS_EQUAL(503, answer->status);
    CHECK(answer->error->retryAfter.has_value());
}

TEST(RequestEngine, NonRepeatableRequestIsNotHedged)
{
    fleet_of_twenty fleet { 0.89, false };
    (void)fleet.arrive("/single/1", 6000ms);
    fleet.pass(3000ms);
    LONGS_EQUAL(1, fleet.openCalls("desk").size());
}

TEST(RequestEngine, LeafStatusThatGuaranteesNotRunIsNotForwardedUnlessTheLeafConfirms)
{
    fleet_of_twenty fleet { 0.89, false };
    auto const token = fleet.arrive("/single/1");
    fleet.reply(fleet.openCalls("desk").front().number, errorReply(503));
    LONGS_EQUAL(502, fleet.answerOf(token)->status);
    CHECK(fleet.answerOf(token)->seal.empty());
}

TEST(RequestEngine, LeafErrorIsForwardedWithItsSeal)
{
    fleet_of_twenty fleet { 0.89, false };
    auto const token = fleet.arrive("/single/1");
    fleet.reply(fleet.openCalls("desk").front().number, errorReply(500));
    LONGS_EQUAL(500, fleet.answerOf(token)->status);
    STRCMP_EQUAL("seal", fleet.answerOf(token)->seal.c_str());
}

TEST(RequestEngine, SuccessWithoutSealIsNotForwarded)
{
    fleet_of_twenty fleet { 0.89, false };
    auto const token = fleet.arrive("/single/1");
    leaf_reply unsealed;
    unsealed.status = 200;
    fleet.reply(fleet.openCalls("desk").front().number, unsealed);
    LONGS_EQUAL(502, fleet.answerOf(token)->status);
}

TEST(RequestEngine, RequestWithoutConfigurationIsRejected)
{
    engine_harness fleet;
    auto const token = fleet.arrive("/gather/1");
    LONGS_EQUAL(503, fleet.answerOf(token)->status);
    fleet.declare(1, { engine_harness::gatherRoute(1, 1) });
    LONGS_EQUAL(404, fleet.answerOf(fleet.arrive("/other/1"))->status);
}

TEST(RequestEngine, OlderConfigurationIsIgnored)
{
    engine_harness fleet;
    fleet.declare(5, { engine_harness::gatherRoute(1, 1) });
    fleet.declare(4, {});
    fleet.declare(5, {});
    LONGS_EQUAL(5, fleet.engine.routes()->version());
    CHECK(fleet.engine.routes()->find("host", "/gather/1"));
}

TEST(RequestEngine, RequestKeepsTheRouteTableOfItsArrival)
{
    engine_harness fleet;
    fleet.declare(1, { engine_harness::gatherRoute(2, 1) });
    fleet.registerLeafs(shardNames(5), 2);
    auto const token = fleet.arrive("/gather/1");
    fleet.declare(2, { engine_harness::gatherRoute(5, 1) });
    LONGS_EQUAL(2, fleet.openCalls().size());
    fleet.succeed(fleet.openCalls().front().number);
    fleet.succeed(fleet.openCalls().front().number);
    LONGS_EQUAL(2, fleet.answerOf(token)->partSeals.size());
}

TEST(RequestEngine, CallsOfADisconnectedCallerAreCancelledAfterTheObjective)
{
    // The caller disconnects while a leaf is slow. Its calls must be cancelled although the objective passes meanwhile.
    fleet_of_twenty fleet;
    auto const token = fleet.arrive("/gather/1");
    fleet.succeedAllBut("shard3");
    fleet.pass(30ms);
    fleet.engine.handleCallerDisconnect(token, fleet.now());
    auto const open = fleet.openCalls();
    CHECK(!open.empty());
    fleet.pass(400ms);
    LONGS_EQUAL(open.size(), fleet.cancelled().size());
}

TEST(RequestEngine, LosingCallsAreCancelledSoonAfterTheAnswer)
{
    fleet_of_twenty fleet;
    auto const token = fleet.arrive("/gather/1");
    fleet.succeedAllBut("shard3");
    fleet.pass(100ms);
    CHECK(fleet.answerOf(token));
    auto const open = fleet.openCalls();
    LONGS_EQUAL(2, open.size());
    LONGS_EQUAL(0, fleet.cancelled().size());
    fleet.pass(400ms);
    LONGS_EQUAL(2, fleet.cancelled().size());
}

TEST(RequestEngine, IdleRemoteLeafIsNotPreferredToABusierLocalLeaf)
{
    // Many daemons share a low load, so that each daemon calls a leaf about once a second. Traffic between data centres is
    // expensive, so an idle remote leaf must not attract calls.
    engine_harness fleet;
    auto singleAttemptRoute = engine_harness::gatherRoute(1, 1);
    singleAttemptRoute.maximumAttempts = 1;
    fleet.declare(1, { singleAttemptRoute });
    fleet.registerLeafs(shardNames(1), 2);
    int remoteCallCount = 0;
    for (int count = 0; count < 100; ++count) {
        (void)fleet.arrive("/gather/1");
        auto const call = fleet.openCalls().front();
        remoteCallCount += call.leafId == "shard0/1" ? 1 : 0;
        // Every fourth reply is slower.
        fleet.pass(count % 4 == 0 ? 18ms : 11ms);
        fleet.succeed(call.number);
        fleet.pass(1000ms);
    }
    CHECK(remoteCallCount <= 2);
}

TEST(RequestEngine, RecoveredLeafIsCalledAgain)
{
    engine_harness fleet;
    fleet.declare(1, { engine_harness::gatherRoute(1, 1) });
    fleet.registerLeafs(shardNames(1), 2);
    int localCallCount = 0;
    for (int count = 0; count < 400; ++count) {
        (void)fleet.arrive("/gather/1");
        for (auto const& call : fleet.openCalls()) {
            bool const isLocal = call.leafId == "shard0/0";
            localCallCount += isLocal ? 1 : 0;
            fleet.pass(isLocal && count < 100 ? 90ms : 10ms);
            fleet.succeed(call.number);
        }
        fleet.pass(40ms);
    }
    CHECK(localCallCount > 250);
}

// Guards against: a request that waits for admission calls some leafs and fails, or is answered only at its end, when others that it
// needs have gone meanwhile.
TEST(RequestEngine, RequestThatWaitedForLeafsThatAreGoneIsRejectedWhenAdmitted)
{
    engine_harness fleet;
    fleet.declare(1, { engine_harness::gatherRoute(2, 1) });
    fleet.registerLeafs(shardNames(2), 2);
    forwarding::request_token waiting = 0;
    for (int count = 0; count < 9; ++count)
        waiting = fleet.arrive("/gather/" + std::to_string(count));
    CHECK(fleet.answerOf(waiting) == nullptr);
    fleet.registerLeafs(shardNames(1), 2);
    for (auto const& call : fleet.openCalls())
        fleet.succeed(call.number);
    fleet.pass(1ms);
    CHECK(fleet.answerOf(waiting) != nullptr);
    auto const& answer = *fleet.answerOf(waiting);
    CHECK(answer.error && answer.error->kind == error_kind::no_live_target && answer.error->retryAfter);
    LONGS_EQUAL(0, fleet.openCalls().size());
}

// Guards against: timers that are due again at the moment at which they run keep the event loop from everything else.
TEST(RequestEngine, ATimerThatIsDueAgainAtOnceWaitsForALaterTurn)
{
    engine_harness fleet;
    auto route = engine_harness::singleRoute(true);
    route.objective = 0ms;
    fleet.declare(1, { route });
    fleet.registerLeafs({ "desk" }, 1);
    (void)fleet.arrive("/single/1");
    // Ends the process when the run has no end.
    ::alarm(20);
    fleet.engine.runTimers(fleet.now());
    ::alarm(0);
    CHECK(fleet.engine.nextTimerTime() == fleet.now());
}
