// Load pattern: callers press more than the request limits allow that leafs have named for all daemons together.

#include "Libraries/zinnialedge/forwarding/relay_protocol.h"
#include "Libraries/zinnialedge/limits/held_maximum.h"
#include "Tests/Support/engine_harness.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <memory>

using namespace zinnialedge;
using namespace std::chrono_literals;
using forwarding::leaf_rate_limit;
using forwarding::leaf_reply;
using kernel::time_point;
using tests::engine_harness;

namespace {

constexpr std::size_t shardCount = 20;
constexpr auto countedWindow = 4s;
constexpr double toleratedFactor = 1.5;
constexpr std::size_t toleratedExcess = 5;

/// One daemon of a fleet whose leafs name limits while `limits` has an entry for them.
struct limited_daemon : engine_harness {
    explicit limited_daemon(double sharers, double minimumCoverage = 0.89, std::size_t leafsPerService = 2)
    {
        declare(1, { gatherRoute(shardCount, minimumCoverage), singleRoute(true) });
        auto services = gatherRoute(shardCount, 1).gather.shards;
        services.emplace_back("desk");
        registerLeafs(services, leafsPerService);
        share(sharers);
    }

    void share(double sharers)
    {
        forwarding::fleet_share fleetShare;
        fleetShare.daemonsSharingLeafLimits = sharers;
        engine.setFleetShare(fleetShare, now());
    }

    /// Replies to all open calls and records their arrivals.
    void serveAll(std::map<std::string, double> const& limits)
    {
        for (auto const& call : openCalls()) {
            arrivalsByLeaf[call.leafId].push_back(now());
            leaf_reply made;
            made.status = 200;
            made.seal = "seal-" + call.leafId;
            made.body = std::string(16, 'r');
            if (auto const limit = limits.find(call.leafId); limit != limits.end())
                made.requestLimit = limit->second;
            reply(call.number, std::move(made));
        }
    }

    std::map<std::string, std::vector<time_point>> arrivalsByLeaf;
};

std::size_t mostInWindow(std::vector<time_point> arrivals)
{
    std::sort(arrivals.begin(), arrivals.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] > countedWindow)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// Lets all daemons work for a time while each gets a request every `interval`. Returns the arrivals at the leaf.
std::vector<time_point> press(std::vector<std::unique_ptr<limited_daemon>>& daemons, std::string const& path, std::chrono::milliseconds interval, std::chrono::seconds length, std::map<std::string, double> const& limits, std::string const& leaf)
{
    std::vector<time_point> arrivals;
    auto const start = daemons.front()->now();
    for (auto& daemon : daemons) {
        daemon->arrivalsByLeaf.clear();
        while (daemon->now() < start + length) {
            daemon->arrive(path);
            for (auto step = 0ms; step < interval; step += 1ms) {
                daemon->serveAll(limits);
                daemon->pass(1ms);
            }
        }
        auto const& own = daemon->arrivalsByLeaf[leaf];
        arrivals.insert(arrivals.end(), own.begin(), own.end());
    }
    return arrivals;
}

std::vector<std::unique_ptr<limited_daemon>> makeDaemons(std::size_t count)
{
    std::vector<std::unique_ptr<limited_daemon>> daemons;
    daemons.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
        daemons.push_back(std::make_unique<limited_daemon>(static_cast<double>(count)));
    return daemons;
}

}

TEST_GROUP(LimitSharing) {};

// Guards against daemons that each use up alone the limit that a leaf has named for all of them together.
TEST(LimitSharing, DaemonsTogetherKeepTheLimitAndUseIt)
{
    static constexpr double limit = 12;
    auto daemons = makeDaemons(5);
    std::map<std::string, double> const limits { { "desk/0", limit }, { "desk/1", limit } };
    press(daemons, "/single/1", 20ms, 2s, limits, "desk/0");
    auto const arrivals = press(daemons, "/single/1", 20ms, 12s, limits, "desk/0");
    CHECK(mostInWindow(arrivals) <= toleratedFactor * limit * 4 + toleratedExcess);
    CHECK(static_cast<double>(arrivals.size()) >= 0.8 * limit * 12);
}

// Guards against a limit that is kept on average and broken when calls that were not used add up in a quiet time.
TEST(LimitSharing, QuietTimeAddsUpToNoBurst)
{
    static constexpr double limit = 12;
    auto daemons = makeDaemons(5);
    std::map<std::string, double> const limits { { "desk/0", limit }, { "desk/1", limit } };
    press(daemons, "/single/1", 20ms, 2s, limits, "desk/0");
    for (auto& daemon : daemons)
        daemon->pass(60s);
    auto const arrivals = press(daemons, "/single/1", 5ms, 4s, limits, "desk/0");
    CHECK(mostInWindow(arrivals) <= toleratedFactor * limit * 4 + toleratedExcess);
}

