// Load patterns: leafs that leave while requests arrive.

#include "Libraries/zinnialedge/forwarding/relay_protocol.h"
#include "Tests/Support/daemon_with_peers.h"
#include "Tests/Support/noticing_fleet.h"

using namespace zinnialedge;
using namespace std::chrono_literals;
using errors::error_kind;
using forwarding::leaf_registration;
using forwarding::leaf_reply;
using tests::engine_harness;
using tests::noticing_fleet;
using tests::rejection;
using tests::sealedReply;

TEST_GROUP(LeafLeaving) {};

TEST(LeafLeaving, LeafGetsNoCallsAfterTheFirstReplyThatSaysSo)
{
    noticing_fleet fleet;
    auto const token = fleet.arrive("/single/1");
    auto const leaving = fleet.answerOnly("desk", sealedReply(true));
    LONGS_EQUAL(200, fleet.answerOf(token)->status);
    for (int count = 0; count < 20; ++count) {
        fleet.arrive("/single/1");
        CHECK(fleet.openCalls("desk").front().leafId != leaving.leafId);
        fleet.succeedAll();
    }
    LONGS_EQUAL(1, fleet.engine.counters().leafsLeaving);
}

TEST(LeafLeaving, RejectionThatSaysSoCounts)
{
    noticing_fleet fleet;
    fleet.arrive("/single/1");
    auto const leaving = fleet.answerOnly("desk", rejection({}, true));
    CHECK(fleet.openCalls("desk").front().leafId != leaving.leafId);
    fleet.succeedAll();
    fleet.pass(5s);
    fleet.arrive("/single/1");
    CHECK(fleet.openCalls("desk").front().leafId != leaving.leafId);
}

TEST(LeafLeaving, ReplyThatArrivesAfterTheAnswerCounts)
{
    noticing_fleet fleet;
    fleet.arrive("/gather/1");
    auto const slow = fleet.openCalls("shard3").front();
    for (auto const& call : fleet.openCalls()) {
        if (call.number != slow.number)
            fleet.succeed(call.number);
    }
    fleet.pass(90ms);
    fleet.reply(slow.number, sealedReply(true));
    fleet.arrive("/gather/1");
    for (auto const& call : fleet.openCalls("shard3"))
        CHECK(call.leafId != slow.leafId);
}

TEST(LeafLeaving, ReplyThatAnswersNoOpenCallCounts)
{
    noticing_fleet fleet;
    fleet.arrive("/single/1");
    auto const call = fleet.openCalls("desk").front();
    fleet.succeed(call.number);
    fleet.engine.handleUnmatchedReply(call.leaf, sealedReply(true), fleet.now());
    fleet.arrive("/single/1");
    CHECK(fleet.openCalls("desk").front().leafId != call.leafId);
}

TEST(LeafLeaving, ReplyOfAnotherLeafAtTheAddressDoesNotCount)
{
    noticing_fleet fleet;
    fleet.arrive("/single/1");
    auto const call = fleet.openCalls("desk").front();
    fleet.succeed(call.number);
    auto misdirected = rejection({}, true);
    misdirected.isMisdirected = true;
    fleet.engine.handleUnmatchedReply(call.leaf, misdirected, fleet.now());
    LONGS_EQUAL(0, fleet.engine.counters().leafsLeaving);
}

TEST(LeafLeaving, StoreThatStillSaysReadyDoesNotUndoIt)
{
    noticing_fleet fleet;
    fleet.arrive("/single/1");
    auto const leaving = fleet.answerOnly("desk", sealedReply(true));
    fleet.registerLeafs(fleet.services, 2);
    // The entry lapses and comes back, as after a return of the store.
    fleet.registerLeafs({ "shard0" }, 2);
    fleet.registerLeafs(fleet.services, 2);
    fleet.pass(10s);
    for (int count = 0; count < 10; ++count) {
        fleet.arrive("/single/1");
        CHECK(fleet.openCalls("desk").front().leafId != leaving.leafId);
        fleet.succeedAll();
    }
}

TEST(LeafLeaving, DrainingRegistrationIsNotUndoneByAnOlderCopyOfTheStore)
{
    engine_harness fleet;
    fleet.declare(1, { engine_harness::singleRoute(true) });
    leaf_registration first { "desk/0", 1, "desk", { "10.0.0.1", 80 }, "here", 2, true, {} };
    leaf_registration const second { "desk/1", 1, "desk", { "10.0.0.2", 80 }, "there", 2, false, {} };
    fleet.engine.setLeafs({ first, second }, fleet.now());
    first.isDraining = false;
    fleet.engine.setLeafs({ first, second }, fleet.now());
    fleet.arrive("/single/1");
    STRCMP_EQUAL("desk/1", fleet.openCalls("desk").front().leafId.c_str());
}

