// Runs loads and faults against real processes and prints the results seen by callers, for the naive and the full load policy.

#include "Tests/Experiments/experiment.h"
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(scenarios, "", "names of the scenarios to run, separated by commas; all if empty");
DEFINE_string(policies, "naive,full", "load policies to run each scenario with, separated by commas");
DEFINE_uint32(seconds, 6, "measurement time of each run in seconds");
DEFINE_uint32(time_factor, 1, "factor that multiplies service times and deadlines and divides rates");
DEFINE_uint32(repeats, 1, "number of runs of each scenario and policy; each run has a different seed");

using namespace zinnialedge::tests;

static bool isListed(std::string const& list, std::string const& name)
{
    std::istringstream names { list };
    for (std::string each; std::getline(names, each, ',');) {
        if (each == name)
            return true;
    }
    return false;
}

int main(int argumentCount, char** arguments)
{
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    printHeader(std::cout);
    for (auto const& scenario : makeExperiments()) {
        if (!FLAGS_scenarios.empty() && !isListed(FLAGS_scenarios, scenario.name))
            continue;
        for (bool const isFullPolicy : { false, true }) {
            if (!isListed(FLAGS_policies, isFullPolicy ? "full" : "naive"))
                continue;
            for (std::uint64_t seed = 1; seed <= FLAGS_repeats; ++seed)
                runExperiment(std::cout, scenario, { std::chrono::seconds { FLAGS_seconds }, FLAGS_time_factor, isFullPolicy, seed });
        }
    }
    return 0;
}
