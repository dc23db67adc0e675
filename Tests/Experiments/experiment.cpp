#include "Tests/Experiments/experiment.h"

#include "Kernel/verify.h"
#include <boost/json.hpp>
#include <iomanip>
#include <numeric>
#include <ostream>

namespace zinnialedge::tests {

namespace load = utilities::load;
using std::chrono::milliseconds;

static constexpr milliseconds warmUpDuration { 1500 };
static constexpr double percent = 100;
static constexpr double minimumInTimeShare = 0.99;
static constexpr std::array<char const*, 5> daemonNames { "daemon-1", "daemon-2", "daemon-3", "daemon-4", "daemon-5" };

double computeCapacity(service_plan const& plan)
{
    auto const& work = plan.leaf.work;
    double const stragglerMultiplier = 1 + work.stragglerPercent / percent * (work.stragglerFactor - 1);
    double const meanSeconds = std::chrono::duration<double> { work.base + work.exponentialMean }.count() * stragglerMultiplier;
    return plan.leafsPerShard * static_cast<double>(plan.leaf.slots) / meanSeconds;
}

static service_plan scaleTimes(service_plan plan, unsigned factor)
{
    plan.leaf.work.base *= factor;
    plan.leaf.work.exponentialMean *= factor;
    plan.declaration.deadline *= factor;
    plan.declaration.softDeadline *= factor;
    return plan;
}

static std::uint64_t sumErrors(load::stream_result const& result)
{
    return std::accumulate(result.errors.begin(), result.errors.end(), std::uint64_t { 0 }, [](std::uint64_t sum, auto const& each) { return sum + each.second; });
}

/// Returns the number of seconds from the fault to the first second from which on, in every second, at least 99% of the
/// requests were answered within their deadlines.
static std::size_t secondsUntilRecovered(load::load_result const& result, std::size_t stream, std::size_t faultSecond)
{
    std::size_t recovered = faultSecond;
    for (auto second = faultSecond; second < result.seconds.size(); ++second) {
        auto const& row = result.seconds[second][stream];
        if (static_cast<double>(row.answersWithinDeadline) < minimumInTimeShare * static_cast<double>(row.sent))
            recovered = second + 1;
    }
    return recovered - faultSecond;
}

void printHeader(std::ostream& out)
{
    out << std::left << std::setw(24) << "scenario" << std::setw(7) << "policy" << std::setw(14) << "service" << std::right
        << std::setw(8) << "sent/s" << std::setw(9) << "whole/s" << std::setw(8) << "in time" << std::setw(8) << "p50 ms" << std::setw(8) << "p99 ms"
        << std::setw(8) << "whole%" << std::setw(9) << "refused" << std::setw(9) << "ref p99" << std::setw(8) << "extra%" << std::setw(10) << "recovered" << "\n";
}

static void printRow(std::ostream& out, experiment const& run, experiment_settings const& settings, load::load_plan const& plan, load::load_result const& result, std::size_t stream)
{
    auto const& row = result.streams[stream];
    double const seconds = std::chrono::duration<double> { plan.duration }.count();
    auto const counter = [&](char const* name) {
        auto const found = result.counters.find(name);
        return found == result.counters.end() ? 0.0 : static_cast<double>(found->second);
    };
    double const extra = counter("hedges") + counter("retries");
    double const primary = std::max(1.0, counter("leaf_calls") - extra);
    auto const answers = std::max<std::uint64_t>(1, row.whole + row.partial);
    out << std::left << std::setw(24) << run.name << std::setw(7) << (settings.isFullPolicy ? "full" : "naive") << std::setw(14) << plan.streams[stream].service << std::right << std::fixed
        << std::setprecision(1) << std::setw(8) << static_cast<double>(row.sent) / seconds << std::setw(9) << static_cast<double>(row.completeAnswersWithinDeadline) / seconds
        << std::setw(7) << percent * static_cast<double>(row.answersWithinDeadline) / static_cast<double>(std::max<std::uint64_t>(1, row.sent)) << "%"
        << std::setw(8) << row.latency.quantile(0.5) << std::setw(8) << row.latency.quantile(0.99)
        << std::setw(8) << percent * static_cast<double>(row.whole) / static_cast<double>(answers)
        << std::setw(9) << sumErrors(row) << std::setw(9) << row.errorLatency.quantile(0.99) << std::setw(8) << percent * extra / primary;
    if (run.injectFault)
        out << std::setw(8) << secondsUntilRecovered(result, stream, static_cast<std::size_t>(std::chrono::ceil<std::chrono::seconds>(warmUpDuration + plan.duration / 2).count())) << " s";
    out << "\n";
    for (auto const& [kind, count] : row.errors)
        out << "    " << kind << " " << count;
    for (auto const& [step, count] : row.coverage)
        out << "    answers with coverage from " << step << "%: " << count;
    if (result.answerErrorCount > 0)
        out << "    WRONG ANSWERS " << result.answerErrorCount << ": " << result.faults.front();
    out << std::endl;
}

static load::load_plan makePlan(experiment const& run, experiment_settings const& settings, std::vector<running_daemon> const& daemons)
{
    load::load_plan plan;
    plan.duration = settings.duration;
    plan.warmUpDuration = warmUpDuration;
    plan.seed = settings.seed;
    for (auto const& daemon : daemons) {
        plan.directory.push_back(daemon.callers);
        plan.operators.push_back(daemon.operators);
    }
    for (auto const& each : run.loads) {
        auto const scaled = scaleTimes(each.plan, settings.timeFactor);
        load::load_stream stream;
        stream.service = scaled.declaration.name;
        stream.requestKind = each.requestKind;
        stream.requestsPerSecond = each.capacityFraction * computeCapacity(scaled);
        stream.deadline = scaled.declaration.deadline;
        plan.streams.push_back(std::move(stream));
    }
    return plan;
}

void runExperiment(std::ostream& out, experiment const& run, experiment_settings const& settings)
{
    cluster cluster;
    for (auto const& each : run.loads) {
        auto plan = scaleTimes(each.plan, settings.timeFactor);
        // Each daemon holds connections, so all daemons share the connection cap of a leaf.
        plan.declaration.daemonGroupSize = run.daemonCount;
        cluster.startService(std::move(plan));
    }
    std::vector<running_daemon> daemons;
    daemons.reserve(run.daemonCount);
    for (unsigned index = 0; index < run.daemonCount; ++index) {
        daemons.push_back(cluster.startDaemon(daemonNames.at(index), "suva", "suva-a", [&](boost::json::object& file) {
            file["load_policy"] = settings.isFullPolicy ? "full" : "naive";
            if (run.maxQueriesPerDaemon > 0)
                file["limits"] = { { "queries", run.maxQueriesPerDaemon } };
        }));
    }
    for (auto const& daemon : daemons) {
        for (auto const& each : run.loads)
            VERIFY(cluster.waitForLeafs(daemon, each.plan.declaration.name));
    }
    if (run.prepareCluster)
        run.prepareCluster(cluster);
    auto const plan = makePlan(run, settings, daemons);
    std::thread faultThread { [&] {
        if (!run.injectFault)
            return;
        std::this_thread::sleep_for(warmUpDuration + settings.duration / 2);
        run.injectFault(cluster);
    } };
    auto const result = load::load_run { plan }.run();
    faultThread.join();
    for (std::size_t stream = 0; stream < plan.streams.size(); ++stream)
        printRow(out, run, settings, plan, result, stream);
}

}
