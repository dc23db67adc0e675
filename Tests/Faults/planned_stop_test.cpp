// Planned stops of a daemon while callers go on to use it, over new and over open connections.

#include "Tests/Support/http_call.h"
#include "Tests/Support/lasting_callers.h"
#include "Tests/Support/small_edge_fleet.h"
#include <CppUTest/TestHarness.h>
#include <atomic>
#include <thread>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::caller_answer;
using tests::persistent_connection;
using tests::received_attempts;
using tests::replySuccessfully;
using tests::small_edge_fleet;

TEST_GROUP(PlannedStop) {};

// Guards against requests that are accepted between the last look at the requests in flight and the end of the process.
TEST(PlannedStop, RequestsThatReachedALeafAreAnswered)
{
    received_attempts received;
    auto const reply = [&](std::string const& request) {
        received.insert(request);
        std::this_thread::sleep_for(2ms);
        return replySuccessfully(request);
    };
    small_edge_fleet fleet { 1, false, reply, reply };
    std::atomic<bool> shouldEnd { false };
    std::atomic<std::size_t> answered { 0 };
    std::atomic<std::size_t> cutAfterCall { 0 };
    std::atomic<std::size_t> cutBeforeCall { 0 };
    std::vector<std::thread> callers;
    static constexpr std::size_t callerCount = 16;
    callers.reserve(callerCount);
    for (std::size_t caller = 0; caller < callerCount; ++caller) {
        callers.emplace_back([&, caller] {
            persistent_connection kept { fleet.daemon(0).callers };
            for (std::size_t count = 0; !shouldEnd; ++count) {
                auto const id = "c" + std::to_string(caller) + "-" + std::to_string(count);
                auto const bytes = tests::formatPostRequest("/single/a", id, "order");
                // Half of the callers open a connection for each request.
                auto const answer = caller % 2 == 0 ? kept.ask(bytes) : tests::sendOverNewConnection(fleet.daemon(0).callers, bytes);
                answered += answer.isTruncated ? 0 : 1;
                if (!answer.isTruncated)
                    continue;
                cutAfterCall += received.contains(id) ? 1 : 0;
                cutBeforeCall += received.contains(id) ? 0 : 1;
                std::this_thread::sleep_for(1ms);
            }
        });
    }
    std::this_thread::sleep_for(500ms);
    fleet.daemon(0).process->signal(SIGTERM);
    auto const exitCode = fleet.daemon(0).process->waitForExit(8s);
    shouldEnd = true;
    for (auto& caller : callers)
        caller.join();
    CHECK(exitCode.has_value());
    LONGS_EQUAL(0, *exitCode);
    CHECK(answered > 100);
    LONGS_EQUAL(0, cutAfterCall);
}

// Guards against a daemon that goes on after its planned stop, with open connections, because nobody reads its log.
TEST(PlannedStop, ReaderOfTheLogThatStandsStillKeepsNoProcessFromEnding)
{
    small_edge_fleet fleet { 1 };
    auto& process = *fleet.daemon(0).process;
    process.stopReading();
    // Each of these requests has a line in the log.
    for (int count = 0; count < 200; ++count)
        LONGS_EQUAL(400, tests::sendOverNewConnection(fleet.daemon(0).callers, "GET / HTTP/1.1\r\n\r\n").status);
    process.signal(SIGTERM);
    LONGS_EQUAL(0, process.waitForExit(6s).value_or(-1));
}
