// Crowds at the ports of zinnialedged.

#include "Kernel/verify.h"
#include "Tests/Support/cluster.h"
#include "Tests/Support/crowd.h"
#include "Tests/Support/process_watch.h"
#include "Tests/Support/scripted_leaf.h"
#include <boost/json.hpp>

// CppUTest redefines `new`, so its header comes after the standard headers.
#include <CppUTest/TestHarness.h>
#include <sys/resource.h>

using namespace zinnialedge;
using namespace zinnialedge::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t machineMegabytes = 160;
constexpr std::size_t machineDescriptors = 700;
constexpr std::size_t callerConnections = 200;
/// Descriptors that are not available to sockets on the users' platform.
constexpr std::size_t fileDescriptors = 200;
constexpr std::size_t endlessBytes = 64U << 20U;

/// A daemon with one service, on a VM with few descriptors.
struct query_daemon {
    query_daemon()
    {
        plan = smallPlan("portal", "suva", 2);
        processes.startService(plan);
        daemon = processes.startDaemon("suva1", "suva", "suva-a", [](boost::json::object& settings) {
            settings["limits"] = { { "caller_connections", callerConnections } };
        });
        VERIFY(processes.waitForLeafs(daemon, "portal"));
        ::rlimit const limit { machineDescriptors, machineDescriptors };
        ::prlimit(daemon.process->id(), RLIMIT_NOFILE, &limit, nullptr);
    }

    bool answersEverywhere() const
    {
        auto const isAnswered = [](model::endpoint const& endpoint, std::string const& target) {
            return waitUntil([&] {
                auto const answer = callHttp(endpoint, { "GET", target, {}, {} }, 3s);
                return answer && answer->status == 200;
            },
                20s);
        };
        auto const isServed = [&] {
            model::query_request request;
            request.id = "ordinary";
            request.service = "portal";
            request.requestKind = "search";
            request.deadline = 1000ms;
            return query(daemon.callers, request).has_value();
        };
        return isAnswered(daemon.callers, "/health") && isAnswered(daemon.operators, "/metrics") && waitUntil(isServed, 20s);
    }

    void checkBears(crowd_plan const& plan)
    {
        process_watch const watch { daemon.process->id() };
        {
            crowd visitors { plan };
            visitors.waitUntilSettled();
            CHECK_TEXT(answersEverywhere(), "no answer beside the crowd");
        }
        CHECK_TEXT(!daemon.process->waitForExit(0ms), "the process has ended");
        auto const memory = peakMemoryMegabytes(daemon.process->id());
        CHECK_TEXT(memory < machineMegabytes, ("peak memory in MiB: " + std::to_string(memory)).c_str());
        CHECK_TEXT(watch.peakSocketCount() <= machineDescriptors - fileDescriptors, ("open sockets: " + std::to_string(watch.peakSocketCount())).c_str());
        CHECK_TEXT(answersEverywhere(), "no answer afterwards");
    }

    cluster processes;
    service_plan plan;
    running_daemon daemon;
};

std::string const trailerStart = "POST /query HTTP/1.1\r\nHost: host\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";

}

TEST_GROUP(CrowdQueryTrailer) {};

TEST(CrowdQueryTrailer, Fields)
{
    query_daemon daemon;
    daemon.checkBears({ .endpoint = daemon.daemon.callers, .connectionCount = 8, .start = trailerStart, .repeated = "X-Trailer: x\r\n", .maximumRepeatedBytes = endlessBytes });
}

TEST_GROUP(CrowdQueryIdleCallers) {};

TEST(CrowdQueryIdleCallers, WithoutARequest)
{
    query_daemon daemon;
    daemon.checkBears({ .endpoint = daemon.daemon.callers, .connectionCount = machineDescriptors + 100 });
}

TEST_GROUP(CrowdQueryIdlePeers) {};

TEST(CrowdQueryIdlePeers, WithoutAMessage)
{
    query_daemon daemon;
    daemon.checkBears({ .endpoint = daemon.daemon.peers, .connectionCount = machineDescriptors + 100 });
}

TEST_GROUP(CrowdQueryPeerMessages) {};

// Each connection announces a message of the permitted size, and sends nothing of it.
TEST(CrowdQueryPeerMessages, AnnouncedOnly)
{
    query_daemon daemon;
    daemon.checkBears({ .endpoint = daemon.daemon.peers, .connectionCount = 100, .start = std::string { '\x00', '\xf0', '\x00', '\x00' } });
}

// Guards against: the number of elements that a message announces reserves memory for all of them.
TEST(CrowdQueryPeerMessages, AnnouncedElements)
{
    // An answer with a list of 2^31 - 1 rows, none of which follows.
    std::string const message { "\x3c\x79\xfc\xff\xff\xff\xff\x07" };
    query_daemon daemon;
    daemon.checkBears({ .endpoint = daemon.daemon.peers, .connectionCount = 10, .start = std::string { '\0', '\0', '\0', static_cast<char>(message.size()) } + message });
}

TEST_GROUP(CrowdQueryUnfinishedPeerMessages) {};

TEST(CrowdQueryUnfinishedPeerMessages, AllButTheLastBytes)
{
    query_daemon daemon;
    daemon.checkBears({ .endpoint = daemon.daemon.peers, .connectionCount = 30, .start = std::string { '\x00', '\xf0', '\x00', '\x00' }, .repeated = "x", .maximumRepeatedBytes = 14U << 20U });
}

TEST_GROUP(CrowdQueryEndlessLeafs) {};

// Guards against: many leafs that send bytes without an end, each within the limit of one reply, exceed the memory of the VM together.
TEST(CrowdQueryEndlessLeafs, RepliesToStatusRequests)
{
    static constexpr std::uint32_t shardCount = 48;
    query_daemon daemon;
    std::vector<std::unique_ptr<scripted_leaf>> leafs;
    auto service = smallPlan("endless", "suva", shardCount).declaration;
    for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
        leafs.push_back(std::make_unique<scripted_leaf>([](std::string const&) { return scripted_reply { "HTTP/1.1 200 OK\r\n\r\n", false, false, std::string(65'536, 'x') }; }));
        service.targets.push_back({ .name = "endless-" + std::to_string(shard), .place = leafs.back()->place(), .shard = shard, .slots = 2, .connectionCap = 25 });
    }
    daemon.processes.declare(service);
    auto const haveAllSent = [&] { return std::all_of(leafs.begin(), leafs.end(), [](auto const& each) { return each->repeatedByteCount() > 0; }); };
    CHECK(waitUntil(haveAllSent, 20s));
    std::this_thread::sleep_for(3s);
    daemon.checkBears({ .endpoint = daemon.daemon.callers, .connectionCount = 1 });
}
