#include "Tests/Support/cluster.h"
#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>

using namespace zinnialedge;
using namespace zinnialedge::tests;

static constexpr std::uint32_t connectionCap = 10;
static constexpr int queryCount = 30;

TEST_GROUP(LeafConnections)
{
    std::unique_ptr<cluster> testCluster;

    void startCluster(std::uint32_t shards)
    {
        testCluster = std::make_unique<cluster>();
        auto plan = smallPlan("lunch-portal", "suva", shards);
        plan.leaf.connectionCap = connectionCap;
        plan.declaration.daemonGroupSize = 1;
        plan.declaration.maximumHedgePercent = 0;
        testCluster->startService(plan);
    }

    void teardown() override
    {
        testCluster = nullptr;
    }

    running_daemon& startDaemon(std::string const& name)
    {
        auto& daemon = testCluster->startDaemon(name, "suva", "suva-a");
        CHECK(testCluster->waitForLeafs(daemon, "lunch-portal"));
        return daemon;
    }

    static void checkCompleteAnswers(running_daemon const& daemon)
    {
        for (int index = 0; index < queryCount; ++index) {
            model::query_request request;
            request.service = "lunch-portal";
            request.requestKind = "search";
            auto const answer = query(daemon.callers, request);
            CHECK(answer.has_value());
            CHECK(answer->covered.isWhole());
        }
    }

    static std::uint64_t sumOverPools(running_daemon const& daemon, char const* field)
    {
        std::uint64_t sum = 0;
        auto const state = getJson(daemon.operators, "/state");
        for (auto const& pool : state.at("services").at("targets").at("pools").as_array())
            sum += pool.at(field).to_number<std::uint64_t>();
        return sum;
    }
};

TEST(LeafConnections, ADaemonRefusedAtTheConnectionCapLowersItsPoolSize)
{
    startCluster(1);
    auto& first = startDaemon("suva-1");
    CHECK(waitUntil([&] { return sumOverPools(first, "open") == sumOverPools(first, "wanted"); }));
    auto& second = startDaemon("suva-2");
    CHECK(waitUntil([&] { return sumOverPools(second, "allowed") < sumOverPools(second, "wanted"); }));
    CHECK(waitUntil([&] { return sumOverPools(second, "open") == sumOverPools(second, "allowed"); }));
    checkCompleteAnswers(first);
    checkCompleteAnswers(second);
    // The leafs are at their connection cap, so a test can read their counts only after a daemon has ended.
    auto const maximumRefusals = 2 * sumOverPools(second, "wanted");
    first.process->signal(SIGKILL);
    for (auto const& leaf : testCluster->leafsOf("lunch-portal")) {
        boost::json::value counts;
        CHECK(waitUntil([&] { return (counts = getJson(leaf.place, "/counts")).is_object(); }));
        CHECK(counts.at("most_connections").to_number<std::uint64_t>() <= connectionCap);
        CHECK(counts.at("refused_connections").to_number<std::uint64_t>() <= maximumRefusals);
    }
}

TEST(LeafConnections, CallsToADeadLeafAreRetriedAtAnotherReplica)
{
    startCluster(3);
    auto& daemon = startDaemon("suva-1");
    std::uint32_t nextShard = 0;
    for (auto const& leaf : testCluster->leafsOf("lunch-portal")) {
        if (leaf.shard != nextShard)
            continue;
        leaf.process->signal(SIGKILL);
        ++nextShard;
    }
    checkCompleteAnswers(daemon);
}
