// Load pattern: a request ends each leaf that runs it and comes again, beside requests that run on the same leafs.

#include "Libraries/zinnialedge/forwarding/relay_protocol.h"
#include "Tests/Support/engine_harness.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using forwarding::call_failure;
using tests::engine_harness;

static constexpr std::size_t shardCount = 20;
static constexpr std::size_t deskLeafCount = 12;

TEST_GROUP(SuspectRequest)
{
    engine_harness daemon;

    void setup() override
    {
        daemon.declare(1, { engine_harness::gatherRoute(shardCount, 0.89), engine_harness::singleRoute(true) });
        auto const shards = engine_harness::gatherRoute(shardCount, 1).gather.shards;
        daemon.registerLeafs(shards, 2);
    }

    void useDeskLeafs()
    {
        daemon.registerLeafs({ "desk" }, deskLeafCount);
    }

    /// Ends the leafs of all open calls. Returns their number.
    std::size_t loseOpenCalls()
    {
        daemon.pass(1ms);
        auto const calls = daemon.openCalls();
        for (auto const& call : calls) {
            ++endCount;
            daemon.fail(call.number, call_failure::broken);
        }
        for (auto const& call : calls)
            daemon.restartLeaf(call.leafId);
        return calls.size();
    }

    /// Sends the request and ends each leaf that it reaches. Returns the number of these leafs.
    std::size_t sendPoison(std::string const& path)
    {
        std::size_t reached = 0;
        lastToken = daemon.arrive(path);
        while (auto const lost = loseOpenCalls())
            reached += lost;
        return reached;
    }

    int lastStatus()
    {
        return daemon.answerOf(lastToken)->status;
    }

    forwarding::request_token lastToken { 0 };
    std::size_t endCount { 0 };
};

// Guards against a request that is sent to leaf after leaf because each attempt looks new.
TEST(SuspectRequest, IsRejectedAtOnceAfterThreeLeafs)
{
    useDeskLeafs();
    for (int count = 0; count < 35; ++count) {
        sendPoison("/single/poison");
        daemon.pass(100ms);
    }
    LONGS_EQUAL(3, endCount);
    auto const& rejection = *daemon.answerOf(lastToken);
    LONGS_EQUAL(502, rejection.status);
    STRCMP_EQUAL("request_quarantined", rejection.reason.c_str());
    CHECK(rejection.error->kind == errors::error_kind::request_quarantined);
    CHECK_FALSE(rejection.error->retryAfter.has_value());
    CHECK(errors::propertiesOf(rejection.error->kind).executionState == errors::execution_state::maybe);
    CHECK(daemon.engine.counters().rejectionsForQuarantine >= 30);
}

// Guards against a request that looks new because its caller adds another query to each attempt.
TEST(SuspectRequest, IsKnownWhateverItsQuery)
{
    useDeskLeafs();
    for (int count = 0; count < 10; ++count)
        sendPoison("/single/poison?page=" + std::to_string(count));
    LONGS_EQUAL(3, endCount);
}

// Guards against requests that are turned away because of another one that shares their path, or their query, with it.
TEST(SuspectRequest, OthersOnItsPathGoOnBeingServed)
{
    useDeskLeafs();
    std::size_t reached = 0;
    for (int count = 0; count < 20; ++count) {
        reached += sendPoison("/single/search?text=poison");
        for (auto const* const path : { "/single/search?text=other", "/single/found?text=poison" }) {
            auto const token = daemon.arrive(path);
            for (auto const& call : daemon.openCalls("desk"))
                daemon.succeed(call.number);
            LONGS_EQUAL(200, daemon.answerOf(token)->status);
        }
        daemon.pass(100ms);
    }
    CHECK(reached <= 4);
}

