#include "Tests/Benchmarks/call_cost.h"

#include "Tests/Benchmarks/line_fit.h"
#include "Tests/Benchmarks/process_usage.h"
#include "Tests/Support/cluster.h"
#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>

DEFINE_string(rates, "50,100,200,400", "query rates to run, in queries per second, separated by commas; each query calls 20 shards");
DEFINE_uint32(seconds, 6, "measurement time at each rate in seconds");

namespace zinnialedge::benchmarks {

namespace json = boost::json;
using namespace tests;

static constexpr unsigned warmUpSeconds = 2;
static constexpr double microsecondsPerMillisecond = 1000;

static service_plan makeZeroWorkPlan()
{
    auto plan = lunchPortalPlan();
    plan.leaf.work = { std::chrono::microseconds { 0 }, std::chrono::microseconds { 0 }, 0, 1 };
    plan.leaf.slots = 16;
    return plan;
}

static std::uint64_t readLeafCalls(running_daemon const& daemon)
{
    return getJson(daemon.operators, "/state").at("services").at("decisions").at("counters").at("leaf_calls").to_number<std::uint64_t>();
}

static std::string writePlan(cluster const& cluster, running_daemon const& daemon, double requestsPerSecond)
{
    json::object const plan {
        { "directory", { { { "address", daemon.callers.address }, { "port", daemon.callers.port } } } },
        { "warm_up_ms", warmUpSeconds * 1000 },
        { "duration_ms", (FLAGS_seconds + 1) * 1000 },
        { "streams", { { { "service", "lunch-portal" }, { "request", "menu" }, { "per_second", static_cast<std::uint64_t>(requestsPerSecond) } } } },
    };
    auto const file = (cluster.folder() / "calls.json").string();
    std::ofstream { file } << json::serialize(plan);
    return file;
}

/// Returns a point of leaf calls per second and milliseconds of CPU time per second.
static cost_point measureRate(cluster const& cluster, running_daemon const& daemon, double requestsPerSecond)
{
    child_process load { "zl-load", { "--plan=" + writePlan(cluster, daemon, requestsPerSecond) } };
    std::this_thread::sleep_for(std::chrono::seconds { warmUpSeconds });
    auto const callsBefore = readLeafCalls(daemon);
    auto const before = readUsage(daemon.process->id());
    std::this_thread::sleep_for(std::chrono::seconds { FLAGS_seconds });
    auto const after = readUsage(daemon.process->id());
    auto const calls = static_cast<double>(readLeafCalls(daemon) - callsBefore);
    double const cpu = static_cast<double>((after.cpu - before.cpu).count()) * microsecondsPerMillisecond;
    std::printf("%.0f queries/s, %.0f leaf calls/s: %.1f us of CPU time and %.2f context switches per leaf call;", requestsPerSecond, calls / FLAGS_seconds, cpu / calls,
        static_cast<double>(after.contextSwitches - before.contextSwitches) / calls);
    for (auto const& [name, threadCpu] : after.threads) {
        auto const earlierThreadCpu = before.threads.find(name);
        auto const consumed = threadCpu - (earlierThreadCpu == before.threads.end() ? std::chrono::milliseconds {} : earlierThreadCpu->second);
        if (consumed.count() > 0)
            std::printf(" %s %.1f", name.c_str(), static_cast<double>(consumed.count()) * microsecondsPerMillisecond / calls);
    }
    std::printf("\n");
    std::fflush(stdout);
    if (!load.waitForExit())
        std::printf("zl-load did not exit\n");
    return { calls / FLAGS_seconds, cpu / FLAGS_seconds };
}

void measureCallCost()
{
    cluster cluster;
    cluster.startService(makeZeroWorkPlan());
    auto const& daemon = cluster.startDaemon("suva-1", "suva", "suva-a");
    if (!cluster.waitForLeafs(daemon, "lunch-portal")) {
        std::printf("the daemon did not reach the leafs\n");
        return;
    }
    std::vector<cost_point> points;
    for (auto const rate : parseRates(FLAGS_rates))
        points.push_back(measureRate(cluster, daemon, rate));
    printFit("CPU time of a daemon by leaf calls per second", "us/s", "leaf call", points);
}

}
