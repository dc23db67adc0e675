// Requests that a daemon has read when it is stopped, or reads while it stops, and that must not end without an answer.

#include "Tests/Support/http_call.h"
#include "Tests/Support/lasting_callers.h"
#include "Tests/Support/small_edge_fleet.h"
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

// Included after the library headers, because CppUTest defines a macro `new` that breaks them.
#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::caller_outcome;
using tests::lasting_callers;
using tests::received_attempts;
using tests::replySuccessfully;
using tests::small_edge_fleet;

namespace {

/// Time in which a stopping process must end; it is killed afterwards.
constexpr auto graceTime = 6s;

/// A daemon whose orders take a given time at their leafs, and callers that go on while it stops.
struct stopping_fleet {
    /// Orders take up to `orderTime`, and at least the share `shortest` of it.
    explicit stopping_fleet(std::chrono::milliseconds orderTime, bool isRepeatable = false, double shortest = 0.5)
        : replyLate([this, orderTime, shortest](std::string const& request) {
            received.insert(request);
            auto reply = replySuccessfully(request);
            auto const jitter = static_cast<double>(std::hash<std::string> {}(request) % 1000) / 1000;
            reply.runTime = std::chrono::duration_cast<std::chrono::milliseconds>(orderTime * (shortest + jitter * (1 - shortest)));
            return reply;
        })
        , fleet(1, isRepeatable, replyLate, replyLate)
    {
    }

    tests::child_process& process() { return *fleet.daemon(0).process; }

    /// Waits until the process has ended, and returns what became of the callers' requests.
    std::vector<caller_outcome> finish(lasting_callers& callers)
    {
        exitCode = process().waitForExit(graceTime + 2s);
        // The logs show what the process knew of the requests that were cut.
        for (auto const& line : process().lines()) {
            if (line.find("event=request_interrupted") != std::string::npos || line.find("event=stopped") != std::string::npos)
                UT_PRINT(line.c_str());
        }
        return callers.stop();
    }

    received_attempts received;
    small_edge_fleet::reply_hook replyLate;
    small_edge_fleet fleet;
    std::optional<int> exitCode;
};

std::string formatOrder(std::string const& id)
{
    return tests::formatPostRequest("/single/a", id, "order");
}

std::size_t countStatus(std::vector<caller_outcome> const& outcomes, int status)
{
    return static_cast<std::size_t>(std::count_if(outcomes.begin(), outcomes.end(), [status](auto const& each) { return !each.answer.isTruncated && each.answer.status == status; }));
}

}

TEST_GROUP(RequestsCutByStop) {};
TEST_GROUP(RepeatedStopSignals) {};

// Guards against requests that are passed on late in the grace and cut at its end.
TEST(RequestsCutByStop, OrdersSentUntilTheEndAreAnsweredOrRejected)
{
    stopping_fleet stopping { 900ms };
    lasting_callers callers { stopping.fleet.daemon(0).callers, 16, formatOrder };
    std::this_thread::sleep_for(500ms);
    stopping.process().signal(SIGTERM);
    auto const outcomes = stopping.finish(callers);
    CHECK(stopping.exitCode == 0);
    LONGS_EQUAL(0, tests::findCutRequests(outcomes, stopping.received).size());
    LONGS_EQUAL(0, tests::findFalseRejections(outcomes, stopping.received).size());
    CHECK(countStatus(outcomes, 200) > 20);
}

// Guards against rejecting requests early in a stop that would have been served before its end.
TEST(RequestsCutByStop, OrdersThatFitAreServed)
{
    static constexpr auto latestFit = 3500ms;
    static constexpr std::size_t allowedRejectionDivisor = 50;
    stopping_fleet stopping { 540ms, false, 1 };
    // The leafs' places are busy for most of the time.
    lasting_callers callers { stopping.fleet.daemon(0).callers, small_edge_fleet::deskPlaces * 84 / 100, [](std::string const& id) { return tests::formatGetRequest("/single/a", id, 6000); } };
    std::this_thread::sleep_for(6s);
    auto const signalledAt = std::chrono::steady_clock::now();
    stopping.process().signal(SIGTERM);
    auto const outcomes = stopping.finish(callers);
    CHECK(stopping.exitCode == 0);
    LONGS_EQUAL(0, tests::findCutRequests(outcomes, stopping.received).size());
    LONGS_EQUAL(0, tests::findFalseRejections(outcomes, stopping.received).size());
    std::vector<caller_outcome> early;
    std::copy_if(outcomes.begin(), outcomes.end(), std::back_inserter(early), [&](auto const& each) { return each.sentAt >= signalledAt && each.sentAt < signalledAt + latestFit; });
    CHECK(early.size() > 15);
    CHECK((early.size() - countStatus(early, 200)) * allowedRejectionDivisor <= early.size());
}

