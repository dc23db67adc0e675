#include "Tests/Support/http_call.h"
#include "Tests/Support/proxied_edge_fleet.h"
#include <CppUTest/TestHarness.h>
#include <map>
#include <thread>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::link_state;
using tests::proxied_edge_fleet;
using tests::rawHeaderValue;
using tests::waitUntil;

namespace {

/// Time after which the platform's rules hold for a daemon whose links to the leafs are gone.
constexpr auto stableWindow = 4s;
constexpr int requestCount = 30;

/// Sends queries and orders to one daemon, and returns how many of them got an answer of a leaf.
int countServed(proxied_edge_fleet& fleet, std::size_t daemon, std::string const& prefix)
{
    int served = 0;
    for (int number = 0; number < requestCount; ++number) {
        auto const id = prefix + std::to_string(number);
        auto const answer = number % 2 == 0 ? fleet.get(daemon, "/gather/a", id) : fleet.post(daemon, "/single/a", id, "order");
        served += answer.status == 200 ? 1 : 0;
    }
    return served;
}

void checkEachOrderRanOnce(proxied_edge_fleet const& fleet)
{
    std::map<std::string, int> runs;
    for (auto const& request : fleet.requestsOf("desk"))
        LONGS_EQUAL(1, ++runs[rawHeaderValue(request, "Zinnialedge-Attempt-Id")]);
}

void checkDaemonWithoutLinksServes(link_state state)
{
    proxied_edge_fleet fleet { { "here", "here", "there" } };
    LONGS_EQUAL(requestCount, countServed(fleet, 0, "before"));
    fleet.setLinks(0, state);
    auto const windowEnd = std::chrono::steady_clock::now() + stableWindow;
    for (int number = 0; std::chrono::steady_clock::now() < windowEnd; ++number)
        fleet.get(0, "/gather/a", "during" + std::to_string(number), 250);
    auto const others = countServed(fleet, 1, "other");
    LONGS_EQUAL(requestCount, others);
    // The platform's bound: two thirds as often as the other daemons.
    CHECK(3 * countServed(fleet, 0, "after") >= 2 * others);
    checkEachOrderRanOnce(fleet);
}

}

TEST_GROUP(EdgeLostLinks) {};

// Guards against: a daemon that can't reach any leaf fails its callers although other daemons reach the leafs.
TEST(EdgeLostLinks, DaemonWithUnresponsiveLinksServesThroughOthers)
{
    checkDaemonWithoutLinksServes(link_state::unresponsive);
}

// Guards against: the same with links whose connections are reset.
TEST(EdgeLostLinks, DaemonWithResetLinksServesThroughOthers)
{
    checkDaemonWithoutLinksServes(link_state::reset);
}

// Guards against: the same with links that open no new connections, while those in use live on until they are idle.
TEST(EdgeLostLinks, DaemonWithoutNewConnectionsServesThroughOthers)
{
    checkDaemonWithoutLinksServes(link_state::no_new_connections);
}

// Guards against: a request that has timed out behind a partition reaches its leaf when the partition ends.
TEST(EdgeLostLinks, RequestThatTimedOutDoesNotReachItsLeafLater)
{
    proxied_edge_fleet fleet { { "here" }, true };
    fleet.setLinks(0, link_state::unresponsive);
    LONGS_EQUAL(504, fleet.get(0, "/single/late", "late", 300).status);
    std::this_thread::sleep_for(1s);
    fleet.restoreLinks(0);
    std::this_thread::sleep_for(500ms);
    LONGS_EQUAL(0, fleet.requestsOf("desk").size());
}

// Guards against: connections that died silently while idle fail one request after the other.
TEST(EdgeLostLinks, SilentIdleConnectionsAreGivenUpTogether)
{
    // Each request holds its connections for a while, so that as many are idle afterwards as requests were in flight.
    auto const replySlowly = [](std::string const& request) {
        tests::scripted_reply reply { tests::sealedReply(request, std::string(16, 'a'), "Keep-Alive: timeout=10\r\n") };
        reply.runTime = 20ms;
        return reply;
    };
    proxied_edge_fleet fleet { { "here" }, true, replySlowly };
    static constexpr int callerCount = 12;
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    for (int number = 0; number < callerCount; ++number)
        callers.emplace_back([&, number] { fleet.get(0, "/gather/a", "before" + std::to_string(number)); });
    for (auto& each : callers)
        each.join();
    fleet.setLinks(0, link_state::old_connections_silent);
    int failed = 0;
    for (int number = 0; number < callerCount; ++number)
        failed += fleet.get(0, "/gather/a", "after" + std::to_string(number), 400).status == 200 ? 0 : 1;
    CHECK(failed <= 2);
}
