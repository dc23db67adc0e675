#include "Libraries/zinnialedge/fleet/directory_choice.h"
#include "Libraries/zinnialedge/fleet/reach_marks.h"
#include "Tests/Support/daemon_with_peers.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using errors::error_kind;
using reachability::link_state;
using tests::daemon_with_peers;

namespace {

constexpr std::size_t largeFleet = 200;

void succeedAll(daemon_with_peers& daemon, std::string const& target)
{
    for (auto const& call : daemon.leafCallsOf(target))
        daemon.succeed(call.number);
}

}

TEST_GROUP(CutOffDaemons) {};

// Guards against: a daemon that has lost its links and has no requests attracts requests of others.
TEST(CutOffDaemons, DaemonWithoutRequestsFindsItsLossOnNews)
{
    daemon_with_peers daemon;
    daemon.setProbesAnswered(false);
    daemon.pass(10s);
    CHECK(daemon.engine.linkState() == link_state::intact);
    LONGS_EQUAL(0, daemon.probes().size());
    daemon.engine.handleLinkLossNews(largeFleet, daemon.now());
    daemon.pass(3s);
    CHECK(daemon.engine.linkState() == link_state::lost);
}

// Guards against: news of a large fleet cause a storm of probes, or probes that go on when the news have ended.
// Load: 133 daemons of 200 lose their links within 2 s.
TEST(CutOffDaemons, ManyNewsCauseFewProbesOfDifferentLeafs)
{
    daemon_with_peers daemon;
    for (int count = 0; count < 133; ++count) {
        daemon.engine.handleLinkLossNews(largeFleet, daemon.now());
        daemon.pass(15ms);
    }
    daemon.pass(60s);
    CHECK(daemon.engine.linkState() == link_state::intact);
    auto const& probes = daemon.probes();
    CHECK(probes.size() >= 3);
    CHECK(probes.size() <= 6);
    CHECK(probes[0].leafId != probes[1].leafId && probes[1].leafId != probes[2].leafId && probes[0].leafId != probes[2].leafId);
    LONGS_EQUAL(probes.size(), daemon.engine.counters().checkProbes);
}

// Guards against: all daemons of a large fleet probe the same leafs at the same moment.
TEST(CutOffDaemons, ChecksOfALargeFleetAreSpreadOverTimeAndLeafs)
{
    daemon_with_peers daemon;
    std::map<std::string, int> countsByLeaf;
    int earlyCount = 0;
    for (int round = 0; round < 100; ++round) {
        daemon.pass(10s);
        auto const before = daemon.probes().size();
        daemon.engine.handleLinkLossNews(largeFleet, daemon.now());
        daemon.pass(1100ms);
        earlyCount += daemon.probes().size() > before ? 1 : 0;
        daemon.pass(2s);
        LONGS_EQUAL(before + 3, daemon.probes().size());
    }
    for (auto const& probe : daemon.probes())
        ++countsByLeaf[probe.leafId];
    CHECK(earlyCount >= 25 && earlyCount <= 75);
    // 14 leafs get 300 probes.
    for (auto const& [leaf, count] : countsByLeaf)
        CHECK(count <= 60);
}

// Guards against: daemons whose requests prove their links send probes, which have a price.
TEST(CutOffDaemons, DaemonWithRequestsSendsNoProbesOnNews)
{
    daemon_with_peers daemon;
    daemon.engine.handleLinkLossNews(5, daemon.now());
    daemon.pass(50ms);
    daemon.arrive("/gather/query");
    succeedAll(daemon, "/gather/query");
    daemon.pass(10s);
    LONGS_EQUAL(0, daemon.probes().size());
}

// Guards against: leafs that have ended make a check take intact links for lost ones.
TEST(CutOffDaemons, ProbesThatFailRaiseASuspicionOnly)
{
    daemon_with_peers daemon;
    daemon.setProbesAnswered(false);
    daemon.engine.handleLinkLossNews(5, daemon.now());
    for (int step = 0; step < 1000 && daemon.engine.linkState() == link_state::intact && daemon.probes().size() < 7; ++step)
        daemon.pass(10ms);
    CHECK(daemon.engine.linkState() == link_state::suspected);
    daemon.setProbesAnswered(true);
    daemon.pass(10ms);
    CHECK(daemon.engine.linkState() == link_state::intact);
}