// Guards against a second stop signal that cuts the requests in flight.
TEST(RepeatedStopSignals, FurtherStopSignalsCutNoRequest)
{
    stopping_fleet stopping { 60ms };
    lasting_callers callers { stopping.fleet.daemon(0).callers, 8, formatOrder };
    std::this_thread::sleep_for(500ms);
    for (auto const signal : { SIGTERM, SIGTERM, SIGINT, SIGTERM }) {
        stopping.process().signal(signal);
        std::this_thread::sleep_for(300ms);
    }
    auto const outcomes = stopping.finish(callers);
    CHECK(stopping.exitCode == 0);
    LONGS_EQUAL(0, tests::findCutRequests(outcomes, stopping.received).size());
    LONGS_EQUAL(0, tests::findFalseRejections(outcomes, stopping.received).size());
    CHECK(countStatus(outcomes, 200) > 100);
}

// Guards against requests in flight at the signal that take longer than the grace and end with it.
TEST(RequestsCutByStop, RequestsThatOutlastTheGraceAreAnswered)
{
    for (bool const isRepeatable : { false, true }) {
        stopping_fleet stopping { 20s, isRepeatable };
        lasting_callers callers { stopping.fleet.daemon(0).callers, 4, [](std::string const& id) { return tests::formatGetRequest("/single/a", id, 15'000); } };
        std::this_thread::sleep_for(500ms);
        auto const signalledAt = std::chrono::steady_clock::now();
        stopping.process().signal(SIGTERM);
        auto const outcomes = stopping.finish(callers);
        CHECK(std::chrono::steady_clock::now() - signalledAt < graceTime);
        CHECK(stopping.exitCode == 0);
        LONGS_EQUAL(0, tests::findCutRequests(outcomes, stopping.received).size());
        LONGS_EQUAL(0, tests::findFalseRejections(outcomes, stopping.received).size());
        // None has an answer of a leaf, and those that a leaf got may have run.
        LONGS_EQUAL(0, countStatus(outcomes, 200));
        CHECK(countStatus(outcomes, 502) + countStatus(outcomes, 504) >= 2);
    }
}

// Guards against reloads and changes of the configuration that cut requests while a daemon stops.
TEST(RequestsCutByStop, ChangesWhileStoppingCutNoRequest)
{
    stopping_fleet stopping { 60ms };
    lasting_callers callers { stopping.fleet.daemon(0).callers, 8, formatOrder };
    std::this_thread::sleep_for(500ms);
    stopping.process().signal(SIGTERM);
    // The stop takes the time from the settings that were in effect at the signal.
    CHECK(stopping.process().waitForLine("event=leaving").has_value());
    for (std::uint64_t version = 2; version < 12; ++version) {
        stopping.fleet.replaceSetting(0, "stop_time_s", version % 2 == 0 ? 3 : 6);
        stopping.process().signal(SIGHUP);
        stopping.fleet.declare(version, 4, false);
        std::this_thread::sleep_for(200ms);
        stopping.process().signal(SIGHUP);
    }
    auto const outcomes = stopping.finish(callers);
    CHECK(stopping.exitCode == 0);
    LONGS_EQUAL(0, tests::findCutRequests(outcomes, stopping.received).size());
    LONGS_EQUAL(0, tests::findFalseRejections(outcomes, stopping.received).size());
    CHECK(countStatus(outcomes, 200) > 100);
}

// Guards against an answer that is cut while a caller reads it slowly, since the daemon is leaving.
TEST(RequestsCutByStop, AnswersThatAreReadSlowlyAreComplete)
{
    // More than the buffers of the connection hold.
    static constexpr std::size_t bodyBytes = 7U << 20U;
    auto const reply = [](std::string const& request) { return tests::scripted_reply { tests::sealedReply(request, std::string(bodyBytes, 'a')), false, false }; };
    small_edge_fleet fleet { 1, false, reply, reply };
    auto& process = *fleet.daemon(0).process;
    process.signal(SIGTERM);
    CHECK(process.waitForLine("event=leaving").has_value());
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket caller { context, boost::asio::ip::tcp::v4() };
    caller.set_option(boost::asio::socket_base::receive_buffer_size { 65'536 });
    caller.connect({ boost::asio::ip::make_address(fleet.daemon(0).callers.address), fleet.daemon(0).callers.port });
    boost::asio::write(caller, boost::asio::buffer(formatOrder("slow")));
    // Longer than a connection lingers after its last answer.
    std::this_thread::sleep_for(2500ms);
    std::string answer;
    boost::system::error_code end;
    boost::asio::read(caller, boost::asio::dynamic_buffer(answer), end);
    CHECK(end == boost::asio::error::eof);
    CHECK(answer.starts_with("HTTP/1.1 200 "));
    CHECK(answer.size() > bodyBytes);
    LONGS_EQUAL(0, process.waitForExit(graceTime).value_or(-1));
}