// Guards against requests that are turned away because they ran beside one that ended their leafs.
TEST(SuspectRequest, InnocentRequestsOnTheSameLeafsGoOnBeingServed)
{
    useDeskLeafs();
    std::size_t lostInnocentCalls = 0;
    for (int count = 0; count < 20; ++count) {
        std::vector<forwarding::request_token> innocent;
        innocent.reserve(20);
        for (int index = 0; index < 20; ++index)
            innocent.push_back(daemon.arrive("/single/innocent" + std::to_string(index)));
        daemon.arrive("/single/poison");
        // The leafs that run the poisonous request end, and with them the other calls on these leafs.
        for (bool hasEnded = true; hasEnded;) {
            hasEnded = false;
            daemon.pass(1ms);
            auto const calls = daemon.openCalls("desk");
            for (auto const& poisoned : calls) {
                if (poisoned.request->target != "/single/poison")
                    continue;
                hasEnded = true;
                for (auto const& call : calls) {
                    if (call.leafId != poisoned.leafId)
                        continue;
                    lostInnocentCalls += call.number == poisoned.number ? 0 : 1;
                    daemon.fail(call.number, call_failure::broken);
                }
                daemon.restartLeaf(poisoned.leafId);
            }
        }
        while (!daemon.openCalls("desk").empty())
            daemon.succeed(daemon.openCalls("desk").front().number);
        for (auto const token : innocent)
            LONGS_EQUAL(200, daemon.answerOf(token)->status);
        daemon.pass(500ms);
    }
    CHECK(lostInnocentCalls > 0);
}

// Guards against a query that ends both leafs of each shard.
TEST(SuspectRequest, QueryWithoutAnyReplyCallsNoSecondLeafs)
{
    auto const token = daemon.arrive("/gather/poison");
    LONGS_EQUAL(shardCount, loseOpenCalls());
    // One call finds out whether the leafs were lost together by chance.
    LONGS_EQUAL(1, daemon.openCalls().size());
    LONGS_EQUAL(1, loseOpenCalls());
    LONGS_EQUAL(0, daemon.openCalls().size());
    LONGS_EQUAL(502, daemon.answerOf(token)->status);
    daemon.pass(1s);
    LONGS_EQUAL(0, sendPoison("/gather/poison"));
    daemon.pass(4s);
    LONGS_EQUAL(1, sendPoison("/gather/poison"));
    daemon.pass(3s);
    LONGS_EQUAL(0, sendPoison("/gather/poison"));
}

// Guards against a query that ends both leafs of each shard because its hedges are sent before any leaf has ended.
TEST(SuspectRequest, QueryWithoutAnyReplyIsHedgedForFewShards)
{
    daemon.arrive("/gather/poison");
    daemon.pass(80ms);
    LONGS_EQUAL(shardCount + 2, daemon.openCalls().size());
    // One reply shows that leafs survive the query, so that the slow shards are hedged at once.
    daemon.succeed(daemon.openCalls().front().number);
    daemon.pass(1ms);
    CHECK(daemon.openCalls().size() >= 2 * shardCount - 4);
}

// Guards against answers that lack shards because an outage took leafs under a query that had no reply yet.
TEST(SuspectRequest, FirstReplyReleasesTheCallsThatWaited)
{
    auto const token = daemon.arrive("/gather/innocent");
    auto const calls = daemon.openCalls();
    for (std::size_t index = 0; index < 8; ++index)
        daemon.fail(calls[index].number, call_failure::broken);
    LONGS_EQUAL(shardCount - 8, daemon.openCalls().size());
    daemon.succeed(calls.back().number);
    LONGS_EQUAL(shardCount - 1, daemon.openCalls().size());
    for (auto const& call : daemon.openCalls())
        daemon.succeed(call.number);
    LONGS_EQUAL(200, daemon.answerOf(token)->status);
    LONGS_EQUAL(0, daemon.answerOf(token)->missingParts);
}