// Guards against: requests go again and again to a daemon that has just said that it reaches no leafs.
TEST(CutOffDaemons, RefusedDetourMarksTheDaemon)
{
    daemon_with_peers daemon;
    daemon.loseLinks();
    daemon.arrive("/single/first");
    auto const first = daemon.detourOf("/single/first");
    daemon.refuseDetour(first, error_kind::no_live_target, "links_lost");
    LONGS_EQUAL(1, daemon.markedDaemons().size());
    CHECK(daemon.markedDaemons().front() == first.endpoint);
    for (int count = 0; count < 10; ++count)
        daemon.arrive("/single/" + std::to_string(count));
    for (auto const& call : daemon.detours())
        CHECK(call.endpoint != first.endpoint);
    // When no other is left, callers are refused at once.
    daemon.refuseDetour(daemon.detourOf("/single/0"), error_kind::no_live_target, "links_lost");
    auto const order = daemon.arrive("/single/late");
    LONGS_EQUAL(503, daemon.answerOf(order)->status);
    CHECK(daemon.answerOf(order)->error->retryAfter > 0ms);
    LONGS_EQUAL(2, daemon.engine.counters().daemonsMarked);
}

// Guards against: a daemon stays marked although its links are back.
TEST(CutOffDaemons, MarkEndsWithItsTimeOrByMembership)
{
    daemon_with_peers daemon { false, 1 };
    daemon.loseLinks();
    auto const refuse = [&](std::string const& target) {
        daemon.arrive(target);
        daemon.refuseDetour(daemon.detourOf(target), error_kind::no_live_target, "links_lost");
    };
    refuse("/single/first");
    daemon.pass(forwarding::withoutLeafsTime + 10ms);
    refuse("/single/second");
    forwarding::fleet_share share;
    daemon.engine.setFleetShare(share, daemon.now());
    share.detours.push_back({ "here", { "10.0.1.0", 7395 } });
    daemon.engine.setFleetShare(share, daemon.now());
    daemon.arrive("/single/third");
    daemon.detourOf("/single/third");
}

// Guards against: detours go one after the other to daemons of the serving group that are cut off as well and have not noticed.
TEST(CutOffDaemons, DetoursMoveOnUntilADaemonReachesLeafs)
{
    daemon_with_peers daemon { true, 0 };
    daemon.loseLinks();
    fleet::reach_marks marks;
    std::vector<fleet::serving_daemon> members;
    members.reserve(12);
    for (int index = 0; index < 12; ++index)
        members.push_back({ "daemon" + std::to_string(index), "here", { "10.0.1." + std::to_string(index), 7395 }, true, {} });
    auto const shareGroup = [&] {
        auto reachable = members;
        for (auto& each : reachable)
            each.reachesLeafs = !marks.isMarked(each.place.address, daemon.now());
        forwarding::fleet_share share;
        for (auto const& each : fleet::chooseServingGroup(fleet::daemonsWithLeafs(reachable)))
            share.detours.push_back({ each.dataCentre, each.place });
        daemon.engine.setFleetShare(share, daemon.now());
    };
    // The daemons with the last places in the group's order reach leafs.
    auto order = members;
    std::vector<model::endpoint> cutOff;
    while (order.size() > 4) {
        auto const group = fleet::chooseServingGroup(order);
        for (auto const& each : group) {
            cutOff.push_back(each.place);
            std::erase(order, each);
        }
    }
    std::size_t told = 0;
    int served = 0;
    for (int count = 0; count < 20; ++count) {
        shareGroup();
        auto const target = "/single/" + std::to_string(count);
        auto const request = daemon.arrive(target);
        while (!daemon.detours().empty() && !daemon.answerOf(request)) {
            auto const call = daemon.detourOf(target);
            if (std::find(cutOff.begin(), cutOff.end(), call.endpoint) == cutOff.end())
                daemon.answerDetour(call);
            else
                daemon.refuseDetour(call, error_kind::no_live_target, "links_lost");
        }
        for (; told < daemon.markedDaemons().size(); ++told)
            marks.mark(daemon.markedDaemons()[told].address, daemon.now() + forwarding::withoutLeafsTime);
        served += daemon.answerOf(request) && daemon.answerOf(request)->status == 200 ? 1 : 0;
        daemon.pass(50ms);
    }
    LONGS_EQUAL(cutOff.size(), daemon.engine.counters().daemonsMarked);
    CHECK(served >= 16);
}

