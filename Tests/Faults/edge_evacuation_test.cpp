// Real daemons that learn of an evacuation from the store or from each other.

#include "Tests/Support/small_edge_fleet.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::edge_fleet;
using tests::replySuccessfully;
using tests::scripted_leaf;

TEST_GROUP(EdgeEvacuation) {};

// Guards against: a daemon whose store is away calls leafs of a data centre that is evacuated, although another daemon knows of it.
TEST(EdgeEvacuation, DaemonWithoutTheStoreLearnsOfTheEvacuationFromAnother)
{
    edge_fleet fleet { 2 };
    scripted_leaf localLeaf { replySuccessfully };
    scripted_leaf remoteLeaf { replySuccessfully };
    fleet.registerLeaf("desk0", "desk", localLeaf.place());
    fleet.registerLeaf("desk1", "desk", remoteLeaf.place(), "ready", "there");
    for (std::size_t shard = 0; shard < 4; ++shard)
        fleet.registerLeaf("leaf" + std::to_string(shard), "shard" + std::to_string(shard), shard == 0 ? remoteLeaf.place() : localLeaf.place(), "ready", shard == 0 ? "there" : "here");
    fleet.declare(1, 4, true);
    fleet.replaceSetting(0, "evacuations", true);
    fleet.replaceSetting(1, "evacuations", true);
    // Nothing listens there.
    fleet.replaceSetting(1, "store", "127.0.0.1:1");
    fleet.start(0);
    fleet.start(1);
    CHECK(fleet.waitUntilReady());
    STRCMP_EQUAL("0", fleet.get(1, "/gather/a", "a0").header("Zinnialedge-Missing-Parts").c_str());

    auto const checkEvacuated = [&](std::string const& name) {
        auto const before = remoteLeaf.requests().size();
        for (int count = 0; count < 10; ++count) {
            auto const attempt = name + std::to_string(count);
            LONGS_EQUAL(200, fleet.get(1, "/single/a", "s" + attempt).status);
            STRCMP_EQUAL("1", fleet.get(1, "/gather/a", "g" + attempt).header("Zinnialedge-Missing-Parts").c_str());
        }
        LONGS_EQUAL(before, remoteLeaf.requests().size());
    };
    fleet.store().put("evacuations", "there", "unreadable");
    CHECK(fleet.daemon(0).process->waitForLine("event=evacuation_began data_centre=there leafs=2", 1s).has_value());
    CHECK(fleet.daemon(1).process->waitForLine("event=evacuation_began data_centre=there leafs=2", 4s).has_value());
    checkEvacuated("running");
    // A daemon that starts during the evacuation calls no leaf there before it knows of it.
    fleet.daemon(1).process.reset();
    fleet.start(1);
    CHECK(fleet.waitUntilReady());
    checkEvacuated("started");

    fleet.store().erase("evacuations", "there");
    CHECK(fleet.daemon(1).process->waitForLine("event=evacuation_ended data_centre=there", 5s).has_value());
    STRCMP_EQUAL("0", fleet.get(1, "/gather/a", "a9").header("Zinnialedge-Missing-Parts").c_str());
}
