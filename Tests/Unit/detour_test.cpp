#include "Tests/Support/daemon_with_peers.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using errors::error_kind;
using forwarding::call_failure;
using forwarding::detoured_request;
using forwarding::leaf_reply;
using reachability::link_state;
using tests::daemon_with_peers;

namespace {

constexpr auto shardCount = daemon_with_peers::shardCount;

}

TEST_GROUP(Detour) {};

// Guards against: requests that arrive while the links are lost are sent to leafs that can't reply.
TEST(Detour, RequestsOfEachKindGoToAnotherDaemonAsAWhole)
{
    daemon_with_peers daemon;
    daemon.loseLinks();
    auto const query = daemon.arrive("/gather/next");
    auto const order = daemon.arrive("/single/next");
    CHECK(daemon.leafCallsOf("/gather/next").empty());
    CHECK(daemon.leafCallsOf("/single/next").empty());
    auto const call = daemon.detourOf("/gather/next");
    CHECK_FALSE(call.detoured->isCounted);
    LONGS_EQUAL(0, call.detoured->attemptsUsed);
    LONGS_EQUAL(3, call.detoured->minimumVersion);
    CHECK(call.detoured->objectiveLeft > 50ms);
    daemon.answerDetour(call);
    auto const* const answer = daemon.answerOf(query);
    LONGS_EQUAL(200, answer->status);
    CHECK(answer->isMerged);
    LONGS_EQUAL(2, answer->partSeals.size());
    LONGS_EQUAL(4, answer->missingParts);
    STRCMP_EQUAL("records", answer->body.c_str());
    leaf_reply reply;
    reply.status = 200;
    reply.seal = "seal-desk";
    reply.body = "order";
    reply.detour = forwarding::detour_outcome { .reason = "answered", .version = 3 };
    daemon.reply(daemon.detourOf("/single/next").number, std::move(reply));
    STRCMP_EQUAL("seal-desk", daemon.answerOf(order)->seal.c_str());
    CHECK_FALSE(daemon.answerOf(order)->isMerged);
}

// Guards against: requests in flight at the loss hang until their end.
TEST(Detour, RequestsInFlightSwitchAndAreCharged)
{
    daemon_with_peers daemon;
    auto const query = daemon.loseLinks();
    auto const call = daemon.detourOf("/gather/lost");
    CHECK(call.detoured->isCounted);
    CHECK(daemon.cancelled().size() >= shardCount);
    // Late ends of the withdrawn calls change nothing.
    for (auto const& each : daemon.leafCallsOf("/gather/lost"))
        daemon.fail(each.number, call_failure::cancelled);
    POINTERS_EQUAL(nullptr, daemon.answerOf(query));
    daemon.answerDetour(call);
    LONGS_EQUAL(200, daemon.answerOf(query)->status);
}

// Guards against: a query that passes on while the budget of extra calls is spent lets leafs get more than they allow.
TEST(Detour, WithoutBudgetRequestsInFlightAreNotSentAgain)
{
    daemon_with_peers daemon;
    daemon.engine.setExtraCalls({ .ratio = 0, .slack = 0 }, daemon.now());
    daemon.loseLinks();
    CHECK(daemon.detours().empty());
    // A request of which nothing was sent needs no budget.
    daemon.arrive("/gather/next");
    LONGS_EQUAL(1, daemon.detours().size());
}

// Guards against: an order that a leaf may have got runs twice.
TEST(Detour, OrderThatMayHaveReachedALeafIsNotPassedOn)
{
    daemon_with_peers daemon;
    auto const order = daemon.arrive("/single/sent");
    daemon.loseLinks();
    LONGS_EQUAL(1, daemon.leafCallsOf("/single/sent").size());
    daemon.fail(daemon.leafCallsOf("/single/sent").front().number, call_failure::broken);
    LONGS_EQUAL(502, daemon.answerOf(order)->status);
    for (auto const& call : daemon.detours())
        CHECK(call.request->target != "/single/sent");
}

