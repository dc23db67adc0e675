// Leafs in trouble that send bytes without an end, on each path on which a daemon reads from leafs, on a small VM.

#include "Kernel/verify.h"
#include "Tests/Support/http_call.h"
#include "Tests/Support/process_watch.h"
#include "Tests/Support/small_edge_fleet.h"
#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>
#include <thread>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::edge_fleet;
using tests::peakMemoryMegabytes;
using tests::rawHeaderValue;
using tests::replySuccessfully;
using tests::scripted_leaf;
using tests::scripted_reply;
using tests::waitUntil;

namespace {

using reply_hook = std::function<scripted_reply(std::string const&)>;

std::string const endlessBlock(65'536, 'x');

std::string replyHead(std::string const& request, std::string const& lines = {})
{
    return "HTTP/1.1 200 OK\r\nZinnialedge-Server-Seal: s\r\nZinnialedge-Attempt-Id: " + rawHeaderValue(request, "Zinnialedge-Attempt-Id") + "\r\n" + lines + "\r\n";
}

scripted_reply endlessBody(std::string const& request)
{
    return { replyHead(request), false, false, endlessBlock };
}

scripted_reply noHead(std::string const&)
{
    return { {}, false, false, endlessBlock };
}

bool isStatusRequest(std::string const& request)
{
    return request.starts_with("GET /health ");
}

/// Daemons on VMs of 160 MB. The shards are in the data centre of the last daemon.
class endless_fleet : public edge_fleet {
public:
    static constexpr std::size_t machineMegabytes = 160;
    static constexpr std::size_t shardCount = 8;
    static constexpr std::size_t deskLeafCount = 2;
    static constexpr std::size_t callerCount = 100;

    explicit endless_fleet(reply_hook const& reply, std::size_t daemonCount = 1)
        : edge_fleet(daemonCount)
    {
        auto const there = daemonCount > 1 ? "there" : "here";
        if (daemonCount > 1)
            setDataCentre(daemonCount - 1, there);
        for (std::size_t index = 0; index < daemonCount; ++index)
            replaceSetting(index, "capacity", { { "processor", 1 }, { "link_mbps", 1000 }, { "memory_mb", machineMegabytes }, { "descriptors", 4096 } });
        for (std::size_t number = 0; number < deskLeafCount + 2 * shardCount; ++number) {
            bool const isDesk = number < deskLeafCount;
            m_leafs.push_back(std::make_unique<scripted_leaf>([this, reply](std::string const& request) { return m_isInTrouble ? reply(request) : replySuccessfully(request); }));
            registerLeaf("leaf" + std::to_string(number), isDesk ? "desk" : "shard" + std::to_string(number % shardCount), m_leafs.back()->place(), "ready", isDesk ? "here" : there);
        }
        declare(1, shardCount, true);
        for (std::size_t index = 0; index < daemonCount; ++index)
            start(index);
        VERIFY(waitUntilReady());
        VERIFY(waitUntil([this] { return isServed(); }));
    }

    /// Sends requests of many callers at once while the leafs are in trouble.
    void sendRequests(std::string const& path)
    {
        m_isInTrouble = true;
        auto const end = std::chrono::steady_clock::now() + 2s;
        std::vector<std::thread> callers;
        callers.reserve(callerCount);
        for (std::size_t caller = 0; caller < callerCount; ++caller) {
            callers.emplace_back([&, caller] {
                for (std::size_t number = caller; std::chrono::steady_clock::now() < end; number += callerCount)
                    (void)get(0, path + std::to_string(number), "c" + std::to_string(number));
            });
        }
        for (auto& each : callers)
            each.join();
    }

    /// Checks that leafs sent bytes without an end, that no daemon took more than its VM has, and that requests are served afterwards.
    void check()
    {
        auto const isSending = [this] { return std::any_of(m_leafs.begin(), m_leafs.end(), [](auto const& each) { return each->repeatedByteCount() > 0; }); };
        CHECK_TEXT(waitUntil(isSending, 10s), "no leaf sent bytes without an end");
        m_isInTrouble = false;
        CHECK(waitUntil([this] { return isServed(); }, 20s));
        for (std::size_t index = 0; index < daemonCount(); ++index) {
            CHECK_FALSE(daemon(index).process->waitForExit(0ms).has_value());
            auto const memory = peakMemoryMegabytes(daemon(index).process->id());
            CHECK_TEXT(memory < machineMegabytes, ("peak memory in MiB: " + std::to_string(memory)).c_str());
        }
    }

    std::uint64_t counter(std::size_t index, std::string const& name)
    {
        auto const metrics = tests::callHttp(daemon(index).operators, { "GET", "/metrics", {}, {} }, 3s);
        auto const line = "\nzinnialedge_" + name + " ";
        auto const start = metrics ? metrics->body.find(line) : std::string::npos;
        return start == std::string::npos ? 0 : std::stoull(metrics->body.substr(start + line.size()));
    }

    bool isServed()
    {
        return get(0, "/single/ordinary", "a").status == 200 && get(0, "/gather/ordinary", "b").status == 200;
    }

private:
    std::atomic<bool> m_isInTrouble { false };
    std::vector<std::unique_ptr<scripted_leaf>> m_leafs;
};

}

TEST_GROUP(CrowdEndlessAnswers) {};

TEST(CrowdEndlessAnswers, OfOneLeafEach)
{
    endless_fleet fleet { endlessBody };
    fleet.sendRequests("/single/");
    fleet.check();
}

TEST_GROUP(CrowdEndlessShards) {};

TEST(CrowdEndlessShards, BodiesOfAllShards)
{
    endless_fleet fleet { endlessBody };
    fleet.sendRequests("/gather/");
    fleet.check();
}

TEST(CrowdEndlessShards, BytesThatAreNoHead)
{
    endless_fleet fleet { noHead };
    fleet.sendRequests("/gather/");
    fleet.check();
}

TEST_GROUP(CrowdEndlessIdleConnections) {};

// Bytes without an end behind complete replies, when no call waits for any.
TEST(CrowdEndlessIdleConnections, BehindCompleteReplies)
{
    endless_fleet fleet { [](std::string const& request) {
        auto reply = replySuccessfully(request);
        reply.repeatedBytes = endlessBlock;
        return reply;
    } };
    fleet.sendRequests("/gather/");
    fleet.sendRequests("/single/");
    fleet.check();
}

TEST_GROUP(CrowdEndlessHealth) {};

// All leafs reset the connections of requests, so that the daemon probes them.
TEST(CrowdEndlessHealth, RepliesToProbes)
{
    endless_fleet fleet { [](std::string const& request) { return isStatusRequest(request) ? endlessBody(request) : scripted_reply { {}, false, true }; } };
    fleet.sendRequests("/gather/");
    fleet.check();
}

TEST_GROUP(CrowdEndlessRelays) {};

// The leafs of the shards are in another data centre, whose daemon calls them.
TEST(CrowdEndlessRelays, BodiesOfShardsBehindAnotherDaemon)
{
    endless_fleet fleet { endlessBody, 2 };
    CHECK(waitUntil([&] { return fleet.isServed() && fleet.counter(0, "relayed_calls_total") > 0; }, 10s));
    fleet.sendRequests("/gather/");
    fleet.check();
}
