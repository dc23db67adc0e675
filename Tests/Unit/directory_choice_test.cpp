#include "Libraries/zinnialedge/fleet/directory_choice.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace zinnialedge;
using fleet::serving_daemon;

static std::vector<serving_daemon> makeDaemons(std::size_t countPerDataCentre)
{
    std::vector<serving_daemon> daemons;
    for (std::string const dataCentre : { "a", "b" }) {
        for (std::size_t index = 0; index < countPerDataCentre; ++index)
            daemons.push_back({ dataCentre + std::to_string(index), dataCentre, { "10.0.0." + std::to_string(daemons.size()), 80 } });
    }
    return daemons;
}

static std::vector<model::endpoint> endpointsOf(std::vector<serving_daemon> const& daemons)
{
    std::vector<model::endpoint> endpoints;
    endpoints.reserve(daemons.size());
    for (auto const& each : daemons)
        endpoints.push_back(each.place);
    return endpoints;
}

TEST_GROUP(DirectoryChoice) {};

TEST(DirectoryChoice, LargeFleetUsesTwoDaemonsPerDataCentre)
{
    LONGS_EQUAL(4, fleet::chooseServingGroup(makeDaemons(16)).size());
    LONGS_EQUAL(2, fleet::chooseEndpoints(makeDaemons(16), "a").size());
    LONGS_EQUAL(4, fleet::chooseEndpoints(makeDaemons(16), "elsewhere").size());
}

TEST(DirectoryChoice, CallerGetsOtherDaemonsWhenBothLocalOnesAreLost)
{
    auto daemons = makeDaemons(2);
    std::erase_if(daemons, [](auto const& each) { return each.dataCentre == "a"; });
    LONGS_EQUAL(2, fleet::chooseEndpoints(daemons, "a").size());
    // In a large fleet the next daemons of the data centre take the place of the lost ones.
    auto large = makeDaemons(16);
    auto const lost = fleet::chooseEndpoints(large, "a");
    std::erase_if(large, [&](auto const& each) { return std::find(lost.begin(), lost.end(), each.place) != lost.end(); });
    LONGS_EQUAL(2, fleet::chooseEndpoints(large, "a").size());
}

TEST(DirectoryChoice, GroupDoesNotDependOnOrderOfDaemons)
{
    auto const daemons = makeDaemons(8);
    auto reversed = daemons;
    std::reverse(reversed.begin(), reversed.end());
    CHECK(fleet::chooseServingGroup(daemons) == fleet::chooseServingGroup(reversed));
}

TEST(DirectoryChoice, LossOfOneDaemonReplacesOneGroupMember)
{
    auto daemons = makeDaemons(8);
    auto const before = fleet::chooseServingGroup(daemons);
    std::erase(daemons, before.front());
    auto const after = fleet::chooseServingGroup(daemons);
    LONGS_EQUAL(before.size(), after.size());
    auto const retainedCount = std::count_if(before.begin(), before.end(), [&](auto const& each) { return std::find(after.begin(), after.end(), each) != after.end(); });
    LONGS_EQUAL(before.size() - 1, retainedCount);
}

TEST(DirectoryChoice, CallerGetsCompleteGroupWhenLocalDaemonsAreTooFew)
{
    LONGS_EQUAL(2, fleet::chooseEndpoints(makeDaemons(1), "a").size());
    LONGS_EQUAL(1, fleet::chooseEndpoints({ makeDaemons(1).front() }, "b").size());
    LONGS_EQUAL(0, fleet::chooseEndpoints({}, "a").size());
}

// Guards against: callers are sent to daemons that have lost their leafs while others reach them.
TEST(DirectoryChoice, DaemonsWithoutLeafsAreReplacedByOthers)
{
    auto daemons = makeDaemons(4);
    auto const before = fleet::chooseServingGroup(daemons);
    for (auto& each : daemons)
        each.reachesLeafs = each.place != before.front().place;
    auto const listed = fleet::chooseServingGroup(fleet::daemonsWithLeafs(daemons));
    LONGS_EQUAL(before.size(), listed.size());
    CHECK(std::none_of(listed.begin(), listed.end(), [](auto const& each) { return !each.reachesLeafs; }));
    // A data centre whose daemons have all lost their leafs sends its callers to the others.
    for (auto& each : daemons)
        each.reachesLeafs = each.dataCentre != "a";
    auto const endpoints = fleet::chooseEndpoints(fleet::daemonsWithLeafs(daemons), "a");
    LONGS_EQUAL(2, endpoints.size());
    CHECK(std::all_of(daemons.begin(), daemons.end(), [&](auto const& each) { return each.reachesLeafs || std::find(endpoints.begin(), endpoints.end(), each.place) == endpoints.end(); }));
}

