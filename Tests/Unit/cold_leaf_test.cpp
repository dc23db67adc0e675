// Load pattern: leafs that have just started accept few requests per second from all daemons together, and crash under more.

#include "Tests/Support/cold_fleet.h"
#include "platform/edge_codec.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using forwarding::leaf_reply;
using tests::cold_fleet;
using tests::cold_fleet_settings;

namespace {

double boundOf(double rate)
{
    return rate * 1.5 + 5;
}

void checkBound(cold_fleet const& fleet, double rate)
{
    CHECK(static_cast<double>(fleet.mostInOneSecond("desk/0")) <= boundOf(rate));
}

/// Returns a sealed reply that tells the remaining warm-up time.
leaf_reply warmingReply(std::chrono::milliseconds left)
{
    leaf_reply made;
    made.status = 200;
    made.seal = "seal";
    made.warmupLeft = left;
    return made;
}

}

TEST_GROUP(ColdLeaf) {};

// Guards against a cold leaf that all daemons together call far above what it accepts, and against one that gets no calls.
TEST(ColdLeaf, ThirtyDaemonsTogetherKeepTheLimitAndUseIt)
{
    for (auto const rate : { 2.0, 20.0 }) {
        cold_fleet fleet { { .coldRequestsPerSecond = rate } };
        fleet.registerLeafs({ 60s });
        fleet.press(30s);
        checkBound(fleet, rate);
        CHECK(static_cast<double>(fleet.arrivals("desk/0").size()) >= 0.7 * rate * 30);
    }
}

// Guards against daemons that have just started, know nobody, and each take the complete rate.
TEST(ColdLeaf, DaemonsThatStartTogetherKeepTheLimit)
{
    for (auto const rate : { 2.0, 20.0 }) {
        cold_fleet fleet { { .coldRequestsPerSecond = rate, .knowEachOther = false } };
        fleet.registerLeafs({ 60s });
        fleet.press(3s);
        for (std::size_t index = 0; index < fleet.daemons().size(); ++index)
            fleet.daemons()[index]->share(30, (static_cast<double>(index) + 0.5) / 30);
        fleet.press(15s);
        checkBound(fleet, rate);
    }
}

TEST(ColdLeaf, DaemonsThatAreKilledAndRestartedTogetherKeepTheLimit)
{
    static constexpr double rate = 20;
    cold_fleet fleet { { .coldRequestsPerSecond = rate } };
    fleet.registerLeafs({ 60s });
    fleet.press(5s);
    for (std::size_t index = 0; index < fleet.daemons().size(); ++index)
        fleet.restart(index);
    fleet.press(4s);
    checkBound(fleet, rate);
}

// Guards against daemons that are cut off, see the others leave, and take their shares while they use them.
TEST(ColdLeaf, DaemonsThatAreCutOffKeepTheirSharesOnly)
{
    static constexpr double rate = 20;
    cold_fleet fleet { { .coldRequestsPerSecond = rate } };
    fleet.registerLeafs({ 60s });
    fleet.press(2s);
    fleet.cutOff();
    fleet.press(19s);
    checkBound(fleet, rate);
}

// Guards against saved calls that all daemons send at once when a warm leaf becomes cold again.
TEST(ColdLeaf, LeafThatBecomesColdAgainIsCalledWithoutSavedCalls)
{
    static constexpr double rate = 5;
    cold_fleet fleet { { .coldRequestsPerSecond = rate, .requestInterval = 100ms } };
    fleet.registerLeafs({ 0s, 0s });
    fleet.press(2s);
    fleet.registerLeafs({ 30s, 0s });
    fleet.clearArrivals();
    fleet.press(20s);
    checkBound(fleet, rate);
    CHECK(fleet.daemons().front()->engine.leafs().coldCount(fleet.now()) == 1);
    CHECK(fleet.daemons().front()->engine.counters().leafsBecameCold == 1);
}

// Guards against hedges, probes and calls for other daemons that count against no limit.
TEST(ColdLeaf, HedgesRelaysAndProbesCount)
{
    cold_fleet fleet { { .daemons = 1, .coldRequestsPerSecond = 1 } };
    auto& daemon = *fleet.daemons().front();
    fleet.registerLeafs({ 60s, 60s });
    auto sends = 0;
    for (auto const end = daemon.now() + 10s; daemon.now() < end; daemon.pass(10ms)) {
        daemon.arrive("/single/1");
        daemon.sendDetouredRequest("/single/1", { 1, 300ms, 0, false });
        daemon.sendRelayedRequest("/single/1", { 1, { 0 }, 300ms, 300ms });
        auto const calls = daemon.openCalls("desk");
        for (auto const& call : calls)
            daemon.fail(call.number, forwarding::call_failure::broken);
        sends += static_cast<int>(calls.size());
    }
    LONGS_EQUAL(daemon.engine.counters().calls, sends);
    CHECK(daemon.engine.counters().probes > 0);
    CHECK(static_cast<double>(daemon.engine.counters().calls + daemon.engine.counters().probes) <= 2 * (10 + boundOf(1)));
    CHECK(daemon.engine.leafs().heldBackCount() > 0);
}