// Guards against hedges and retries that count against no limit.
TEST(LimitSharing, FailingCallsAndTheirRetriesKeepTheLimit)
{
    static constexpr double limit = 5;
    limited_daemon daemon { 1 };
    std::map<std::string, double> const limits { { "desk/0", limit }, { "desk/1", limit } };
    daemon.arrive("/single/1");
    daemon.serveAll(limits);
    daemon.arrive("/single/1");
    daemon.serveAll(limits);
    daemon.arrivalsByLeaf.clear();
    auto const end = daemon.now() + 8s;
    while (daemon.now() < end) {
        daemon.arrive("/single/1");
        daemon.pass(10ms);
        for (auto const& call : daemon.openCalls("desk")) {
            daemon.arrivalsByLeaf[call.leafId].push_back(daemon.now());
            daemon.fail(call.number, forwarding::call_failure::broken);
        }
    }
    for (auto const& [leaf, arrivals] : daemon.arrivalsByLeaf)
        CHECK(mostInWindow(arrivals) <= toleratedFactor * limit * 4 + toleratedExcess);
}

TEST(LimitSharing, RequestThatCannotStartInTimeIsRejectedAtOnceWithATimeOfReturn)
{
    limited_daemon daemon { 1 };
    std::map<std::string, double> const limits { { "desk/0", 1.0 }, { "desk/1", 1.0 } };
    std::optional<forwarding::final_answer> rejection;
    for (int count = 0; count < 4 && !rejection; ++count) {
        auto const token = daemon.arrive("/single/1");
        daemon.serveAll(limits);
        if (daemon.answerOf(token)->status == 503)
            rejection = *daemon.answerOf(token);
    }
    CHECK(rejection.has_value());
    STRCMP_EQUAL("leafs_limited", rejection->reason.c_str());
    CHECK(*rejection->error->retryAfter >= 500ms && *rejection->error->retryAfter <= 2s);
    daemon.pass(*rejection->error->retryAfter);
    auto const token = daemon.arrive("/single/1");
    daemon.serveAll(limits);
    LONGS_EQUAL(200, daemon.answerOf(token)->status);
    CHECK(daemon.engine.counters().rejectionsForLimits > 0);
}

TEST(LimitSharing, RequestWaitsForALimitThatAllowsItsCallInTime)
{
    limited_daemon daemon { 1, 0.89, 1 };
    std::map<std::string, double> const limits { { "desk/0", 20.0 } };
    daemon.arrive("/single/1");
    daemon.serveAll(limits);
    auto const token = daemon.arrive("/single/1");
    CHECK(daemon.answerOf(token) == nullptr);
    LONGS_EQUAL(0, daemon.openCalls("desk").size());
    daemon.pass(60ms);
    LONGS_EQUAL(1, daemon.openCalls("desk").size());
    daemon.serveAll(limits);
    LONGS_EQUAL(200, daemon.answerOf(token)->status);
}

TEST(LimitSharing, ShardsWithoutRoomAreLeftOutUpToTheMinimumCoverage)
{
    limited_daemon daemon { 1 };
    std::map<std::string, double> const twoShards { { "shard3/0", 0.5 }, { "shard3/1", 0.5 }, { "shard4/0", 0.5 }, { "shard4/1", 0.5 } };
    daemon.arrive("/gather/1");
    daemon.serveAll(twoShards);
    daemon.arrive("/gather/1");
    daemon.serveAll(twoShards);
    auto const partial = daemon.arrive("/gather/1");
    daemon.serveAll(twoShards);
    LONGS_EQUAL(200, daemon.answerOf(partial)->status);
    LONGS_EQUAL(2, daemon.answerOf(partial)->missingParts);
    auto threeShards = twoShards;
    threeShards["shard5/0"] = threeShards["shard5/1"] = 0.5;
    daemon.arrive("/gather/1");
    daemon.serveAll(threeShards);
    daemon.arrive("/gather/1");
    daemon.serveAll(threeShards);
    auto const rejected = daemon.arrive("/gather/1");
    LONGS_EQUAL(503, daemon.answerOf(rejected)->status);
    // Nothing was sent for the rejected request, so it takes no room from others.
    LONGS_EQUAL(0, daemon.openCalls().size());
}

TEST(LimitSharing, OtherLeafTakesTheCallsOfALimitedOne)
{
    limited_daemon daemon { 1 };
    std::map<std::string, double> const limits { { "desk/0", 1.0 } };
    for (int count = 0; count < 50; ++count) {
        auto const token = daemon.arrive("/single/1");
        daemon.serveAll(limits);
        LONGS_EQUAL(200, daemon.answerOf(token)->status);
        daemon.pass(10ms);
    }
    CHECK(daemon.arrivalsByLeaf["desk/1"].size() > 40);
}

