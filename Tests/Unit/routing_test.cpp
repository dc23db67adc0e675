#include "Libraries/zinnialedge/routing/leaf_table.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using std::chrono::milliseconds;

TEST_GROUP(LeafChoice)
{
    kernel::time_point now { std::chrono::seconds { 10 } };
    routing::leaf_table leafs;
    kernel::random_hook random = kernel::makeSeededRandom(1);
    model::snapshot pin { 1, 1 };

    void declare(std::uint32_t count, std::uint32_t slots = 2)
    {
        auto service = std::make_shared<model::service_declaration>();
        service->name = "lunch-portal";
        service->daemonGroupSize = 1;
        for (std::uint32_t index = 0; index < count; ++index)
            service->targets.push_back({ "t" + std::to_string(index), { "127.0.0.1", 1 }, 0, slots, 25, false });
        leafs.applyDeclaration(service);
        for (std::uint32_t index = 0; index < count; ++index)
            leafs.at(index).recordStatus({ 1 }, { 1 }, 0, false, now);
    }

    void serve(routing::leaf_handle leaf, milliseconds latency, int calls)
    {
        for (int call = 0; call < calls; ++call) {
            auto const sentAt = now;
            leafs.at(leaf).recordCallSent(sentAt);
            now += latency;
            leafs.at(leaf).recordCallEnded(sentAt, now, true);
        }
    }

    routing::leaf_choice choose(std::vector<routing::leaf_handle> const& excluded = {})
    {
        return leafs.chooseLeaf("lunch-portal", pin, 0, excluded, now, random);
    }

    unsigned countChosen(routing::leaf_handle leaf)
    {
        unsigned count = 0;
        for (int index = 0; index < 100; ++index)
            count += choose().chosenLeaf == leaf ? 1 : 0;
        return count;
    }
};

TEST(LeafChoice, NewLeafStartsAtOneCallAndLimitGrowsWithReplies)
{
    declare(1);
    leafs.at(0).recordCallSent(now);
    CHECK(!choose().chosenLeaf);
    CHECK(choose().hasUsableLeaf);
    leafs.at(0).recordCallEnded(now, now + milliseconds { 2 }, true);
    serve(0, milliseconds { 2 }, 1);
    leafs.at(0).recordCallSent(now);
    CHECK(choose().chosenLeaf == 0U);
}

TEST(LeafChoice, SlowLeafIsNotChosenWhenFastLeafIsAtItsLimit)
{
    declare(2);
    serve(0, milliseconds { 100 }, 20);
    serve(1, milliseconds { 5 }, 20);
    LONGS_EQUAL(0, countChosen(0));
    while (leafs.at(1).hasFreeCapacity())
        leafs.at(1).recordCallSent(now);
    CHECK(!choose().chosenLeaf);
    CHECK(choose().hasUsableLeaf);
}

TEST(LeafChoice, UnresponsiveLeafIsNotChosenWhenOtherLeafIsAtItsLimit)
{
    declare(2);
    serve(0, milliseconds { 5 }, 20);
    serve(1, milliseconds { 5 }, 20);
    leafs.at(0).recordCallSent(now);
    now += milliseconds { 40 };
    while (leafs.at(1).hasFreeCapacity())
        leafs.at(1).recordCallSent(now);
    CHECK(leafs.at(0).hasFreeCapacity());
    CHECK(!choose().chosenLeaf);
}

TEST(LeafChoice, SlowLeafStaysAvoidedWhenFastLeafHasOneLongCall)
{
    declare(2);
    serve(0, milliseconds { 100 }, 20);
    serve(1, milliseconds { 5 }, 20);
    leafs.at(1).recordCallSent(now);
    for (int round = 0; round < 10; ++round) {
        serve(1, milliseconds { 6 }, 1);
        LONGS_EQUAL(0, countChosen(0));
    }
    while (leafs.at(1).hasFreeCapacity())
        leafs.at(1).recordCallSent(now);
    CHECK(!choose().chosenLeaf);
}

TEST(LeafChoice, AvoidedLeafIsProbedPeriodicallyAndUsedAgainOnceFast)
{
    declare(2);
    serve(0, milliseconds { 100 }, 20);
    serve(1, milliseconds { 5 }, 1);
    std::vector<routing::leaf_handle> const calledLeafs { 1 };
    CHECK(!leafs.findLeafToProbe("lunch-portal", pin, 0, calledLeafs, now));
    for (int probe = 0; probe < 6; ++probe) {
        now += std::chrono::seconds { 1 };
        CHECK(probe >= 4 || leafs.findLeafToProbe("lunch-portal", pin, 0, calledLeafs, now) == 0U);
        serve(0, milliseconds { 5 }, 1);
    }
    while (leafs.at(1).hasFreeCapacity())
        leafs.at(1).recordCallSent(now);
    CHECK(choose().chosenLeaf == 0U);
}

TEST(LeafChoice, AtMostOneThirdOfLeafsIsAvoided)
{
    declare(6);
    for (routing::leaf_handle leaf = 0; leaf < 6; ++leaf)
        serve(leaf, milliseconds { leaf < 2 ? 5 : 100 }, 20);
    unsigned used = 0;
    for (routing::leaf_handle leaf = 0; leaf < 6; ++leaf) {
        while (leafs.at(leaf).hasFreeCapacity() && leaf < 2)
            leafs.at(leaf).recordCallSent(now);
    }
    for (routing::leaf_handle leaf = 2; leaf < 6; ++leaf)
        used += countChosen(leaf) > 0 ? 1 : 0;
    LONGS_EQUAL(2, used);
}

TEST(LeafChoice, ChoiceReportsWhenOnlySlowLeafIsLeftForHedge)
{
    declare(2);
    serve(0, milliseconds { 100 }, 20);
    serve(1, milliseconds { 5 }, 20);
    CHECK(choose({ 1 }).isFastestUsableLeafSlow);
    CHECK(!choose({ 0 }).isFastestUsableLeafSlow);
}

TEST(LeafChoice, UnreachableLeafIsNotChosenAndRestartsAtColdStartLimit)
{
    declare(2);
    serve(0, milliseconds { 5 }, 20);
    CHECK(leafs.at(0).limit() > 1);
    leafs.at(0).markUnreachable();
    LONGS_EQUAL(0, countChosen(0));
    leafs.at(0).recordStatus({ 1 }, { 1 }, 0, false, now);
    LONGS_EQUAL(1, leafs.at(0).limit());
}

TEST(LeafChoice, ReportedLoadExpiresWithAge)
{
    declare(1);
    leafs.at(0).recordStatus({ 1 }, { 1 }, 1, false, now);
    auto const fresh = leafs.at(0).expectedDelayMicroseconds(now);
    CHECK(leafs.at(0).expectedDelayMicroseconds(now + std::chrono::seconds { 3 }) < fresh);
}

TEST(LeafChoice, ShardCapacityExcludesAvoidedLeaf)
{
    declare(2);
    serve(0, milliseconds { 100 }, 20);
    serve(1, milliseconds { 5 }, 20);
    DOUBLES_EQUAL(leafs.at(1).maximumCallsPerSecond(now), leafs.maximumCallsPerSecond("lunch-portal", pin, 0, now), 0.1);
}
