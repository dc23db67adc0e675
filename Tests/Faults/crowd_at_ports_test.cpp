// Crowds at each port on which a daemon listens: connections without a request, and the ports that are not the callers'.

#include "Tests/Faults/crowd_checks.h"
#include "Tests/Support/http_call.h"
#include "Tests/Support/small_edge_fleet.h"
#include <boost/json.hpp>

using namespace zinnialedge;
using tests::checkBears;
using tests::checkBearsBytes;
using tests::chunkedHead;
using tests::crowded_daemon;

namespace {

using port_hook = std::function<model::endpoint(crowded_daemon&)>;

/// More connections than the VM has descriptors.
constexpr std::size_t manyConnections = crowded_daemon::machineDescriptors + 100;

/// `start` is sent over each connection; it may be the beginning of a request.
void checkBearsConnections(port_hook const& portOf, std::string const& start = {})
{
    checkBearsBytes(portOf, start, {}, 0, {}, manyConnections);
}

void checkBearsTrailers(port_hook const& portOf, std::string const& target)
{
    checkBearsBytes(portOf, chunkedHead(target) + "1\r\nx\r\n0\r\n", "X-Trailer: x\r\n");
}

/// Sends bodies that are within the limit of the port, but end never.
void checkBearsBodies(port_hook const& portOf, std::string const& target)
{
    static constexpr std::size_t bodyBytes = 1U << 20U;
    checkBearsBytes(portOf, "POST " + target + " HTTP/1.1\r\nHost: host\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n", "x", bodyBytes - 65'536, {}, 150);
}

}

TEST_GROUP(CrowdIdleCallers) {};

TEST(CrowdIdleCallers, WithoutARequest)
{
    checkBearsConnections(&crowded_daemon::callers);
}

TEST_GROUP(CrowdSlowCallers) {};

TEST(CrowdSlowCallers, WithTheBeginningOfARequest)
{
    checkBearsConnections(&crowded_daemon::callers, "GET /single/crowd HTTP/1.1\r\n");
}

TEST_GROUP(CrowdIdleRelays) {};

TEST(CrowdIdleRelays, WithoutARequest)
{
    checkBearsConnections(&crowded_daemon::relays);
}

TEST_GROUP(CrowdIdleDirectory) {};

TEST(CrowdIdleDirectory, WithoutARequest)
{
    checkBearsConnections(&crowded_daemon::directory);
}

TEST_GROUP(CrowdIdleReadiness) {};

TEST(CrowdIdleReadiness, WithoutARequest)
{
    checkBearsConnections(&crowded_daemon::readiness);
}

TEST_GROUP(CrowdIdlePeers) {};

TEST(CrowdIdlePeers, WithoutARequest)
{
    checkBearsConnections(&crowded_daemon::peers);
}

TEST_GROUP(CrowdIdleOperators) {};

TEST(CrowdIdleOperators, WithoutARequest)
{
    checkBearsConnections(&crowded_daemon::operators);
}

TEST_GROUP(CrowdIdleEverywhere) {};

// What all connections of the process hold together.
TEST(CrowdIdleEverywhere, WithoutARequest)
{
    crowded_daemon daemon;
    std::vector<tests::crowd_plan> plans;
    for (auto const& port : { daemon.callers(), daemon.relays(), daemon.directory(), daemon.readiness(), daemon.peers(), daemon.operators() })
        plans.push_back({ .endpoint = port, .connectionCount = manyConnections / 4 });
    checkBears(daemon.meet(plans));
}

TEST_GROUP(CrowdDirectoryTrailer) {};

TEST(CrowdDirectoryTrailer, Fields)
{
    checkBearsTrailers(&crowded_daemon::directory, "/zinnialedge/resolve");
}

TEST_GROUP(CrowdReadinessTrailer) {};

TEST(CrowdReadinessTrailer, Fields)
{
    checkBearsTrailers(&crowded_daemon::readiness, "/zinnialedge/readiness");
}

TEST_GROUP(CrowdPeersTrailer) {};

TEST(CrowdPeersTrailer, Fields)
{
    checkBearsTrailers(&crowded_daemon::peers, "/fleet/snapshot");
}

TEST_GROUP(CrowdOperatorsTrailer) {};

TEST(CrowdOperatorsTrailer, Fields)
{
    checkBearsTrailers(&crowded_daemon::operators, "/commands");
}

TEST_GROUP(CrowdDirectoryBodies) {};

TEST(CrowdDirectoryBodies, AllButTheLastBytes)
{
    checkBearsBodies(&crowded_daemon::directory, "/zinnialedge/resolve");
}

TEST_GROUP(CrowdPeersBodies) {};

TEST(CrowdPeersBodies, AllButTheLastBytes)
{
    checkBearsBodies(&crowded_daemon::peers, "/fleet/snapshot");
}

TEST_GROUP(CrowdOperatorsBodies) {};

TEST(CrowdOperatorsBodies, AllButTheLastBytes)
{
    checkBearsBodies(&crowded_daemon::operators, "/commands");
}

TEST_GROUP(CrowdUnreadSnapshots) {};

TEST(CrowdUnreadSnapshots, OfAFleetWithManyLeafs)
{
    crowded_daemon daemon;
    // Entries that name no leaf to use, but are part of the snapshot.
    for (int number = 0; number < 400; ++number)
        daemon.store().put("servers", "foreign" + std::to_string(number), { { "text", std::string(2000, 'x') } });
    std::this_thread::sleep_for(std::chrono::seconds { 3 });
    std::string requests;
    for (int count = 0; count < 20; ++count)
        requests += "GET /fleet/snapshot HTTP/1.1\r\nHost: host\r\n\r\n";
    checkBears(daemon.meet({ { .endpoint = daemon.peers(), .connectionCount = 150, .start = requests, .receiveBufferBytes = 4096 } }));
}

TEST_GROUP(CrowdDistinctPolls) {};

// Polls from many positions in the history of the leafs, each with another answer.
TEST(CrowdDistinctPolls, EachFromAnotherPosition)
{
    static constexpr int pollCount = 3000;
    crowded_daemon daemon;
    for (int number = 0; number < 40; ++number)
        daemon.store().put("servers", "foreign" + std::to_string(number), { { "text", std::string(2000, 'x') } });
    std::this_thread::sleep_for(std::chrono::seconds { 3 });
    auto const state = tests::getJson(daemon.peers(), "/fleet/snapshot?wait_ms=0");
    auto const incarnation = state.at("reader").at("incarnation").to_number<std::uint64_t>();
    checkBears(daemon.watch([&] {
        tests::persistent_connection connection { daemon.peers() };
        for (int number = 1000; number < 1000 + pollCount; ++number)
            connection.ask("GET /fleet/snapshot?wait_ms=0&origin=" + std::to_string(incarnation) + "&version=9&store=1&part_leafs=0.0." + std::to_string(number) + " HTTP/1.1\r\nHost: host\r\n\r\n");
    }));
}

TEST_GROUP(CrowdAbandonedPolls) {};

// Polls with many parts, whose connections are closed while they are held.
TEST(CrowdAbandonedPolls, WithManyParts)
{
    static constexpr int roundCount = 12;
    std::string poll = "GET /fleet/snapshot?wait_ms=1000&version=9&era=9&store=1";
    for (int part = 0; poll.size() < 7900; ++part)
        poll += "&part_" + std::to_string(part) + "=1";
    poll += " HTTP/1.1\r\nHost: host\r\n\r\n";
    crowded_daemon daemon;
    checkBears(daemon.watch([&] {
        for (int round = 0; round < roundCount; ++round) {
            tests::crowd const visitors { { .endpoint = daemon.peers(), .connectionCount = 250, .start = poll } };
            std::this_thread::sleep_for(std::chrono::milliseconds { 60 });
        }
    }));
}
