#include "Tests/Benchmarks/control_cost.h"

#include "Tests/Benchmarks/line_fit.h"
#include "Tests/Benchmarks/process_usage.h"
#include "Tests/Support/cluster.h"
#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdio>

namespace zinnialedge::benchmarks {

namespace json = boost::json;
using namespace tests;

static constexpr std::array<unsigned, 4> daemonCounts { 5, 10, 20, 40 };
static constexpr std::array<std::uint32_t, 2> leafCounts { 8, 32 };
static constexpr std::array<char const*, 4> dataCentres { "suva-a", "suva-b", "suva-c", "suva-d" };
static constexpr std::chrono::seconds settlingTime { 8 };
static constexpr std::chrono::seconds measurementTime { 15 };
static constexpr unsigned changeCount = 3;
static constexpr char const* serviceName = "kitchen-desk";

/// Totals of resource use and store calls over all daemons since their start.
struct control_sample {
    double cpuMilliseconds { 0 };
    double residentKilobytes { 0 };
    double loopbackBytes { 0 };
    double storeCalls { 0 };
};

/// Costs per daemon at one number of daemons.
struct control_cost {
    double cpuPercent { 0 };
    double residentMegabytes { 0 };
    double bytesPerSecond { 0 };
    double storeCallsPerSecond { 0 };
    double slowestChangeMilliseconds { 0 };
};

static control_sample takeSample(cluster const& cluster, std::vector<running_daemon> const& daemons)
{
    control_sample totals;
    for (auto const& daemon : daemons) {
        auto const usage = readUsage(daemon.process->id());
        totals.cpuMilliseconds += static_cast<double>(usage.cpu.count());
        totals.residentKilobytes += static_cast<double>(usage.residentKilobytes);
    }
    totals.loopbackBytes = static_cast<double>(readLoopbackBytes());
    auto const counts = getJson(cluster.platform(), "/counts");
    for (auto const* name : { "reads", "writes", "watches" })
        totals.storeCalls += counts.at(name).to_number<double>();
    return totals;
}

static std::uint64_t readObjectVersion(running_daemon const& daemon)
{
    auto const state = getJson(daemon.operators, "/state");
    if (!state.is_object())
        return 0;
    auto const& objects = state.at("services").at("decisions").at("objects").as_object();
    auto const* version = objects.if_contains(std::string { "services/" } + serviceName);
    return version ? version->to_number<std::uint64_t>() : 0;
}

/// Changes the service object. Returns the time in milliseconds until the last daemon has the changed object.
static double measureChangePropagation(cluster& cluster, std::vector<running_daemon> const& daemons)
{
    auto const before = readObjectVersion(daemons.front());
    auto changed = cluster.declarationOf(serviceName);
    changed.maximumHedgePercent = changed.maximumHedgePercent % 10 + 1;
    auto const start = std::chrono::steady_clock::now();
    cluster.declare(changed);
    bool isInEffect = true;
    for (auto const& daemon : daemons)
        isInEffect = isInEffect && waitUntil([&] { return readObjectVersion(daemon) > before; });
    if (!isInEffect)
        std::printf("a changed object did not reach every daemon\n");
    return std::chrono::duration<double, std::milli> { std::chrono::steady_clock::now() - start }.count();
}

static control_cost measureIdleDaemons(unsigned count, std::uint32_t leafs)
{
    cluster cluster;
    auto plan = kitchenDeskPlan();
    plan.declaration.shardCount = leafs;
    // The connection cap of a leaf must not be below the number of connections that the daemons open.
    plan.leaf.connectionCap = 200;
    plan.declaration.daemonGroupSize = count;
    cluster.startService(plan);
    std::vector<running_daemon> daemons;
    daemons.reserve(count);
    for (unsigned index = 0; index < count; ++index)
        daemons.push_back(cluster.startDaemon("suva-" + std::to_string(index), "suva", dataCentres.at(index % dataCentres.size())));
    std::this_thread::sleep_for(settlingTime);
    auto const before = takeSample(cluster, daemons);
    std::this_thread::sleep_for(measurementTime);
    auto const after = takeSample(cluster, daemons);
    control_cost cost;
    double const seconds = static_cast<double>(measurementTime.count());
    cost.cpuPercent = (after.cpuMilliseconds - before.cpuMilliseconds) / (10 * seconds * count);
    cost.residentMegabytes = after.residentKilobytes / 1024 / count;
    // The interface counts a byte once, but one process sends it and another receives it; each direction costs a daemon.
    cost.bytesPerSecond = 2 * (after.loopbackBytes - before.loopbackBytes) / (seconds * count);
    cost.storeCallsPerSecond = (after.storeCalls - before.storeCalls) / seconds;
    for (unsigned change = 0; change < changeCount; ++change)
        cost.slowestChangeMilliseconds = std::max(cost.slowestChangeMilliseconds, measureChangePropagation(cluster, daemons));
    std::printf("%u daemons, %u leafs: %.2f%% of a core, %.1f MB and %.0f bytes/s per daemon, %.2f store calls/s in total, slowest of %u changes in effect after %.0f ms\n",
        count, leafs, cost.cpuPercent, cost.residentMegabytes, cost.bytesPerSecond, cost.storeCallsPerSecond, changeCount, cost.slowestChangeMilliseconds);
    std::fflush(stdout);
    return cost;
}

/// Measures the costs that status probes of idle leafs cause in a daemon.
static void measureLeafProbes()
{
    std::vector<cost_point> cpu;
    std::vector<cost_point> bytes;
    for (auto const leafs : leafCounts) {
        auto const cost = measureIdleDaemons(daemonCounts.front(), leafs);
        cpu.push_back({ static_cast<double>(leafs), cost.cpuPercent });
        bytes.push_back({ static_cast<double>(leafs), cost.bytesPerSecond });
    }
    printFit("CPU use of an idle daemon by leafs", "percent of a core", "leaf", cpu);
    printFit("traffic of an idle daemon by leafs, both directions", "bytes/s", "leaf", bytes);
}

void measureControlCost()
{
    std::vector<cost_point> cpu;
    std::vector<cost_point> memory;
    std::vector<cost_point> bytes;
    std::vector<cost_point> storeCalls;
    std::vector<cost_point> propagationTimes;
    for (auto const count : daemonCounts) {
        auto const cost = measureIdleDaemons(count, 1);
        double const size = count;
        cpu.push_back({ size, cost.cpuPercent });
        memory.push_back({ size, cost.residentMegabytes });
        bytes.push_back({ size, cost.bytesPerSecond });
        storeCalls.push_back({ size, cost.storeCallsPerSecond });
        propagationTimes.push_back({ size, cost.slowestChangeMilliseconds });
    }
    printFit("CPU use of an idle daemon", "percent of a core", "daemon", cpu);
    printFit("memory of an idle daemon", "MB", "daemon", memory);
    printFit("traffic of an idle daemon, both directions", "bytes/s", "daemon", bytes);
    printFit("store calls of all daemons", "calls/s", "daemon", storeCalls);
    printFit("time until a changed object is in effect on all daemons", "ms", "daemon", propagationTimes);
    measureLeafProbes();
}

}
