#include "Kernel/event_log.h"
#include "Tests/Soak/soak_run.h"
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint64(seed, 1, "seed of the random fault schedule");
DEFINE_uint64(seconds, 15, "duration of the fault injection in seconds");
DEFINE_uint64(daemons, 4, "number of daemons");
DEFINE_uint64(shards, 6, "number of shards of the route; each shard has two leafs");
DEFINE_bool(daemon_faults, true, "whether daemons are killed, stopped and paused; without these faults the request limits of leafs are checked");
DEFINE_bool(link_faults, false, "whether daemons are cut off from all leafs; what their callers get is checked in runs without daemon faults");
DEFINE_bool(leaf_faults, true, "whether leafs, the store, settings and configurations have faults or change");
DEFINE_bool(marked_requests, true, "whether callers send requests that end the leafs that run them");
DEFINE_bool(tenants, false, "whether configurations have tenants with keys that come and go, and callers send keys");
DEFINE_bool(quotas, false, "whether a tenant with a quota sends far more requests than that; implies --tenants");
DEFINE_bool(evacuations, false, "whether data centres are evacuated");
DEFINE_bool(planned_stops, false, "whether daemons are stopped again and again, overlapping, with further signals and reloads meanwhile, and some requests take up to a second at their leafs");
DEFINE_string(old_programs, "", "folder of another build, whose program the first daemons run at the start; tenants and evacuations begin when all daemons are replaced");
DEFINE_uint64(old_daemons, 0, "number of daemons that run the program of --old_programs at the start and are replaced one after the other");
DEFINE_string(logs, "", "directory to which the daemons' logs are written if the run has findings");

using namespace zinnialedge;
using namespace zinnialedge::tests::soak;

int main(int argumentCount, char** arguments)
{
    gflags::SetUsageMessage("Runs daemons on loopback under random faults and compares the answers to callers with the requests that leafs executed.");
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    std::signal(SIGPIPE, SIG_IGN);
    kernel::openLog("soak", "error");
    if (FLAGS_daemons == 0 || FLAGS_daemons > maxDaemons) {
        std::cerr << "soak: --daemons: expected 1 to " << maxDaemons << "\n";
        return 2;
    }
    if (FLAGS_old_daemons > FLAGS_daemons || FLAGS_old_programs.empty() != (FLAGS_old_daemons == 0)) {
        std::cerr << "soak: --old_programs, --old_daemons: expected a folder and 1 to " << FLAGS_daemons << ", or neither\n";
        return 2;
    }
    FLAGS_tenants = FLAGS_tenants || FLAGS_quotas;
    return soak_run {}.run();
}
