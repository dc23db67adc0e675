#pragma once

#include "Tests/Support/cluster.h"
#include "Utilities/zl-load/load_run.h"
#include <iosfwd>
#include <string>
#include <vector>

namespace zinnialedge::tests {

/// One service that an experiment starts, and the load on it as a fraction of what its slots can serve.
struct experiment_load {
    service_plan plan;
    std::string requestKind;
    double fraction { 0.3 };
};

/// A load on real processes with a fault, to be run with each policy.
struct experiment {
    std::string name;
    std::vector<experiment_load> loads;
    /// Queries that a daemon may have in flight; zero for its default.
    std::uint32_t queriesPerDaemon { 0 };
    unsigned daemons { 2 };
    /// Called once everything serves, before the load.
    std::function<void(cluster&)> prepare;
    /// Called half way through the load.
    std::function<void(cluster&)> disturb;
};

struct experiment_settings {
    std::chrono::milliseconds duration { 6000 };
    /// Multiplies service times and deadlines, and so divides rates: for a machine that can't carry the full rate.
    unsigned timeFactor { 1 };
    bool isPolicyFull { true };
    std::uint64_t seed { 1 };
};

/// Queries a second that all slots together can serve.
double capacityOf(service_plan const&);

/// Runs it and prints a row for each load.
void runExperiment(std::ostream&, experiment const&, experiment_settings const&);
void printHeader(std::ostream&);

/// Every scenario of the measurement, in the order of the design note.
std::vector<experiment> makeExperiments();

}