// Guards against: VMs with a fraction of the others' processor share carry the traffic of a data centre.
TEST(DirectoryChoice, MuchWeakerDaemonsServeOnlyWithoutEnoughStrongOnes)
{
    auto daemons = makeDaemons(16);
    for (auto& each : daemons)
        each.strength = 0.12;
    auto const weakGroup = fleet::chooseServingGroup(daemons);
    CHECK(endpointsOf(weakGroup) == endpointsOf(fleet::chooseServingGroup(makeDaemons(16))));
    std::erase_if(daemons, [&](auto const& each) { return each.place == weakGroup.front().place; });
    // Three strong daemons in "a" of different strength, one in "b".
    auto const strengthOf = [](std::string const& name) { return name == "a3" || name == "b5" ? 0.5 : name == "a7" ? 0.3
                                                              : name == "a9"                                       ? 0.25
                                                                                                                   : 0.12; };
    for (auto& each : daemons)
        each.strength = strengthOf(each.name);
    for (auto const& each : fleet::chooseServingGroup(daemons))
        CHECK(each.dataCentre == "b" || strengthOf(each.name) > 0.12);
    auto const group = fleet::chooseServingGroup(daemons);
    LONGS_EQUAL(4, group.size());
    CHECK(std::any_of(group.begin(), group.end(), [](auto const& each) { return each.name == "b5"; }));
}

// Load: queries over many shards whose objective is a few times the processor time that they take on a weak VM.
// Guards against: VMs of 0.28 to 0.33 cores carry queries that the VMs of 0.5 cores beside them answer in time.
TEST(DirectoryChoice, StrongestDaemonsServeAndTheNextStrongestReplaceThem)
{
    auto daemons = makeDaemons(8);
    for (auto& each : daemons)
        each.strength = 0.12;
    auto const setStrength = [&](std::string const& name, double strength) {
        std::find_if(daemons.begin(), daemons.end(), [&](auto const& each) { return each.name == name; })->strength = strength;
    };
    auto const namesIn = [&](std::string const& dataCentre) {
        std::vector<std::string> names;
        for (auto const& each : fleet::chooseServingGroup(daemons)) {
            if (each.dataCentre == dataCentre)
                names.push_back(each.name);
        }
        std::sort(names.begin(), names.end());
        return names;
    };
    for (auto const* const name : { "a1", "a3", "a4", "a6" })
        setStrength(name, 0.31);
    setStrength("a2", 0.5);
    setStrength("a5", 0.45);
    CHECK(namesIn("a") == (std::vector<std::string> { "a2", "a5" }));
    std::erase_if(daemons, [](auto const& each) { return each.name == "a2"; });
    auto const names = namesIn("a");
    LONGS_EQUAL(2, names.size());
    CHECK(std::find(names.begin(), names.end(), "a5") != names.end());
    CHECK(std::none_of(names.begin(), names.end(), [](auto const& name) { return name == "a0" || name == "a7"; }));
}

// Guards against: builds that know strengths and builds that do not choose different groups while VMs are replaced.
TEST(DirectoryChoice, OneUnknownStrengthMakesAllStrengthsIgnored)
{
    auto daemons = makeDaemons(16);
    auto const group = endpointsOf(fleet::chooseServingGroup(daemons));
    for (auto& each : daemons)
        each.strength = std::find(group.begin(), group.end(), each.place) == group.end() ? 0.5 : 0.12;
    CHECK(endpointsOf(fleet::chooseServingGroup(daemons)) != group);
    daemons.back().strength.reset();
    CHECK(endpointsOf(fleet::chooseServingGroup(daemons)) == group);
}

// Guards against: callers are left without any address when all daemons have lost their leafs.
TEST(DirectoryChoice, AllDaemonsAreListedWhenNoneReachesLeafs)
{
    auto daemons = makeDaemons(2);
    for (auto& each : daemons)
        each.reachesLeafs = false;
    LONGS_EQUAL(daemons.size(), fleet::daemonsWithLeafs(daemons).size());
}

TEST(DirectoryChoice, ACallerWithoutADataCentreGetsTheCompleteGroup)
{
    CHECK(fleet::chooseEndpoints(makeDaemons(16), "") == fleet::chooseEndpoints(makeDaemons(16), "elsewhere"));
    LONGS_EQUAL(4, fleet::chooseEndpoints(makeDaemons(16), "").size());
}
