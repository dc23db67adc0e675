// Load pattern: daemons stop one after the other while the others send extra calls.

#include "Tests/Support/engine_harness.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::engine_harness;

namespace {

/// A daemon whose first call of each request fails, so that each request asks for a retry.
struct retrying_daemon : engine_harness {
    retrying_daemon()
        : engine_harness(settings())
    {
        declare(1, { singleRoute(true) });
        registerLeafs({ "desk" }, 2);
    }

    static forwarding::engine_settings settings()
    {
        auto made = defaultSettings();
        made.extraCalls = { 0, 10s, 50 };
        return made;
    }

    void shareSlack(std::size_t daemons)
    {
        forwarding::fleet_share share;
        share.daemonsSharingSlack = daemons;
        engine.setFleetShare(share, now());
    }

    /// Returns the number of retries that the budget allows for a number of requests.
    std::size_t countRetries(int requests)
    {
        auto const before = engine.counters().retries;
        for (int count = 0; count < requests; ++count) {
            arrive("/single/1");
            fail(openCalls("desk").front().number, forwarding::call_failure::broken);
            for (auto const& call : openCalls("desk"))
                succeed(call.number);
            pass(20ms);
        }
        return engine.counters().retries - before;
    }
};

}

TEST_GROUP(SlackSharing) {};

// Guards against daemons that take over the slack of those that leave, while the calls of those still count in the window.
TEST(SlackSharing, SlackOfDaemonsThatLeaveIsFreeAfterOneWindow)
{
    retrying_daemon daemon;
    daemon.shareSlack(5);
    LONGS_EQUAL(8, daemon.countRetries(30));
    daemon.shareSlack(4);
    daemon.shareSlack(2);
    LONGS_EQUAL(0, daemon.countRetries(30));
    daemon.pass(12s);
    LONGS_EQUAL(20, daemon.countRetries(50));
}

TEST(SlackSharing, DaemonWithoutAShareHasNone)
{
    retrying_daemon daemon;
    daemon.shareSlack(5);
    daemon.shareSlack(0);
    LONGS_EQUAL(0, daemon.countRetries(30));
}
