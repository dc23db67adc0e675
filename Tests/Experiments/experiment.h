#pragma once

#include "Tests/Support/cluster.h"
#include "Utilities/zl-load/load_run.h"
#include <iosfwd>
#include <string>
#include <vector>

namespace zinnialedge::tests {

/// A service that an experiment starts, with the load on the service as a fraction of the capacity of its slots.
struct experiment_load {
    service_plan plan;
    std::string requestKind;
    double capacityFraction { 0.3 };
};

/// A load on real processes with an optional fault, run with each load policy.
struct experiment {
    std::string name;
    std::vector<experiment_load> loads;
    /// Maximum number of queries in flight at a daemon; zero for the default of the daemon.
    std::uint32_t maxQueriesPerDaemon { 0 };
    unsigned daemonCount { 2 };
    /// Called before the load starts, when all daemons reach their leafs.
    std::function<void(cluster&)> prepareCluster;
    /// Injects a fault halfway through the load.
    std::function<void(cluster&)> injectFault;
};

struct experiment_settings {
    std::chrono::milliseconds duration { 6000 };
    /// Factor that multiplies service times and deadlines and so divides rates, for machines that cannot sustain the full rates.
    unsigned timeFactor { 1 };
    bool isFullPolicy { true };
    std::uint64_t seed { 1 };
};

/// Returns the query rate per second that all slots together can serve.
double computeCapacity(service_plan const&);

/// Runs an experiment and prints one row for each load.
void runExperiment(std::ostream&, experiment const&, experiment_settings const&);
void printHeader(std::ostream&);

/// Returns all scenarios, in the order of the design note.
std::vector<experiment> makeExperiments();

}