TEST(ColdLeaf, ReplyTellsWhenTheWarmupEnds)
{
    cold_fleet fleet { { .daemons = 1 } };
    auto& daemon = *fleet.daemons().front();
    fleet.registerLeafs({ 0s });
    daemon.arrive("/single/1");
    auto const call = daemon.openCalls().front();
    auto const& record = daemon.engine.leafs().at(call.leaf);
    CHECK(!record.isCold(daemon.now()));
    daemon.reply(call.number, warmingReply(3s));
    CHECK(record.isCold(daemon.now() + 2999ms));
    CHECK(!record.isCold(daemon.now() + 3s));
    // A reply of unknown age can't end it.
    daemon.engine.handleUnmatchedReply(call.leaf, warmingReply(0s), daemon.now());
    CHECK(record.isCold(daemon.now()));
    auto misdirected = warmingReply(60s);
    misdirected.isMisdirected = true;
    daemon.engine.handleUnmatchedReply(call.leaf, misdirected, daemon.now());
    CHECK(!record.isCold(daemon.now() + 3s));
}

// Guards against a leaf that is called at full rate after an evacuation because an old registration says that it is warm.
TEST(ColdLeaf, OnlyLaterNewsEndWhatMadeItCold)
{
    kernel::time_point const now { 1h };
    forwarding::leaf_registration registration { "desk/0", 1, "desk", { "10.0.0.1", 80 }, "here", 4, false, 0s, 7 };
    forwarding::leaf_record record { registration, 10, now };
    record.becomeCold(30s, now + 1s);
    record.updateRegistration(registration, now + 2s);
    CHECK(record.isCold(now + 2s));
    record.recordWarmup(0s, now, now + 3s);
    CHECK(record.isCold(now + 3s));
    registration.revision = 8;
    record.updateRegistration(registration, now + 4s);
    CHECK(!record.isCold(now + 4s));
    // The same entry, passed on again, does not extend the warm-up.
    registration.revision = 9;
    registration.warmupLeft = 5s;
    record.updateRegistration(registration, now + 5s);
    record.updateRegistration(registration, now + 8s);
    CHECK(!record.isCold(now + 10s));
}

// Guards against a relay that calls a cold leaf with its own share although this daemon has one too.
TEST(ColdLeaf, ColdLeafsInOtherDataCentresAreCalledDirectly)
{
    forwarding::service_rules desk { .name = "desk" };
    desk.coldRequestsPerSecond = 100;
    forwarding::leaf_roster roster { "here", kernel::makeSeededRandom(1) };
    kernel::time_point const now { 1h };
    roster.setConnectionSharing(std::make_shared<forwarding::route_table const>(forwarding::route_declarations { 1, {}, { desk }, {} }), 1, now);
    roster.setLimitSharers(1, 0, now);
    roster.replaceRegistrations({ { "a", 1, "desk", {}, "here", 1, false, 30s }, { "b", 1, "desk", {}, "there", 1, false, 30s } }, now);
    auto const later = roster.nextCallTime("desk", {}, 0, now + 10s).value();
    CHECK(roster.hasHealthyLeafIn("desk", "here", 1s, later));
    CHECK(!roster.hasHealthyLeafIn("desk", "there", 1s, later));
    CHECK(roster.hasHealthyLeafIn("desk", "there", 1s, now + 31s));
}

TEST(ColdLeaf, LeafWithoutADeclaredLimitIsNotLimited)
{
    cold_fleet fleet { { .daemons = 1, .coldRequestsPerSecond = 0, .warmupTime = {} } };
    fleet.registerLeafs({ 60s });
    fleet.press(1s);
    CHECK(fleet.arrivals("desk/0").size() >= 49);
    LONGS_EQUAL(0, fleet.daemons().front()->engine.leafs().startingCount());
}

TEST(ColdLeaf, HeadersHoldTheWarmupAndTheMachineTime)
{
    auto const protocol = platform::makeEdgeProtocol();
    leaf_reply reply;
    CHECK(protocol.parseReplyHeader("Zinnialedge-Warmup-Ms", "2500", reply));
    CHECK(reply.warmupLeft == 2500ms);
    for (auto const* const malformed : { "", "-1", "2.5", "x" }) {
        reply.warmupLeft.reset();
        protocol.parseReplyHeader("Zinnialedge-Warmup-Ms", malformed, reply);
        CHECK(!reply.warmupLeft);
    }
    protocol.parseReplyHeader("Zinnialedge-Server-Load", "1,2,4,150", reply);
    CHECK(reply.load == (forwarding::leaf_load { 1, 2, 4, 150 }));
    protocol.parseReplyHeader("Zinnialedge-Server-Load", "1,2,4", reply);
    CHECK(reply.load == (forwarding::leaf_load { 1, 2, 4, {} }));
    for (auto const* const malformed : { "1,2", "1,2,4,", "1,2,4,5,6", "1,2,4,x" }) {
        protocol.parseReplyHeader("Zinnialedge-Server-Load", malformed, reply);
        CHECK(!reply.load);
    }
}
