#include "Tests/Support/daemon_with_peers.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using errors::error_kind;
using tests::daemon_with_peers;

namespace {

/// A daemon whose answers are due 2 s after the test began.
struct stopping_daemon : daemon_with_peers {
    explicit stopping_daemon(bool isSingleRepeatable = false)
        : daemon_with_peers(isSingleRepeatable)
    {
    }

    void leave() { engine.setLeaving(now() + stopTime, now()); }

    /// Lets single requests take this time at their leafs, so that the daemon expects it of others.
    void serveSingles(std::chrono::milliseconds duration)
    {
        // The expectation follows after some dozens of requests.
        for (int count = 0; count < 70; ++count) {
            arrive("/single/a", 6000ms);
            pass(duration);
            for (auto const& call : openCalls("desk"))
                succeed(call.number);
        }
    }

    void checkRejected(forwarding::request_token token, error_kind kind) const
    {
        auto const* const answer = answerOf(token);
        CHECK(answer && answer->error && answer->error->kind == kind);
        LONGS_EQUAL(errors::propertiesOf(kind).httpStatus, answer->status);
        STRCMP_EQUAL("stopping", answer->reason.c_str());
    }

    static constexpr auto stopTime = 2000ms;
    static constexpr auto queryObjective = 100ms;
};

}

TEST_GROUP(StoppingDaemon) {};

// Guards against rejecting requests that would have been served in time, and against accepting those that would not.
TEST(StoppingDaemon, RequestsAreAcceptedAsLongAsTheyFit)
{
    for (bool const isRepeatable : { false, true }) {
        for (auto const duration : { 20ms, 150ms, 450ms, 900ms }) {
            for (auto const timeLeft : { 30ms, 140ms, 200ms, 440ms, 520ms, 880ms, 1100ms }) {
                stopping_daemon daemon { isRepeatable };
                daemon.serveSingles(duration);
                daemon.leave();
                daemon.pass(stopping_daemon::stopTime - timeLeft);
                auto const token = daemon.arrive("/single/b", 6000ms);
                if (timeLeft < duration) {
                    daemon.checkRejected(token, error_kind::leaving);
                    CHECK(daemon.answerOf(token)->error->retryAfter == 0ms);
                    CHECK(daemon.openCalls("desk").empty());
                    LONGS_EQUAL(1, daemon.engine.counters().rejectionsForStop);
                    // What other routes take does not count: queries take less time than the longer of these requests.
                    if (timeLeft > stopping_daemon::queryObjective)
                        POINTERS_EQUAL(nullptr, daemon.answerOf(daemon.arrive("/gather/a")));
                    continue;
                }
                LONGS_EQUAL(1, daemon.openCalls("desk").size());
                daemon.pass(duration);
                daemon.succeed(daemon.openCalls("desk").front().number);
                LONGS_EQUAL(200, daemon.answerOf(token)->status);
            }
        }
    }
}

// Guards against accepting requests that have to wait for a place behind others for longer than the daemon serves.
TEST(StoppingDaemon, TimeInTheQueueCounts)
{
    stopping_daemon daemon;
    daemon.serveSingles(20ms);
    while (daemon.openCalls("desk").size() == daemon.engine.requestsInFlight())
        daemon.arrive("/single/a", 6000ms);
    daemon.leave();
    daemon.pass(1200ms);
    daemon.checkRejected(daemon.arrive("/single/b", 6000ms), error_kind::leaving);
}

// Guards against rejecting requests whose callers wait no longer than the daemon serves.
TEST(StoppingDaemon, RequestsThatEndBeforeTheStopAreAccepted)
{
    stopping_daemon daemon;
    daemon.serveSingles(450ms);
    daemon.leave();
    daemon.pass(1500ms);
    auto const token = daemon.arrive("/single/b", 300ms);
    LONGS_EQUAL(1, daemon.openCalls("desk").size());
    daemon.pass(400ms);
    LONGS_EQUAL(504, daemon.answerOf(token)->status);
}

// Guards against requests that end without an answer when the daemon stops.
TEST(StoppingDaemon, OpenRequestsAreAnsweredWhenAnswersAreDue)
{
    for (bool const isRepeatable : { false, true }) {
        stopping_daemon daemon { isRepeatable };
        auto const before = daemon.arrive("/single/a", 6000ms);
        daemon.leave();
        auto const after = daemon.arrive("/single/b", 6000ms);
        daemon.pass(stopping_daemon::stopTime - 1ms);
        POINTERS_EQUAL(nullptr, daemon.answerOf(before));
        POINTERS_EQUAL(nullptr, daemon.answerOf(after));
        daemon.pass(1ms);
        for (auto const token : { before, after })
            daemon.checkRejected(token, isRepeatable ? error_kind::leaf_failed : error_kind::outcome_unknown);
        LONGS_EQUAL(0, daemon.engine.requestsInFlight());
        LONGS_EQUAL(2, daemon.engine.counters().requestsEndedByStop);
    }
}

// Guards against telling that a request may have run which no leaf has got, and against sending it after that.
TEST(StoppingDaemon, QueuedRequestsAreRejectedAsNotRun)
{
    stopping_daemon daemon;
    std::vector<forwarding::request_token> tokens;
    while (daemon.openCalls("desk").size() == tokens.size())
        tokens.push_back(daemon.arrive("/single/a", 6000ms));
    auto const callCount = daemon.openCalls("desk").size();
    daemon.leave();
    daemon.pass(stopping_daemon::stopTime);
    daemon.checkRejected(tokens.back(), error_kind::leaving);
    for (auto const& call : daemon.openCalls("desk"))
        daemon.succeed(call.number);
    CHECK(daemon.openCalls("desk").empty());
    LONGS_EQUAL(callCount, daemon.engine.counters().calls);
}

// Guards against a query with enough parts that gets an error because the daemon stops.
TEST(StoppingDaemon, QueriesWithTheMinimumCoverageAreServedAtTheEnd)
{
    stopping_daemon daemon;
    auto const query = daemon.arrive("/gather/a");
    daemon.engine.setLeaving(daemon.now() + 20ms, daemon.now());
    auto const calls = daemon.openCalls();
    for (std::size_t index = 0; index + 1 < calls.size(); ++index)
        daemon.succeed(calls[index].number);
    daemon.pass(20ms);
    LONGS_EQUAL(200, daemon.answerOf(query)->status);
    LONGS_EQUAL(1, daemon.answerOf(query)->missingParts);
}

// Guards against requests that are read after the drain and get no answer.
TEST(StoppingDaemon, AllRequestsAreRejectedDuringTheDrain)
{
    stopping_daemon daemon;
    daemon.leave();
    daemon.engine.rejectNewRequests();
    daemon.checkRejected(daemon.arrive("/single/a"), error_kind::leaving);
    daemon.checkRejected(daemon.arrive("/gather/a"), error_kind::leaving);
    daemon.checkRejected(daemon.sendRelayedRequest("/gather/a", { 3, { 0, 1 }, 15ms, 40ms }), error_kind::leaving);
    CHECK(daemon.openCalls().empty());
}

// Guards against callers that get the rejection of a daemon which they have not asked and which stops.
TEST(StoppingDaemon, RejectedDetourGoesToAnotherDaemon)
{
    daemon_with_peers daemon;
    daemon.loseLinks();
    auto const order = daemon.arrive("/single/next");
    auto const first = daemon.detourOf("/single/next");
    daemon.refuseDetour(first, error_kind::leaving, "stopping");
    POINTERS_EQUAL(nullptr, daemon.answerOf(order));
    auto const second = daemon.detourOf("/single/next");
    CHECK(second.endpoint != first.endpoint);
}