// Guards against: an order whose connection does not open waits for it although another daemon could serve it.
TEST(Detour, OrderWhoseConnectionHasNotOpenedIsPassedOn)
{
    daemon_with_peers daemon;
    daemon.setCallsConnected(false);
    daemon.arrive("/single/unsent");
    daemon.loseLinks();
    auto const calls = daemon.leafCallsOf("/single/unsent");
    LONGS_EQUAL(1, calls.size());
    CHECK(std::find(daemon.cancelled().begin(), daemon.cancelled().end(), calls.front().number) != daemon.cancelled().end());
    daemon.fail(calls.front().number, call_failure::not_sent);
    daemon.detourOf("/single/unsent");
}

// Guards against: an order that another daemon may have sent to a leaf is sent once more, or said not to have run.
TEST(Detour, OrderWhoseDetourBreaksEndsAsUnknown)
{
    daemon_with_peers daemon;
    daemon.loseLinks();
    auto const order = daemon.arrive("/single/next");
    daemon.fail(daemon.detourOf("/single/next").number, call_failure::broken);
    LONGS_EQUAL(502, daemon.answerOf(order)->status);
    auto const late = daemon.arrive("/single/late", 300ms);
    daemon.pass(1s);
    LONGS_EQUAL(504, daemon.answerOf(late)->status);
}

// Guards against: a daemon that has gone, or that has lost its own leafs, is the end of the way.
TEST(Detour, RequestGoesToTheNextDaemonWhenItHasNotRun)
{
    daemon_with_peers daemon;
    daemon.loseLinks();
    auto const order = daemon.arrive("/single/next");
    auto const first = daemon.detourOf("/single/next");
    daemon.fail(first.number, call_failure::not_sent);
    auto const second = daemon.detourOf("/single/next");
    CHECK(second.endpoint != first.endpoint);
    daemon.refuseDetour(second, error_kind::no_live_target, "links_lost");
    LONGS_EQUAL(503, daemon.answerOf(order)->status);
    CHECK(daemon.answerOf(order)->error->retryAfter.has_value());
}

// Guards against: rejections of the other daemon reach the caller without the time to come back, or are tried on further daemons.
TEST(Detour, RejectionForOverloadIsPassedOn)
{
    daemon_with_peers daemon;
    daemon.loseLinks();
    auto const order = daemon.arrive("/single/next");
    daemon.refuseDetour(daemon.detourOf("/single/next"), error_kind::overloaded, "overloaded");
    LONGS_EQUAL(503, daemon.answerOf(order)->status);
    CHECK(daemon.answerOf(order)->error->retryAfter == 70ms);
}

// Guards against: two daemons without leafs pass a request to and fro.
TEST(Detour, DaemonWithoutLinksRejectsRequestsOfOtherDaemons)
{
    daemon_with_peers daemon;
    daemon.loseLinks();
    auto const before = daemon.openCalls().size();
    auto const whole = daemon.sendDetouredRequest("/single/other", { .minimumVersion = 3 });
    LONGS_EQUAL(503, daemon.answerOf(whole)->status);
    STRCMP_EQUAL("links_lost", daemon.answerOf(whole)->reason.c_str());
    CHECK(daemon.answerOf(whole)->isForDetour);
    auto const part = daemon.sendRelayedRequest("/gather/other", { 3, { 0, 1, 2, 3 }, 20ms, 40ms });
    LONGS_EQUAL(503, daemon.answerOf(part)->status);
    LONGS_EQUAL(before, daemon.openCalls().size());
}

// Guards against: a request of another daemon hangs at a daemon that has just lost its links too.
TEST(Detour, RequestOfAnotherDaemonEndsWhenLinksAreLost)
{
    daemon_with_peers daemon;
    // After a reply a short time ago, the daemon accepts detours without a check of its links.
    daemon.arrive("/gather/before");
    for (auto const& call : daemon.leafCallsOf("/gather/before"))
        daemon.succeed(call.number);
    daemon.setCallsConnected(false);
    auto const order = daemon.sendDetouredRequest("/single/other", { .minimumVersion = 3 });
    auto const query = daemon.sendDetouredRequest("/gather/other", { .minimumVersion = 3, .objectiveLeft = 90ms });
    daemon.loseLinks();
    LONGS_EQUAL(502, daemon.answerOf(order)->status);
    LONGS_EQUAL(502, daemon.answerOf(query)->status);
    for (auto const& call : daemon.detours())
        CHECK(call.request->target == "/gather/lost");
}

