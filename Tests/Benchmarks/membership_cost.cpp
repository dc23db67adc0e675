#include "Tests/Benchmarks/membership_cost.h"

#include "Libraries/zinnialedge/wire/membership_codec.h"
#include "Tests/Support/membership_network.h"
#include <cstdio>
#include <ctime>

namespace zinnialedge::benchmarks {

using namespace membership;
using tests::membership_network;
using namespace std::chrono_literals;

static constexpr std::uint16_t dataCentreCount = 11;
static constexpr int ipAndUdpHeaderBytes = 28;

static double readCpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Starts `count` members that all know each other, so that the cost of joining is not part of the measurement.
static void startMembers(membership_network& network, std::uint16_t count)
{
    for (std::uint16_t index = 1; index <= count; ++index)
        network.start("daemon-" + std::to_string(index), index, {}, "data-centre-" + std::to_string(index % dataCentreCount));
    for (std::uint16_t to = 1; to <= count; ++to) {
        datagram content;
        content.kind = datagram_kind::members_page;
        content.isLastPage = true;
        content.sender = network.at(to == 1 ? 2 : 1).engine->self();
        for (std::uint16_t from = 1; from <= count; ++from) {
            if (from != to)
                content.updates.push_back(network.at(from).engine->self());
        }
        std::ignore = network.at(to).engine->step(datagram_received { membership_network::endpointOf(1), content }, network.now());
    }
}

static std::uint64_t sumOverNodes(membership_network& network, std::uint64_t membership_network::node::* member)
{
    std::uint64_t total = 0;
    for (auto const& [index, node] : network.nodes())
        total += node.*member;
    return total;
}

static void measureNetwork(std::uint16_t count)
{
    membership_network network { 1 };
    network.loss = 0.01;
    startMembers(network, count);
    // Runs until the updates about the started members have been sent the required number of times and are no longer propagated.
    network.run(30s);
    auto const datagrams = sumOverNodes(network, &membership_network::node::sentDatagramCount);
    auto const bytes = sumOverNodes(network, &membership_network::node::sentByteCount);
    auto const begin = readCpuSeconds();
    network.shouldCountBytes = true;
    constexpr int seconds = 10;
    network.run(std::chrono::seconds { seconds });
    auto const perMember = static_cast<double>(count) * seconds;
    auto const sent = static_cast<double>(sumOverNodes(network, &membership_network::node::sentDatagramCount) - datagrams) / perMember;
    auto const payload = static_cast<double>(sumOverNodes(network, &membership_network::node::sentByteCount) - bytes) / perMember;
    auto const microseconds = 1e6 * (readCpuSeconds() - begin) / perMember;
    network.shouldCountBytes = false;
    network.give(count, status_declared { member_status::leaving });
    auto const name = network.at(count).engine->self().record.name;
    auto const propagationTime = network.runUntil([&] { return network.allNodesReport(name, member_status::leaving); }, 60s);
    network.at(1).isRunning = false;
    auto const deathDetectionTime = network.runUntil([&] { return network.allNodesReport("daemon-1", member_status::dead); }, 60s);
    auto const toSeconds = [](auto const& span) { return span ? std::chrono::duration<double>(*span).count() : -1.0; };
    std::printf("%7u %12.2f %14.0f %16.1f %12.2f %12.2f %10llu\n", count, sent, payload + sent * ipAndUdpHeaderBytes, microseconds,
        toSeconds(propagationTime), toSeconds(deathDetectionTime), static_cast<unsigned long long>(sumOverNodes(network, &membership_network::node::reportedDeathCount)));
}

void measureMembershipCost()
{
    std::printf("members  sent per s  bytes sent/s  CPU time us/s  spread s  death known s  deaths reported\n");
    for (std::uint16_t const count : { 10, 100, 400, 1000, 2000 }) {
        measureNetwork(count);
        std::fflush(stdout);
    }
}

}
