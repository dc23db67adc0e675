// Events that a daemon handles late, because its process was paused: sockets are often served before timers.

#include "Tests/Support/engine_harness.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using forwarding::call_failure;
using tests::engine_harness;

namespace {

/// The service "desk" with one leaf whose connections are few.
struct delayed_daemon : engine_harness {
    delayed_daemon()
    {
        forwarding::service_rules rules { "desk", 1 };
        engine.setRoutes(std::make_shared<forwarding::route_table const>(forwarding::route_declarations { 1, { singleRoute(false) }, { rules }, {} }), now());
        registerLeafs({ "desk" }, 1);
    }
};

}

TEST_GROUP(DelayedProcess) {};

// Guards against work for a caller whose time has passed, on a connection that opened while the process was paused.
TEST(DelayedProcess, CallOfAnEndedTimeIsNotSentOnANewConnection)
{
    delayed_daemon daemon;
    auto const token = daemon.arrive("/single/1", 1000ms);
    auto const call = daemon.openCalls("desk").front();
    CHECK(daemon.engine.isCallWanted(call.number, daemon.now() + 10ms));
    CHECK(!daemon.engine.isCallWanted(call.number, daemon.now() + 3s));
    daemon.fail(call.number, call_failure::withheld);
    daemon.pass(3s);
    LONGS_EQUAL(503, daemon.answerOf(token)->status);
}

TEST(DelayedProcess, CallOfACallerWhoHasLeftIsNotSentOnANewConnection)
{
    delayed_daemon daemon;
    auto const token = daemon.arrive("/single/1", 1000ms);
    auto const call = daemon.openCalls("desk").front();
    daemon.engine.handleCallerDisconnect(token, daemon.now());
    CHECK(!daemon.engine.isCallWanted(call.number, daemon.now()));
}

// Guards against a queued request that is sent after its time because the end of another call is handled before the timers.
TEST(DelayedProcess, QueuedRequestOfAnEndedTimeIsNotSent)
{
    delayed_daemon daemon;
    daemon.arrive("/single/1", 5000ms);
    auto const first = daemon.openCalls("desk").front();
    auto const queued = daemon.arrive("/single/2", 1000ms);
    LONGS_EQUAL(1, daemon.openCalls("desk").size());
    forwarding::leaf_reply reply;
    reply.status = 200;
    reply.seal = "seal";
    reply.attemptId = first.request->attemptId;
    daemon.engine.handleCallEnd(first.number, std::move(reply), daemon.now() + 3s);
    LONGS_EQUAL(1, daemon.openCalls("desk").size());
    daemon.pass(4s);
    LONGS_EQUAL(503, daemon.answerOf(queued)->status);
}
