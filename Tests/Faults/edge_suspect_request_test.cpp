// Leafs that end while they run a certain request, seen from the leafs of real daemons.

#include "Tests/Support/http_call.h"
#include "Tests/Support/mortal_leafs.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::mortal_fleet;
using tests::mortal_fleet_shape;
using tests::waitUntil;

namespace {

/// Bounds of the platform's page: the rule holds from this time after the third end of a leaf, for the requests sent from then on.
constexpr auto stableWindow = 4s;
constexpr std::size_t toleratedRetries = 3;
constexpr std::size_t leafsBeforeTheRule = 3;

/// Sends the marked request to one daemon after the other until the rule has been in force for a time. Returns the number of
/// requests that reached leafs under the rule.
std::size_t pressMarkedRequest(mortal_fleet& fleet, std::string const& path, bool isPost, std::chrono::seconds countedTime)
{
    auto const end = std::chrono::steady_clock::now() + 20s;
    std::optional<std::chrono::steady_clock::time_point> thirdEndAt;
    for (std::size_t count = 0; std::chrono::steady_clock::now() < end; ++count) {
        fleet.renewEndedLeafs();
        if (!thirdEndAt && fleet.endCount() >= leafsBeforeTheRule) {
            thirdEndAt = std::chrono::steady_clock::now();
            fleet.countMarkedFrom(*thirdEndAt + stableWindow);
        }
        if (thirdEndAt && std::chrono::steady_clock::now() > *thirdEndAt + stableWindow + countedTime)
            break;
        auto const id = "marked" + std::to_string(count);
        auto const index = count % fleet.daemonCount();
        // Callers may add another query to each attempt.
        auto const target = count % 3 == 0 ? path + "?page=" + std::to_string(count) : path;
        auto const answer = isPost ? fleet.post(index, target, id, mortal_fleet::mark) : fleet.get(index, target, id);
        CHECK(answer.status >= 500);
        std::this_thread::sleep_for(100ms);
    }
    CHECK(thirdEndAt.has_value());
    return fleet.countedMarkedRequests();
}

}

TEST_GROUP(EdgeSuspectRequest) {};

// Guards against daemons that send a request to leaf after leaf although every leaf that ran it has ended, none of them having seen
// three ends itself.
TEST(EdgeSuspectRequest, RequestUnderWhichLeafsEndStopsReachingThem)
{
    mortal_fleet fleet { mortal_fleet_shape { .daemons = 3 } };
    auto const reached = pressMarkedRequest(fleet, "/single/a", true, 6s);
    CHECK_TEXT(reached <= toleratedRetries, std::to_string(reached).c_str());
    auto const answer = fleet.post(0, "/single/a", "last", mortal_fleet::mark);
    LONGS_EQUAL(502, answer.status);
    STRCMP_EQUAL("", answer.header("Retry-After").c_str());
    CHECK(answer.body.find("\"ran\":\"maybe\"") != std::string::npos);
    // Other requests to the same leafs are served.
    CHECK(waitUntil([&] { fleet.renewEndedLeafs(); return fleet.post(0, "/single/a", "other", "order").status == 200; }));
    for (std::size_t index = 0; index < fleet.daemonCount(); ++index)
        LONGS_EQUAL(200, fleet.post(index, "/single/a", "next" + std::to_string(index), "order").status);
}

// Guards against retries and hedges that carry a query to the second leaf of every shard after its first leafs have ended.
TEST(EdgeSuspectRequest, QueryUnderWhichLeafsEndLeavesTheOtherLeafsOfTheShards)
{
    mortal_fleet fleet { mortal_fleet_shape { .daemons = 2, .shards = 6 } };
    fleet.get(0, std::string { "/gather/" } + mortal_fleet::mark, "marked");
    // One leaf of each shard ends, and at most a few more before the ends are noticed.
    CHECK_TEXT(fleet.endCount() <= 6 + leafsBeforeTheRule, std::to_string(fleet.endCount()).c_str());
    auto const reached = pressMarkedRequest(fleet, std::string { "/gather/" } + mortal_fleet::mark, false, 4s);
    CHECK_TEXT(reached <= toleratedRetries, std::to_string(reached).c_str());
}
