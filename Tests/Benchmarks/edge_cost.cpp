#include "Tests/Benchmarks/edge_cost.h"

#include "Tests/Benchmarks/line_fit.h"
#include "Tests/Benchmarks/process_usage.h"
#include "Tests/Support/edge_fleet.h"
#include <cstdio>
#include <gflags/gflags.h>
#include <thread>

DECLARE_uint32(seconds);
DEFINE_string(edge_rates, "50,100,200", "rates of gathered requests on the platform's interface, per second, separated by commas; each request calls 20 shards");

namespace zinnialedge::benchmarks {

using namespace tests;

static constexpr std::size_t shardCount = 20;
static constexpr std::size_t leafsPerShard = 2;
/// Size of a reply, about as large as the replies of leafs to long lookups.
static constexpr std::size_t replyBytes = 1000;
static constexpr std::chrono::seconds warmUpDuration { 2 };
static constexpr double microsecondsPerMillisecond = 1000;

/// Sends requests one after another at the given rate for the given time. Returns the number of successful answers.
static std::size_t runRequests(edge_fleet& fleet, double requestsPerSecond, std::chrono::seconds span)
{
    static std::uint64_t attempt = 0;
    auto const start = std::chrono::steady_clock::now();
    std::size_t successCount = 0;
    for (std::size_t index = 0;; ++index) {
        auto const sendTime = start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double> { static_cast<double>(index) / requestsPerSecond });
        if (sendTime >= start + span)
            return successCount;
        std::this_thread::sleep_until(sendTime);
        successCount += fleet.get(0, "/gather/1", "a" + std::to_string(++attempt)).status == 200 ? 1 : 0;
    }
}

void measureEdgeCost()
{
    edge_fleet fleet { 1 };
    std::vector<std::unique_ptr<scripted_leaf>> leafs;
    fleet.declare(1, shardCount, true);
    for (std::size_t shard = 0; shard < shardCount; ++shard) {
        for (std::size_t index = 0; index < leafsPerShard; ++index) {
            leafs.push_back(std::make_unique<scripted_leaf>([](std::string const& request) { return scripted_reply { sealedReply(request, std::string(replyBytes, 'r')) }; }));
            auto const service = "shard" + std::to_string(shard);
            fleet.registerLeaf(service + "-" + std::to_string(index), service, leafs.back()->place());
        }
    }
    fleet.start(0);
    if (!fleet.waitUntilReady()) {
        std::printf("the daemon did not become ready\n");
        return;
    }
    std::vector<cost_point> points;
    for (auto const rate : parseRates(FLAGS_edge_rates)) {
        runRequests(fleet, rate, warmUpDuration);
        auto const before = readUsage(fleet.daemon(0).process->id());
        auto const successCount = runRequests(fleet, rate, std::chrono::seconds { FLAGS_seconds });
        auto const after = readUsage(fleet.daemon(0).process->id());
        auto const calls = static_cast<double>(successCount * shardCount);
        auto const cpu = static_cast<double>((after.cpu - before.cpu).count());
        std::printf("%.0f gathered requests/s, %.0f leaf calls/s: %.1f us of CPU time and %.2f context switches per leaf call, %lu KB resident\n", rate, calls / FLAGS_seconds,
            cpu * microsecondsPerMillisecond / calls, static_cast<double>(after.contextSwitches - before.contextSwitches) / calls, static_cast<unsigned long>(after.residentKilobytes));
        std::fflush(stdout);
        points.push_back({ calls / FLAGS_seconds, cpu / FLAGS_seconds });
    }
    printFit("CPU time of a daemon on the platform's interface by leaf calls per second", "ms/s", "leaf call", points);
}

}
