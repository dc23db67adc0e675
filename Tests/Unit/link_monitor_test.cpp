#include "Libraries/zinnialedge/reachability/link_monitor.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using reachability::leaf_key;
using reachability::link_monitor;
using reachability::link_state;

namespace {

constexpr std::size_t leafCount = 8;

/// A monitor on virtual time. The test takes the part of the leafs.
struct monitored_links {
    explicit monitored_links(std::size_t leafs = leafCount)
    {
        monitor.setLeafCount(leafs, now);
    }

    /// Advances the time in steps of 10 ms, and returns the number of probes that became due.
    std::size_t pass(std::chrono::milliseconds span)
    {
        std::size_t probes = 0;
        for (auto const end = now + span; now < end; now += 10ms)
            probes += monitor.takeDueProbes(now);
        return probes;
    }

    void callAll(std::size_t leafs = leafCount)
    {
        for (leaf_key leaf = 0; leaf < leafs; ++leaf)
            monitor.recordCall(leaf, now);
    }

    void failAll()
    {
        for (leaf_key leaf = 0; leaf < leafCount; ++leaf)
            monitor.recordFailure(leaf, now);
    }

    void failProbes(std::size_t count)
    {
        for (leaf_key leaf = 0; leaf < count; ++leaf)
            monitor.recordProbeFailure(leaf, false, now);
    }

    void loseLinks()
    {
        failAll();
        failProbes(pass(10ms));
        CHECK(monitor.state() == link_state::lost);
    }

    void proveLinks()
    {
        for (leaf_key leaf = 0; leaf < 3; ++leaf)
            monitor.recordReply(leaf, true, now);
    }

    kernel::time_point now { 1h };
    link_monitor monitor;
};

}

TEST_GROUP(LinkMonitor) {};

// Guards against: links that hang are taken for slow leafs until each call has timed out.
TEST(LinkMonitor, LinksThatHangAreLostWithinHalfASecond)
{
    monitored_links links;
    links.callAll();
    auto const probes = links.pass(450ms);
    CHECK(probes > 0);
    CHECK(links.monitor.state() == link_state::lost);
    CHECK(links.monitor.isSurelyLost(links.now));
}

// Guards against: resets and refusals are noticed only when timers run out.
TEST(LinkMonitor, LinksThatResetOrRefuseAreLostAsSoonAsTheProbesFail)
{
    monitored_links links;
    links.failAll();
    CHECK(links.monitor.state() == link_state::suspected);
    auto const probes = links.pass(10ms);
    CHECK(probes > 0);
    links.failProbes(probes);
    CHECK(links.monitor.state() == link_state::lost);
}

// Guards against: many leafs that end together are taken for the loss of the links.
TEST(LinkMonitor, LeafsThatEndTogetherLeaveLinksIntactWhileAnotherReplies)
{
    monitored_links links;
    links.failAll();
    links.pass(10ms);
    links.monitor.recordReply(leafCount, true, links.now);
    CHECK(links.monitor.state() == link_state::intact);
    CHECK(links.pass(1s) == 0);
}

// Guards against: leafs that stand still or are slow are taken for the loss of the links.
TEST(LinkMonitor, SlowLeafsLeaveLinksIntact)
{
    monitored_links links;
    for (int round = 0; round < 20; ++round) {
        links.callAll();
        links.pass(140ms);
        links.monitor.recordReply(0, false, links.now);
    }
    CHECK(links.monitor.state() == link_state::intact);
    links.callAll();
    links.pass(200ms);
    CHECK(links.monitor.state() == link_state::suspected);
    links.monitor.recordReply(1, false, links.now);
    CHECK(links.monitor.state() == link_state::intact);
}

// Guards against: leafs that are too busy to reply to a probe at once are taken for the loss of the links.
TEST(LinkMonitor, ProbeWhoseConnectionOpensHasMoreTime)
{
    monitored_links links;
    links.callAll();
    CHECK(links.pass(200ms) > 0);
    links.monitor.recordProbeOpened(links.now);
    links.pass(600ms);
    CHECK(links.monitor.state() == link_state::suspected);
    links.monitor.recordReply(0, true, links.now);
    CHECK(links.monitor.state() == link_state::intact);
    // Connections that open and then stay silent do not keep the links intact.
    links.pass(1s);
    links.callAll();
    CHECK(links.pass(200ms) > 0);
    links.monitor.recordProbeOpened(links.now);
    links.pass(1010ms);
    CHECK(links.monitor.state() == link_state::lost);
    links.monitor.recordProbeOpened(links.now);
    CHECK_FALSE(links.monitor.isSurelyLost(links.now));
}

// Guards against: connections in use hide that no new ones open.
TEST(LinkMonitor, RepliesOverConnectionsInUseDoNotProveThatNewOnesOpen)
{
    monitored_links links;
    links.monitor.recordFailure(0, links.now);
    links.monitor.recordReply(5, false, links.now);
    links.monitor.recordFailure(1, links.now);
    auto const probes = links.pass(10ms);
    links.monitor.recordReply(5, false, links.now);
    CHECK(links.monitor.state() == link_state::suspected);
    links.failProbes(probes);
    CHECK(links.monitor.state() == link_state::lost);
}

