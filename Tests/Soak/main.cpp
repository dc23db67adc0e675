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
    return soak_run {}.run();
}