TEST(SuspectRequest, ConnectionsResetTogetherCostAQueryOneCallMore)
{
    auto const token = daemon.arrive("/gather/innocent");
    daemon.pass(1ms);
    for (auto const& call : daemon.openCalls())
        daemon.fail(call.number, call_failure::broken);
    LONGS_EQUAL(1, daemon.openCalls().size());
    daemon.succeed(daemon.openCalls().front().number);
    for (auto const& call : daemon.openCalls())
        daemon.succeed(call.number);
    LONGS_EQUAL(200, daemon.answerOf(token)->status);
    CHECK(daemon.engine.quarantined().quarantinedCount() == 0);
}

TEST(SuspectRequest, TrialThatSucceedsServesTheWholeQuery)
{
    sendPoison("/gather/recovered");
    daemon.pass(5s);
    auto const token = daemon.arrive("/gather/recovered");
    LONGS_EQUAL(1, daemon.openCalls().size());
    daemon.succeed(daemon.openCalls().front().number);
    LONGS_EQUAL(shardCount - 1, daemon.openCalls().size());
    for (auto const& call : daemon.openCalls())
        daemon.succeed(call.number);
    LONGS_EQUAL(0, daemon.answerOf(token)->missingParts);
}

TEST(SuspectRequest, HedgesOfASuspectWait)
{
    useDeskLeafs();
    daemon.arrive("/single/poison");
    LONGS_EQUAL(1, loseOpenCalls());
    LONGS_EQUAL(1, daemon.openCalls().size());
    daemon.pass(1s);
    LONGS_EQUAL(1, daemon.openCalls().size());
}

// Guards against leafs that count as lost although only connections to them were reset.
TEST(SuspectRequest, LossesOfLeafsThatReplySoonDoNotCount)
{
    useDeskLeafs();
    for (int count = 0; count < 10; ++count) {
        auto const other = daemon.arrive("/single/other" + std::to_string(count));
        daemon.arrive("/single/unlucky");
        daemon.pass(1ms);
        for (auto const& call : daemon.openCalls("desk")) {
            if (call.request->target == "/single/unlucky")
                daemon.fail(call.number, call_failure::broken);
        }
        while (!daemon.openCalls("desk").empty()) {
            auto const call = daemon.openCalls("desk").front();
            if (call.request->target == "/single/unlucky")
                daemon.fail(call.number, call_failure::malformed);
            else
                daemon.succeed(call.number);
        }
        CHECK(daemon.answerOf(other) && daemon.answerOf(other)->status == 200);
        for (std::size_t index = 0; index < deskLeafCount; ++index) {
            daemon.arrive("/single/alive" + std::to_string(index));
            while (!daemon.openCalls("desk").empty())
                daemon.succeed(daemon.openCalls("desk").front().number);
        }
        daemon.pass(100ms);
    }
    LONGS_EQUAL(0, daemon.engine.quarantined().quarantinedCount());
    LONGS_EQUAL(0, daemon.engine.counters().rejectionsForQuarantine);
}

// Guards against calls that were decided on before the third loss and sent after it.
TEST(SuspectRequest, CallsOnNewConnectionsAreNotSentAfterTheThirdLoss)
{
    useDeskLeafs();
    daemon.arrive("/single/poison");
    auto const waiting = daemon.openCalls().front().number;
    daemon.pass(10ms);
    std::vector<quarantine::suspect> told { { .request = forwarding::digestsOf(*daemon.openCalls().front().request).front() } };
    for (std::uint64_t leaf = 1; leaf <= 3; ++leaf)
        told[0].losses.push_back({ leaf, daemon.now() - 4s + leaf * 1s, daemon.now() - 3s + leaf * 1s });
    daemon.engine.mergeSuspects(told, daemon.now());
    CHECK_FALSE(daemon.engine.isCallWanted(waiting, daemon.now()));
    daemon.fail(waiting, call_failure::withheld);
    LONGS_EQUAL(0, daemon.openCalls().size());
    LONGS_EQUAL(0, sendPoison("/single/poison"));
    LONGS_EQUAL(502, lastStatus());
}