// Guards against: a part of the leafs that can't be reached is taken for all of them.
TEST(LinkMonitor, PartOfTheLeafsLeavesLinksIntact)
{
    monitored_links links;
    for (int round = 0; round < 50; ++round) {
        links.callAll();
        for (leaf_key leaf = 0; leaf < leafCount / 2; ++leaf)
            links.monitor.recordFailure(leaf, links.now);
        for (leaf_key leaf = leafCount / 2; leaf < leafCount; ++leaf)
            links.monitor.recordReply(leaf, true, links.now);
        links.pass(50ms);
    }
    CHECK(links.monitor.state() == link_state::intact);
}

// Guards against: leafs that are gone for long cause probes all the time.
TEST(LinkMonitor, LeafsThatStayAwayCauseFewProbes)
{
    monitored_links links;
    std::size_t probes = 0;
    for (int round = 0; round < 600; ++round) {
        links.monitor.recordFailure(0, links.now);
        links.monitor.recordFailure(1, links.now);
        auto const due = links.pass(50ms);
        probes += due;
        if (due > 0)
            links.monitor.recordReply(5, true, links.now);
    }
    // Four probes a second, for 30 s.
    CHECK(probes <= 120);
    CHECK(links.monitor.state() == link_state::intact);
}

// Guards against: a suspicion that was unfounded delays the next one, when the links are lost soon after leafs have ended.
TEST(LinkMonitor, LossSoonAfterAnUnfoundedSuspicionIsFoundWithinTwoSeconds)
{
    monitored_links links;
    for (int round = 0; round < 3; ++round) {
        links.failAll();
        links.pass(10ms);
        links.monitor.recordReply(5, true, links.now);
        links.pass(1s);
    }
    for (auto const end = links.now + 2s; links.now < end && links.monitor.state() != link_state::lost;) {
        links.failAll();
        links.failProbes(links.pass(100ms));
    }
    CHECK(links.monitor.state() == link_state::lost);
}

// Guards against: a process that has stood still takes replies that wait in its sockets for silence.
TEST(LinkMonitor, StalledProcessWaitsForItsProbesAgain)
{
    monitored_links links;
    links.callAll();
    CHECK(links.pass(200ms) > 0);
    links.now += 3s;
    links.monitor.takeDueProbes(links.now);
    CHECK(links.monitor.state() == link_state::suspected);
    links.monitor.recordReply(0, true, links.now);
    CHECK(links.monitor.state() == link_state::intact);
}

// Guards against: daemons without requests stay out after their links are back.
TEST(LinkMonitor, LostLinksAreProbedWithoutRequestsAndRestored)
{
    monitored_links links;
    links.loseLinks();
    auto const probes = links.pass(10s);
    CHECK(probes >= 20);
    CHECK(probes <= 80);
    links.monitor.recordReply(0, true, links.now);
    CHECK(links.monitor.state() == link_state::lost);
    CHECK(links.pass(10ms) > 0);
    links.proveLinks();
    CHECK(links.monitor.state() == link_state::intact);
}

// Guards against: unsteady links take a daemon in and out of the directory all the time.
TEST(LinkMonitor, LinksThatFailAgainSoonAreOutLongerEachTime)
{
    monitored_links links;
    links.loseLinks();
    links.proveLinks();
    CHECK(links.monitor.state() == link_state::intact);
    int changes = 0;
    for (auto const end = links.now + 30s; links.now < end;) {
        links.loseLinks();
        ++changes;
        while (links.monitor.state() == link_state::lost) {
            links.proveLinks();
            links.pass(100ms);
        }
    }
    CHECK(changes <= 6);
    // Links that have held for a while count as steady again.
    links.pass(20s);
    links.loseLinks();
    links.proveLinks();
    CHECK(links.monitor.state() == link_state::intact);
}

// Guards against: links that work again and count as lost only because they were unsteady let requests be rejected.
TEST(LinkMonitor, ProvedLinksAreNotSurelyLostDuringTheHold)
{
    monitored_links links;
    links.loseLinks();
    links.proveLinks();
    links.loseLinks();
    CHECK(links.monitor.isSurelyLost(links.now));
    links.proveLinks();
    CHECK(links.monitor.state() == link_state::lost);
    CHECK_FALSE(links.monitor.isSurelyLost(links.now));
}

// Guards against: a daemon that knows no leafs yet counts as cut off.
TEST(LinkMonitor, WithoutLeafsNothingIsLost)
{
    monitored_links links { 0 };
    links.failAll();
    CHECK(links.pass(1s) == 0);
    CHECK(links.monitor.state() == link_state::intact);
    monitored_links emptied;
    emptied.loseLinks();
    emptied.monitor.setLeafCount(0, emptied.now);
    CHECK(emptied.monitor.state() == link_state::intact);
}