// Guards against: the other daemon handles a request in other ways than those of its own callers.
TEST(Detour, DetouredRequestIsHandledLikeOneOfACaller)
{
    daemon_with_peers daemon;
    auto const query = daemon.sendDetouredRequest("/gather/other", { .minimumVersion = 3, .objectiveLeft = 90ms });
    LONGS_EQUAL(shardCount, daemon.openCalls().size());
    for (auto const& call : daemon.openCalls())
        daemon.succeed(call.number);
    LONGS_EQUAL(200, daemon.answerOf(query)->status);
    LONGS_EQUAL(shardCount, daemon.answerOf(query)->partSeals.size());
    CHECK(daemon.answerOf(query)->isForDetour);
}

// Guards against: one request reaches more leafs of a shard than its route allows, over two daemons together.
TEST(Detour, AttemptsOfTheOtherDaemonCount)
{
    daemon_with_peers daemon { true };
    daemon.sendDetouredRequest("/single/other", { .minimumVersion = 3, .objectiveLeft = 90ms, .attemptsUsed = 1 });
    auto const calls = daemon.openCalls("desk");
    LONGS_EQUAL(1, calls.size());
    daemon.pass(1s);
    LONGS_EQUAL(1, daemon.openCalls("desk").size());
    daemon.fail(calls.front().number, call_failure::broken);
    LONGS_EQUAL(0, daemon.openCalls("desk").size());
}

// Guards against: a daemon with an older configuration handles a request by rules that are no longer in effect.
TEST(Detour, DaemonWithAnOlderConfigurationRejects)
{
    daemon_with_peers daemon;
    auto const order = daemon.sendDetouredRequest("/single/other", { .minimumVersion = 4 });
    LONGS_EQUAL(503, daemon.answerOf(order)->status);
    LONGS_EQUAL(0, daemon.openCalls("desk").size());
    // A daemon that has passed on a request under a newer version goes back behind it no more.
    daemon.loseLinks();
    daemon.arrive("/single/first");
    leaf_reply reply;
    reply.status = 200;
    reply.detour = forwarding::detour_outcome { .reason = "answered", .version = 9 };
    daemon.reply(daemon.detourOf("/single/first").number, std::move(reply));
    daemon.arrive("/single/second");
    LONGS_EQUAL(9, daemon.detourOf("/single/second").detoured->minimumVersion);
}

// Guards against: requests that surely can't be served wait until their end.
TEST(Detour, WithoutAnyDaemonThatReachesLeafsRequestsAreRejectedAtOnce)
{
    daemon_with_peers daemon { false, 0 };
    daemon.loseLinks();
    daemon.pass(1s);
    auto const order = daemon.arrive("/single/next");
    LONGS_EQUAL(503, daemon.answerOf(order)->status);
    CHECK(daemon.answerOf(order)->error->retryAfter > 0ms);
    CHECK(daemon.leafCallsOf("/single/next").empty());
}

// Guards against: a daemon that can open connections to leafs rejects requests that it could serve.
TEST(Detour, WithoutAnyDaemonThatReachesLeafsBusyLeafsAreStillCalled)
{
    daemon_with_peers daemon { false, 0 };
    daemon.setProbesConnected(true);
    daemon.setProbesAnswered(false);
    daemon.arrive("/gather/lost");
    daemon.pass(1300ms);
    CHECK(daemon.engine.linkState() == link_state::lost);
    daemon.arrive("/single/next");
    LONGS_EQUAL(1, daemon.leafCallsOf("/single/next").size());
}

// Guards against: the other daemon goes on working for a caller who has left.
TEST(Detour, CallerWhoLeavesEndsTheDetour)
{
    daemon_with_peers daemon { true };
    daemon.loseLinks();
    auto const order = daemon.arrive("/single/next");
    auto const call = daemon.detourOf("/single/next");
    daemon.engine.handleCallerDisconnect(order, daemon.now());
    daemon.pass(300ms);
    CHECK(std::find(daemon.cancelled().begin(), daemon.cancelled().end(), call.number) != daemon.cancelled().end());
}

