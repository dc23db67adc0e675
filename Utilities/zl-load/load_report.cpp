#include "Utilities/zl-load/load_report.h"

#include <iomanip>
#include <numeric>
#include <ostream>

namespace zinnialedge::utilities::load {

static constexpr double millisecondsPerSecond = 1000;

static std::uint64_t countErrors(stream_result const& result)
{
    return std::accumulate(result.errors.begin(), result.errors.end(), std::uint64_t { 0 }, [](std::uint64_t sum, auto const& each) { return sum + each.second; });
}

static void printStream(std::ostream& out, load_stream const& stream, stream_result const& result, double seconds)
{
    auto const name = stream.service + "/" + stream.requestKind;
    out << std::left << std::setw(34) << name << std::right << std::fixed << std::setprecision(1)
        << std::setw(8) << static_cast<double>(result.sent) / seconds
        << std::setw(9) << result.latency.quantile(0.5)
        << std::setw(9) << result.latency.quantile(0.9)
        << std::setw(9) << result.latency.quantile(0.99)
        << std::setw(9) << result.latency.quantile(0.999)
        << std::setw(9) << result.whole
        << std::setw(9) << result.partial
        << std::setw(9) << countErrors(result) << "\n";
    for (auto const& [kind, count] : result.errors)
        out << "    " << kind << " " << count << ", p99 latency of errors " << result.errorLatency.quantile(0.99) << " ms\n";
    for (auto const& [step, count] : result.coverage) {
        if (step < 100)
            out << "    coverage of at least " << step << "%: " << count << "\n";
    }
}

void printReport(std::ostream& out, load_plan const& plan, load_result const& result)
{
    out << std::left << std::setw(34) << "service/request" << std::right
        << std::setw(8) << "per s" << std::setw(9) << "p50 ms" << std::setw(9) << "p90 ms" << std::setw(9) << "p99 ms" << std::setw(9) << "p99.9 ms"
        << std::setw(9) << "whole" << std::setw(9) << "partial" << std::setw(9) << "errors" << "\n";
    double const seconds = static_cast<double>(plan.duration.count()) / millisecondsPerSecond;
    for (std::size_t stream = 0; stream < plan.streams.size(); ++stream)
        printStream(out, plan.streams[stream], result.streams[stream], seconds);
    auto const counter = [&](char const* name) {
        auto const found = result.counters.find(name);
        return found == result.counters.end() ? std::uint64_t { 0 } : found->second;
    };
    if (auto const calls = counter("leaf_calls"); calls > 0) {
        auto const extra = counter("hedges") + counter("retries");
        auto const queries = std::max<std::uint64_t>(1, counter("queries"));
        out << "leaf calls " << calls << ", per query " << std::setprecision(2) << static_cast<double>(calls) / static_cast<double>(queries)
            << ", extra " << 100 * static_cast<double>(extra) / static_cast<double>(calls - std::min(calls - 1, extra)) << "%"
            << " (hedges " << counter("hedges") << ", retries " << counter("retries") << "), repins " << counter("repins") << "\n";
    }
    out << "wrong answers " << result.answerErrorCount << "\n";
    for (auto const& fault : result.faults)
        out << "    " << fault << "\n";
}

void writeCsv(std::ostream& out, load_plan const& plan, load_result const& result)
{
    out << "second,service,request,sent,whole,partial,errors,p50_ms,p90_ms,p99_ms,p999_ms\n";
    for (std::size_t second = 0; second < result.seconds.size(); ++second) {
        for (std::size_t stream = 0; stream < plan.streams.size(); ++stream) {
            auto const& row = result.seconds[second][stream];
            out << second << ',' << plan.streams[stream].service << ',' << plan.streams[stream].requestKind << ',' << row.sent << ',' << row.whole << ','
                << row.partial << ',' << countErrors(row) << ',' << row.latency.quantile(0.5) << ',' << row.latency.quantile(0.9) << ','
                << row.latency.quantile(0.99) << ',' << row.latency.quantile(0.999) << "\n";
        }
    }
}

}