TEST(LeafLeaving, NewIncarnationDoesNotInheritIt)
{
    engine_harness fleet;
    fleet.declare(1, { engine_harness::singleRoute(true) });
    leaf_registration registration { "desk/0", 1, "desk", { "10.0.0.1", 80 }, "here", 2, false, {} };
    fleet.engine.setLeafs({ registration }, fleet.now());
    fleet.arrive("/single/1");
    fleet.reply(fleet.openCalls("desk").front().number, sealedReply(true));
    registration.startedAt = 2;
    fleet.engine.setLeafs({ registration }, fleet.now());
    fleet.arrive("/single/1");
    LONGS_EQUAL(1, fleet.openCalls("desk").size());
}

TEST(LeafLeaving, CallsInFlightEndNormally)
{
    noticing_fleet fleet;
    std::vector<forwarding::request_token> tokens;
    tokens.reserve(8);
    for (int count = 0; count < 8; ++count)
        tokens.push_back(fleet.arrive("/single/1"));
    fleet.reply(fleet.openCalls("desk").front().number, sealedReply(true));
    fleet.succeedAll();
    for (auto const token : tokens)
        LONGS_EQUAL(200, fleet.answerOf(token)->status);
    CHECK(fleet.cancelled().empty());
}

TEST(LeafLeaving, LastLeafOfAShardLeavesTheShardOutAtOnce)
{
    noticing_fleet fleet;
    fleet.replyFromEachLeaf("/gather/1", "shard3", rejection({}, true));
    auto const token = fleet.arrive("/gather/1");
    LONGS_EQUAL(0, fleet.openCalls("shard3").size());
    fleet.succeedAll();
    LONGS_EQUAL(1, fleet.answerOf(token)->missingParts);
}

TEST(LeafLeaving, LastLeafOfAServiceMeansARejectionAtOnce)
{
    noticing_fleet fleet;
    fleet.replyFromEachLeaf("/single/1", "desk", rejection({}, true));
    auto const token = fleet.arrive("/single/1");
    CHECK(fleet.answerOf(token));
    CHECK(fleet.answerOf(token)->error->kind == error_kind::no_live_target);
}

TEST(LeafLeaving, AnswerToAnotherDaemonNamesTheLeavingLeafs)
{
    noticing_fleet fleet;
    auto const token = fleet.sendRelayedRequest("/gather/1", { 1, { 3, 4 }, 50ms });
    auto const leaving = fleet.answerOnly("shard3", sealedReply(true));
    fleet.answerOnly("shard4", sealedReply(false));
    CHECK(fleet.answerOf(token)->leavingLeafIds == std::vector<std::string> { leaving.leafId });
    std::string lines;
    forwarding::makeRelayProtocol().writeAnswerHeaders(*fleet.answerOf(token), lines);
    auto const start = lines.find("X-Relay-Leaving: ");
    CHECK(start != std::string::npos);
    leaf_reply parsed;
    forwarding::makeRelayProtocol().parseReplyHeader("X-Relay-Leaving", leaving.leafId, parsed);
    CHECK(parsed.leavingLeafIds == std::vector<std::string> { leaving.leafId });
}

// Guards against calls to a leaving leaf from a daemon that has passed on its answer, which came over another daemon.
TEST(LeafLeaving, AnswerToADetourNamesTheLeavingLeaf)
{
    noticing_fleet fleet;
    auto const token = fleet.sendDetouredRequest("/single/1", { .minimumVersion = 1 });
    auto const leaving = fleet.answerOnly("desk", sealedReply(true));
    auto const* const answer = fleet.answerOf(token);
    LONGS_EQUAL(200, answer->status);
    CHECK(answer->leavingLeafIds == std::vector<std::string> { leaving.leafId });
    std::string lines;
    forwarding::makeRelayProtocol().writeAnswerHeaders(*answer, lines);
    CHECK(lines.find("X-Relay-Leaving: " + leaving.leafId + "\r\n") != std::string::npos);
}

TEST(LeafLeaving, DaemonThatGetsAnAnswerOfAnotherOneLeavesTheLeaf)
{
    tests::daemon_with_peers daemon;
    daemon.loseLinks();
    daemon.arrive("/single/first");
    auto passedOn = sealedReply(false);
    passedOn.detour = forwarding::detour_outcome { .reason = "answered", .version = 3 };
    passedOn.leavingLeafIds = { "desk/0" };
    daemon.reply(daemon.detourOf("/single/first").number, passedOn);
    daemon.setProbesAnswered(true);
    daemon.pass(10s);
    CHECK(daemon.engine.linkState() == reachability::link_state::intact);
    for (int count = 0; count < 10; ++count) {
        daemon.arrive("/single/next");
        auto const calls = daemon.leafCallsOf("/single/next");
        LONGS_EQUAL(1, calls.size());
        STRCMP_EQUAL("desk/1", calls.front().leafId.c_str());
        daemon.succeed(calls.front().number);
    }
}