// Guards against: resets of a daemon's own links put requests under quarantine everywhere.
TEST(Detour, DaemonThatReachesLeafsRefutesTheLossesOfAnother)
{
    daemon_with_peers lost;
    daemon_with_peers other;
    lost.setProbesAnswered(false);
    lost.arrive("/gather/victim");
    for (auto const& call : lost.leafCallsOf("/gather/victim"))
        lost.fail(call.number, call_failure::broken);
    CHECK(lost.engine.quarantined().quarantinedCount() > 0);
    other.pass(10ms);
    other.engine.mergeSuspects(lost.engine.quarantined().suspectsToShare(lost.now()), other.now());
    CHECK(other.engine.quarantined().quarantinedCount() > 0);
    other.pass(10ms);
    other.arrive("/gather/bystander");
    for (auto const& call : other.leafCallsOf("/gather/bystander"))
        other.succeed(call.number);
    LONGS_EQUAL(0, other.engine.quarantined().quarantinedCount());
    lost.pass(20ms);
    lost.engine.mergeSuspects(other.engine.quarantined().suspectsToShare(other.now()), lost.now());
    LONGS_EQUAL(0, lost.engine.quarantined().quarantinedCount());
}

// Guards against: daemons that are all cut off quarantine each request whose calls break.
TEST(Detour, CallsThatBreakWhileLinksAreLostBlameNoRequest)
{
    daemon_with_peers daemon { true };
    daemon.arrive("/single/victim");
    daemon.loseLinks();
    for (auto const& call : daemon.leafCallsOf("/single/victim"))
        daemon.fail(call.number, call_failure::broken);
    CHECK(daemon.engine.quarantined().isEmpty());
}

// Guards against: daemons without links use up the trials that would end a quarantine.
TEST(Detour, QuarantinedRequestIsNotTriedAgainWhileLinksAreLost)
{
    daemon_with_peers daemon { false, 0 };
    daemon.setProbesConnected(true);
    daemon.setProbesAnswered(false);
    daemon.arrive("/gather/victim");
    for (auto const& call : daemon.leafCallsOf("/gather/victim"))
        daemon.fail(call.number, call_failure::broken);
    daemon.pass(1300ms);
    CHECK(daemon.engine.linkState() == link_state::lost);
    CHECK(daemon.engine.quarantined().quarantinedCount() > 0);
    daemon.pass(5s);
    auto const again = daemon.arrive("/gather/victim");
    CHECK(daemon.leafCallsOf("/gather/victim").empty());
    LONGS_EQUAL(0, daemon.engine.counters().quarantineTrials);
    CHECK(daemon.answerOf(again)->status == 502 || daemon.answerOf(again)->status == 503);
}

// Guards against: a request that ends leafs is forgotten because the links are lost as well.
TEST(Detour, LossesBeforeTheLinksAreLostStillCount)
{
    daemon_with_peers daemon;
    daemon.setProbesAnswered(false);
    daemon.arrive("/gather/deadly");
    for (auto const& call : daemon.leafCallsOf("/gather/deadly"))
        daemon.fail(call.number, call_failure::broken);
    daemon.pass(400ms);
    CHECK(daemon.engine.linkState() == link_state::lost);
    CHECK(daemon.engine.quarantined().quarantinedCount() > 0);
}

// Guards against: callers stay on the detour after the links are back.
TEST(Detour, RequestsGoToLeafsAgainOnceTheLinksAreProved)
{
    daemon_with_peers daemon;
    daemon.loseLinks();
    daemon.setProbesAnswered(true);
    daemon.pass(1s);
    CHECK(daemon.engine.linkState() == link_state::intact);
    daemon.arrive("/single/next");
    LONGS_EQUAL(1, daemon.leafCallsOf("/single/next").size());
}

// Guards against: one slow or stalled daemon gets all requests that are passed on.
TEST(Detour, RequestsAreSpreadOverDaemons)
{
    daemon_with_peers daemon { true };
    daemon.loseLinks();
    std::map<model::endpoint, int> counts;
    for (int count = 0; count < 20; ++count)
        daemon.arrive("/single/" + std::to_string(count));
    for (auto const& call : daemon.detours())
        ++counts[call.endpoint];
    LONGS_EQUAL(2, counts.size());
    for (auto const& [endpoint, count] : counts)
        CHECK(count >= 8);
}