// Guards against losses that only a relay sees.
TEST(SuspectRequest, RelayTellsTheRequestingDaemonOfLosses)
{
    auto const token = daemon.sendRelayedRequest("/gather/poison", { 1, { 3, 4, 5 }, 60ms, 60ms });
    LONGS_EQUAL(3, loseOpenCalls());
    auto const& answer = *daemon.answerOf(token);
    LONGS_EQUAL(3, answer.losses.size());
    std::string lines;
    auto const protocol = forwarding::makeRelayProtocol();
    protocol.writeAnswerHeaders(answer, lines);
    static constexpr std::string_view name = "X-Relay-Losses: ";
    auto const start = lines.find(name) + name.size();
    forwarding::leaf_reply parsed;
    protocol.parseReplyHeader("X-Relay-Losses", lines.substr(start, lines.find("\r\n", start) - start), parsed);
    CHECK(parsed.losses == answer.losses);
    forwarding::leaf_reply malformed;
    protocol.parseReplyHeader("X-Relay-Losses", "1/2,/,a/b/c/d,7/8/9", malformed);
    LONGS_EQUAL(1, malformed.losses.size());
    // A quarantined request is rejected before any leaf is called.
    daemon.sendRelayedRequest("/gather/poison", { 1, { 3, 4, 5 }, 60ms, 60ms });
    LONGS_EQUAL(0, daemon.openCalls().size());
}

// Guards against trials that, within a minute, end more leafs than the platform allows after the third one.
TEST(SuspectRequest, EndsAtMostThreeLeafsMoreInAMinute)
{
    useDeskLeafs();
    while (endCount < 3) {
        sendPoison("/single/poison");
        daemon.pass(100ms);
    }
    auto const ruleBeginsAt = daemon.now() + 4s;
    std::size_t counted = 0;
    while (daemon.now() < ruleBeginsAt + 60s) {
        auto const before = endCount;
        sendPoison("/single/poison");
        counted += daemon.now() >= ruleBeginsAt ? endCount - before : 0;
        daemon.pass(100ms);
    }
    CHECK(counted <= 3);
}

// Guards against: an innocent request is rejected for a minute after a fault of the links in which its calls and trials ended.
// Load: one request ten times a second, after five of its leafs were cut off one after the other.
TEST(SuspectRequest, InnocentRequestIsServedWithinEightSecondsOfTheFaults)
{
    useDeskLeafs();
    daemon.arrive("/single/innocent");
    std::vector<quarantine::suspect> told { { .request = forwarding::digestsOf(*daemon.openCalls("desk").front().request).front() } };
    while (!daemon.openCalls("desk").empty())
        daemon.fail(daemon.openCalls("desk").front().number, call_failure::timed_out);
    for (int leaf = 0; leaf < 5; ++leaf) {
        auto const lostAt = daemon.now() - (5 - leaf) * 2s;
        told[0].losses.push_back({ quarantine::hashLeaf("desk/" + std::to_string(leaf), 1), lostAt - 1s, lostAt });
    }
    daemon.engine.mergeSuspects(told, daemon.now());
    int attempts = 0;
    auto const isServed = [&] {
        lastToken = daemon.arrive("/single/innocent");
        for (auto calls = daemon.openCalls("desk"); !calls.empty(); calls = daemon.openCalls("desk"))
            daemon.succeed(calls.front().number);
        daemon.pass(100ms);
        return lastStatus() == 200;
    };
    while (attempts < 80 && !isServed())
        ++attempts;
    CHECK(attempts > 0 && attempts < 80);
    CHECK(daemon.engine.counters().lossProbes >= 5);
}

// Guards against: probes of the leafs that a request has ended load the leafs that start in their place, or refute its losses.
TEST(SuspectRequest, LeafsThatStartAgainAreNotProbedForTheLossesBefore)
{
    useDeskLeafs();
    while (endCount < 3) {
        sendPoison("/single/poison");
        daemon.pass(100ms);
    }
    daemon.pass(10s);
    LONGS_EQUAL(0, daemon.engine.counters().lossProbes);
    LONGS_EQUAL(1, sendPoison("/single/poison"));
    LONGS_EQUAL(502, lastStatus());
}
