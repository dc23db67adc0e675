#include "Tests/Experiments/experiment.h"

#include <boost/json.hpp>
#include <csignal>

namespace zinnialedge::tests {

static constexpr char const* portalServiceName = "lunch-portal";

static service_plan makePortalPlan()
{
    auto plan = lunchPortalPlan();
    plan.isProcessPerLeaf = true;
    return plan;
}

static experiment makePortalExperiment(std::string name, double capacityFraction, std::function<void(cluster&)> prepareCluster = {})
{
    experiment newExperiment;
    newExperiment.name = std::move(name);
    newExperiment.loads = { { makePortalPlan(), "menu", capacityFraction } };
    newExperiment.prepareCluster = std::move(prepareCluster);
    return newExperiment;
}

static void slowOneLeaf(cluster& running)
{
    running.setLeafFaults(running.leafsOf(portalServiceName).front(), { { "slow_factor", 20 } });
}

static void freezeOneLeaf(cluster& running)
{
    running.leafsOf(portalServiceName).front().process->pause();
}

static void killOneDaemon(cluster& running)
{
    running.daemon("daemon-1").process->signal(SIGKILL);
}

static void killOneLeafOfEachShard(cluster& running)
{
    std::uint32_t nextShard = 0;
    for (auto const& leaf : running.leafsOf(portalServiceName)) {
        if (leaf.shard != nextShard)
            continue;
        leaf.process->signal(SIGKILL);
        ++nextShard;
    }
}

static experiment makeFloodExperiment(std::string name, double floodCapacityFraction)
{
    // The partners have separate leafs and share only the query limit of the daemons.
    auto floodPlan = kerbsideAppPlan();
    auto newExperiment = makePortalExperiment(std::move(name), 0.3);
    newExperiment.maxQueriesPerDaemon = 40;
    newExperiment.loads.push_back({ floodPlan, "site-history", floodCapacityFraction });
    return newExperiment;
}

std::vector<experiment> makeExperiments()
{
    std::vector<experiment> all {
        makePortalExperiment("30%", 0.3),
        makePortalExperiment("30%-one-slow", 0.3, slowOneLeaf),
        makePortalExperiment("30%-one-frozen", 0.3, freezeOneLeaf),
        makePortalExperiment("50%-one-slow", 0.5, slowOneLeaf),
        makePortalExperiment("70%-one-slow", 0.7, slowOneLeaf),
    };
    auto partial = makePortalExperiment("70%-one-slow-partial", 0.7, slowOneLeaf);
    partial.loads.front().plan.declaration.coverage = model::coverage_policy::partial;
    partial.loads.front().plan.declaration.softDeadline = std::chrono::milliseconds { 60 };
    all.push_back(std::move(partial));
    all.push_back(makePortalExperiment("90%", 0.9));
    all.push_back(makePortalExperiment("200%", 2));
    all.push_back(makeFloodExperiment("flood-none", 0.1));
    all.push_back(makeFloodExperiment("flood-5x", 2.5));
    auto daemonLoss = makePortalExperiment("daemon-loss", 0.3);
    daemonLoss.daemonCount = 5;
    daemonLoss.injectFault = killOneDaemon;
    all.push_back(std::move(daemonLoss));
    auto replicaLoss = makePortalExperiment("replica-loss", 0.3);
    replicaLoss.injectFault = killOneLeafOfEachShard;
    all.push_back(std::move(replicaLoss));
    return all;
}

}
