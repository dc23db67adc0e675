// Leafs in trouble that send bytes without an end.

#include "Tests/Support/engine_harness.h"
#include "Tests/Support/http_call.h"
#include "Tests/Support/process_watch.h"
#include "Tests/Support/small_edge_fleet.h"
#include <CppUTest/TestHarness.h>
#include <thread>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::edge_traffic_harness;
using tests::engine_harness;
using tests::makeRegistration;
using tests::peakMemoryMegabytes;
using tests::rawHeaderValue;
using tests::replySuccessfully;
using tests::scripted_leaf;
using tests::scripted_reply;
using tests::small_edge_fleet;

namespace {

/// Upper bound on the bytes that a daemon and the socket buffers take from one reply. A daemon that reads on takes hundreds of
/// megabytes within the time limit of a request.
constexpr std::size_t maximumBytesTaken = 32U << 20U;

std::string replyHead(std::string const& request, std::string const& lines)
{
    return "HTTP/1.1 200 OK\r\nZinnialedge-Server-Seal: s\r\nZinnialedge-Attempt-Id: " + rawHeaderValue(request, "Zinnialedge-Attempt-Id") + "\r\n" + lines;
}

/// Sends a request to a leaf that repeats bytes after the given start of a reply.
void checkReplyIsCutOff(std::function<std::string(std::string const&)> const& makeStart, std::string const& repeated)
{
    std::string block;
    while (block.size() < 65'536)
        block += repeated;
    scripted_leaf leaf { [&](std::string const& request) { return scripted_reply { makeStart(request), false, false, block }; } };
    edge_traffic_harness traffic;
    traffic.declare(1, { engine_harness::singleRoute(false) });
    traffic.registerLeafs({ makeRegistration("leaf", "desk", leaf) });
    auto const startedAt = std::chrono::steady_clock::now();
    auto const answer = traffic.get("/single/a", "a1");
    CHECK(answer.status == 502 || answer.status == 504);
    CHECK(std::chrono::steady_clock::now() - startedAt < 1s);
    std::this_thread::sleep_for(500ms);
    CHECK(leaf.repeatedByteCount() < maximumBytesTaken);
    auto const count = leaf.repeatedByteCount();
    std::this_thread::sleep_for(300ms);
    LONGS_EQUAL(count, leaf.repeatedByteCount());
}

}

TEST_GROUP(EndlessReply) {};

TEST(EndlessReply, BytesThatAreNoHead)
{
    checkReplyIsCutOff([](std::string const&) { return std::string {}; }, "x");
}

TEST(EndlessReply, HeaderLineInAHead)
{
    checkReplyIsCutOff([](std::string const& request) { return replyHead(request, "X-Long: "); }, "x");
}

TEST(EndlessReply, HeaderLinesInAHead)
{
    checkReplyIsCutOff([](std::string const& request) { return replyHead(request, ""); }, "X-Line: x\r\n");
}

TEST(EndlessReply, InterimReplies)
{
    checkReplyIsCutOff([](std::string const&) { return std::string {}; }, "HTTP/1.1 102 Processing\r\n\r\n");
}

TEST(EndlessReply, BodyWithoutLength)
{
    checkReplyIsCutOff([](std::string const& request) { return replyHead(request, "\r\n"); }, "x");
}

TEST(EndlessReply, ChunksWithoutALastOne)
{
    checkReplyIsCutOff([](std::string const& request) { return replyHead(request, "Transfer-Encoding: chunked\r\n\r\n"); }, "1\r\nx\r\n");
}

TEST(EndlessReply, ChunkExtensionInABody)
{
    checkReplyIsCutOff([](std::string const& request) { return replyHead(request, "Transfer-Encoding: chunked\r\n\r\n1;"); }, "x");
}

TEST(EndlessReply, TrailerAfterABody)
{
    checkReplyIsCutOff([](std::string const& request) { return replyHead(request, "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: "); }, "x");
}

// Guards against many endless replies at once, each within its own limit, that together exceed the memory of the smallest VM.
TEST(EndlessReply, ManyAtOnceStayWithinTheMemoryOfAVm)
{
    static constexpr std::size_t smallestVmMegabytes = 260;
    static constexpr std::size_t requestCount = 60;
    std::atomic<bool> isEndless { false };
    auto const reply = [&](std::string const& request) {
        return isEndless ? scripted_reply { replyHead(request, "\r\n"), false, false, std::string(65'536, 'x') } : replySuccessfully(request);
    };
    small_edge_fleet fleet { 1, false, reply, reply };
    isEndless = true;
    std::array<int, requestCount> statuses {};
    std::vector<std::thread> callers;
    callers.reserve(requestCount);
    for (std::size_t index = 0; index < requestCount; ++index)
        callers.emplace_back([&, index] { statuses[index] = fleet.post(0, "/single/a", "a" + std::to_string(index), "order").status; });
    for (auto& caller : callers)
        caller.join();
    for (auto const status : statuses)
        CHECK(status == 502 || status == 503 || status == 504);
    CHECK(peakMemoryMegabytes(fleet.daemon(0).process->id()) < smallestVmMegabytes);
    isEndless = false;
    CHECK(tests::waitUntil([&] { return fleet.post(0, "/single/a", "b", "order").status == 200; }));
}
