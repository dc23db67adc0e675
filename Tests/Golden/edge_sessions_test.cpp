#include "Tests/Support/edge_bench.h"
#include "Tests/Support/engine_harness.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

// One request of each kind on the platform's interface without load or faults: the bytes that the caller sends, that each
// leaf receives and that the caller receives. UPDATE_GOLDEN=1 in the environment overwrites the files in edge/.

using namespace zinnialedge;
using tests::edge_traffic_harness;
using tests::engine_harness;
using tests::makeRegistration;
using tests::scripted_leaf;
using tests::scripted_reply;
using tests::sealedReply;

namespace {

/// Two shards and the service "desk", each with one healthy leaf.
struct healthy_fleet {
    healthy_fleet()
    {
        traffic.declare(1, { engine_harness::gatherRoute(2, 1), engine_harness::singleRoute(false) });
        traffic.registerLeafs({ makeRegistration("leaf-a", "shard0", firstShardLeaf), makeRegistration("leaf-b", "shard1", secondShardLeaf), makeRegistration("leaf-c", "desk", deskLeaf) });
    }

    scripted_leaf firstShardLeaf { [](std::string const& request) { return scripted_reply { sealedReply(request, "record of shard a"), false, false }; } };
    scripted_leaf secondShardLeaf { [](std::string const& request) { return scripted_reply { sealedReply(request, "record of shard b"), false, false }; } };
    scripted_leaf deskLeaf { [](std::string const& request) { return scripted_reply { sealedReply(request, "the order is on its way", "Content-Type: text/plain\r\n"), false, false }; } };
    edge_traffic_harness traffic;
};

/// Replaces the remaining time that a leaf receives, since this value depends on the clock.
std::string withoutRemainingTime(std::string text)
{
    static std::string const name = "Zinnialedge-Deadline-Ms: ";
    auto const start = text.find(name);
    if (start != std::string::npos)
        text.replace(start + name.size(), text.find("\r\n", start) - start - name.size(), "(what is left)");
    return text;
}

std::string withoutCarriageReturns(std::string const& text)
{
    std::string lines;
    for (auto const character : text) {
        if (character != '\r')
            lines += character;
    }
    return lines;
}

void checkTranscript(std::string const& name, std::string const& transcript)
{
    auto const path = std::filesystem::path { TESTS_FOLDER "/Golden/edge" } / name;
    if (std::getenv("UPDATE_GOLDEN"))
        std::ofstream { path } << transcript;
    std::stringstream expected;
    expected << std::ifstream { path }.rdbuf();
    STRCMP_EQUAL_TEXT(expected.str().c_str(), transcript.c_str(), name.c_str());
}

std::string recordTranscript(healthy_fleet& fleet, std::string const& request)
{
    auto const answer = fleet.traffic.send(request);
    std::string transcript = "caller sends\n" + withoutCarriageReturns(request);
    for (auto* const leaf : { &fleet.firstShardLeaf, &fleet.secondShardLeaf, &fleet.deskLeaf }) {
        for (auto const& each : leaf->requests())
            transcript += "\nleaf gets\n" + withoutCarriageReturns(withoutRemainingTime(each));
    }
    return transcript + "\ncaller gets\n" + withoutCarriageReturns(answer.head + answer.body) + "\n";
}

}

TEST_GROUP(EdgeSessions) {};

TEST(EdgeSessions, AGatherRequest)
{
    healthy_fleet fleet;
    checkTranscript("gather.txt", recordTranscript(fleet, "GET /gather/menu?q=soup HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: 9c41d07be2a35f68\r\nZinnialedge-Deadline-Ms: 1500\r\n\r\n"));
}

TEST(EdgeSessions, ANonRepeatableRequest)
{
    healthy_fleet fleet;
    checkTranscript("single.txt", recordTranscript(fleet, "POST /single/order HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: 9c41d07be2a35f68\r\nZinnialedge-Deadline-Ms: 6000\r\nContent-Length: 8\r\n\r\ntwo vans"));
}

TEST(EdgeSessions, ARequestToAnUnknownRoute)
{
    healthy_fleet fleet;
    checkTranscript("unknown-route.txt", recordTranscript(fleet, "GET /none/order HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: 9c41d07be2a35f68\r\n\r\n"));
}