// Guards against: detours hang at a daemon that is cut off and does not know, or count as run there.
TEST(CutOffDaemons, FurtherDetoursWaitForTheCheckAndAreRefusedAsNotRun)
{
    daemon_with_peers daemon;
    daemon.setProbesAnswered(false);
    daemon.pass(10s);
    daemon.sendDetouredRequest("/gather/first", { .minimumVersion = 3, .objectiveLeft = 90ms });
    LONGS_EQUAL(daemon_with_peers::shardCount, daemon.leafCallsOf("/gather/first").size());
    LONGS_EQUAL(3, daemon.probes().size());
    auto const order = daemon.sendDetouredRequest("/single/second", { .minimumVersion = 3 });
    CHECK(daemon.leafCallsOf("/single/second").empty());
    daemon.pass(500ms);
    CHECK(daemon.engine.linkState() == link_state::lost);
    LONGS_EQUAL(503, daemon.answerOf(order)->status);
    STRCMP_EQUAL("links_lost", daemon.answerOf(order)->reason.c_str());
    CHECK(daemon.leafCallsOf("/single/second").empty());
    CHECK(daemon.detours().empty());
}

// Guards against: an idle daemon with intact links refuses or delays the detours of a daemon that needs it.
TEST(CutOffDaemons, DetoursThatWaitAreServedOnceALeafGivesASign)
{
    daemon_with_peers daemon;
    daemon.setProbesAnswered(false);
    daemon.setProbesConnected(true);
    daemon.sendDetouredRequest("/single/first", { .minimumVersion = 3 });
    daemon.sendDetouredRequest("/gather/second", { .minimumVersion = 3, .objectiveLeft = 90ms });
    CHECK(daemon.leafCallsOf("/gather/second").empty());
    daemon.pass(10ms);
    daemon.pass(1ms);
    // The leafs are too busy to reply, but open connections.
    LONGS_EQUAL(daemon_with_peers::shardCount, daemon.leafCallsOf("/gather/second").size());
    succeedAll(daemon, "/gather/second");
    auto const before = daemon.probes().size();
    daemon.pass(1s);
    daemon.sendDetouredRequest("/gather/third", { .minimumVersion = 3, .objectiveLeft = 90ms });
    LONGS_EQUAL(daemon_with_peers::shardCount, daemon.leafCallsOf("/gather/third").size());
    LONGS_EQUAL(before, daemon.probes().size());
}

// Guards against: another change of a member clears a mark, or a daemon stays without requests when it has told that its links are back.
TEST(CutOffDaemons, MarkOfTheFleetEndsWhenTheDaemonTellsOfItsReturn)
{
    kernel::time_point const now { 1h };
    fleet::reach_marks marks;
    marks.mark("10.0.1.1", now + 2s);
    CHECK_FALSE(marks.observe("b.1", "10.0.1.1", true));
    CHECK(marks.isMarked("10.0.1.1", now + 1s));
    CHECK(marks.observe("b.1", "10.0.1.1", false));
    CHECK_FALSE(marks.observe("b.1", "10.0.1.1", false));
    marks.observe("b.1", "10.0.1.1", true);
    CHECK_FALSE(marks.isMarked("10.0.1.1", now + 1s));
    marks.mark("10.0.1.1", now + 2s);
    CHECK_FALSE(marks.removeExpired(now + 1s));
    CHECK(marks.removeExpired(now + 2s));
    CHECK_FALSE(marks.isMarked("10.0.1.1", now + 2s));
}