TEST(LimitSharing, LimitOfZeroLeavesAFewCallsThatFindItsEnd)
{
    limited_daemon daemon { 1, 0.89, 1 };
    std::map<std::string, double> limits { { "desk/0", 0.0 } };
    daemon.arrive("/single/1");
    daemon.serveAll(limits);
    daemon.arrivalsByLeaf.clear();
    auto const press = [&](std::chrono::seconds length) {
        for (auto const end = daemon.now() + length; daemon.now() < end; daemon.pass(20ms)) {
            daemon.arrive("/single/1");
            daemon.serveAll(limits);
        }
    };
    press(20s);
    auto const arrivals = daemon.arrivalsByLeaf["desk/0"].size();
    CHECK(arrivals >= 1 && arrivals <= toleratedExcess + 1);
    limits.clear();
    press(5s);
    CHECK(daemon.arrivalsByLeaf["desk/0"].size() > arrivals + 20);
}

// Guards against a daemon that is cut off from the others, sees them leave, and takes their shares while they use them.
TEST(LimitSharing, SharesOfDaemonsThatSeemGoneStayTheirs)
{
    static constexpr double limit = 10;
    limited_daemon daemon { 5, 0.89, 1 };
    std::map<std::string, double> const limits { { "desk/0", limit } };
    daemon.arrive("/single/1");
    daemon.serveAll(limits);
    daemon.share(1);
    daemon.arrivalsByLeaf.clear();
    for (auto const end = daemon.now() + 10s; daemon.now() < end; daemon.pass(10ms)) {
        daemon.arrive("/single/1");
        daemon.serveAll(limits);
    }
    CHECK(static_cast<double>(daemon.arrivalsByLeaf["desk/0"].size()) <= limit / 5 * 10 + 2);
}

TEST(LimitSharing, DaemonsThatJoinCountAtOnce)
{
    limits::held_maximum sharers { 1, 20s };
    time_point const start { 1h };
    sharers.set(5, start);
    DOUBLES_EQUAL(5, sharers.value(start), 0);
    sharers.set(3, start + 1s);
    sharers.set(4, start + 2s);
    DOUBLES_EQUAL(5, sharers.value(start + 20s), 0);
    DOUBLES_EQUAL(4, sharers.value(start + 21s), 0);
    sharers.set(6, start + 30s);
    sharers.set(2, start + 31s);
    sharers.set(1, start + 32s);
    DOUBLES_EQUAL(6, sharers.value(start + 50s), 0);
    DOUBLES_EQUAL(2, sharers.value(start + 51s), 0);
    DOUBLES_EQUAL(1, sharers.value(start + 52s), 0);
}

// Guards against limits that only the daemons hear of that call the leafs themselves, and not those that relay.
TEST(LimitSharing, RelayTellsTheRequestingDaemonOfLimits)
{
    limited_daemon daemon { 1 };
    std::map<std::string, double> const limits { { "shard3/0", 2.5 } };
    std::vector<std::size_t> const relayedShards { 3, 4 };
    auto const token = daemon.sendRelayedRequest("/gather/1", { 1, relayedShards, 60ms, 60ms });
    daemon.serveAll(limits);
    forwarding::leaf_limit_notice const notice { "shard3/0", 2.5 };
    CHECK(daemon.answerOf(token)->leafLimits == std::vector { notice });
    std::string lines;
    auto const protocol = forwarding::makeRelayProtocol();
    protocol.writeAnswerHeaders(*daemon.answerOf(token), lines);
    static constexpr std::string_view name = "X-Relay-Limits: ";
    auto const start = lines.find(name);
    CHECK(start != std::string::npos);
    leaf_reply parsed;
    protocol.parseReplyHeader("X-Relay-Limits", lines.substr(start + name.size(), lines.find("\r\n", start) - start - name.size()), parsed);
    CHECK(parsed.leafLimits == std::vector { notice });
    leaf_reply malformed;
    protocol.parseReplyHeader("X-Relay-Limits", "a=,b,=,c=-1,d=nan,e=1x,f=3", malformed);
    CHECK(malformed.leafLimits == std::vector { forwarding::leaf_limit_notice({ "f", 3 }) });
}

TEST(LimitSharing, RelayedRequestDoesNotWaitForALimit)
{
    limited_daemon daemon { 1, 0.89, 1 };
    std::map<std::string, double> const limits { { "shard3/0", 0.5 } };
    daemon.sendRelayedRequest("/gather/1", { 1, { 3, 4, 5 }, 60ms, 60ms });
    daemon.serveAll(limits);
    auto const token = daemon.sendRelayedRequest("/gather/1", { 1, { 3, 4, 5 }, 60ms, 60ms });
    LONGS_EQUAL(0, daemon.openCalls("shard3").size());
    daemon.serveAll(limits);
    CHECK(daemon.answerOf(token)->partShards == (std::vector<std::size_t> { 4, 5 }));
}
