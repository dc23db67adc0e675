#include "Libraries/zinnialedge/fleet/directory_choice.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace zinnialedge;
using fleet::directory_entry;

static std::vector<directory_entry> daemonsOf(std::size_t perDataCentre)
{
    std::vector<directory_entry> daemons;
    for (std::string const dataCentre : { "a", "b" }) {
        for (std::size_t index = 0; index < perDataCentre; ++index)
            daemons.push_back({ dataCentre + std::to_string(index), dataCentre, { "10.0.0." + std::to_string(daemons.size()), 80 } });
    }
    return daemons;
}

TEST_GROUP(DirectoryChoice) {};

TEST(DirectoryChoice, ALargeFleetServesFromAFewDaemonsOfEachDataCentre)
{
    LONGS_EQUAL(6, fleet::chooseGroup(daemonsOf(16)).size());
    LONGS_EQUAL(3, fleet::chooseDaemons(daemonsOf(16), "a").size());
    LONGS_EQUAL(6, fleet::chooseDaemons(daemonsOf(16), "elsewhere").size());
}

TEST(DirectoryChoice, AllWhoKnowTheSameDaemonsChooseTheSame)
{
    auto const daemons = daemonsOf(8);
    auto reversed = daemons;
    std::reverse(reversed.begin(), reversed.end());
    CHECK(fleet::chooseGroup(daemons) == fleet::chooseGroup(reversed));
}

TEST(DirectoryChoice, TheLossOfOneChangesOneMember)
{
    auto daemons = daemonsOf(8);
    auto const before = fleet::chooseGroup(daemons);
    std::erase(daemons, before.front());
    auto const after = fleet::chooseGroup(daemons);
    LONGS_EQUAL(before.size(), after.size());
    auto const kept = std::count_if(before.begin(), before.end(), [&](auto const& each) { return std::find(after.begin(), after.end(), each) != after.end(); });
    LONGS_EQUAL(before.size() - 1, kept);
}

TEST(DirectoryChoice, ACallerIsNotLeftWithOneAddressWhileThereAreOthers)
{
    LONGS_EQUAL(2, fleet::chooseDaemons(daemonsOf(1), "a").size());
    LONGS_EQUAL(1, fleet::chooseDaemons({ daemonsOf(1).front() }, "b").size());
    LONGS_EQUAL(0, fleet::chooseDaemons({}, "a").size());
}
