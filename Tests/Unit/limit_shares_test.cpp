#include "Libraries/zinnialedge/fleet/limit_shares.h"
#include <CppUTest/TestHarness.h>

using zinnialedge::fleet::countLimitShares;

TEST_GROUP(LimitShares) {};

// Guards against shares of the daemons that add up to more or less than the limit of a leaf.
TEST(LimitShares, SharesOfAllDaemonsAddUpToTheLimit)
{
    for (std::size_t live = 1; live <= 100; ++live) {
        for (std::size_t group = 0; group <= live; ++group) {
            auto const inGroup = static_cast<double>(group) / countLimitShares(group, live, true);
            auto const outside = static_cast<double>(live - group) / countLimitShares(group, live, false);
            DOUBLES_EQUAL(1, inGroup + outside, 1e-9);
        }
    }
}

TEST(LimitShares, DaemonOutsideTheGroupHasAQuarterOfAShare)
{
    DOUBLES_EQUAL(30, countLimitShares(14, 78, true), 0);
    DOUBLES_EQUAL(120, countLimitShares(14, 78, false), 0);
}

TEST(LimitShares, DaemonThatKnowsNoOtherIsAlone)
{
    DOUBLES_EQUAL(1, countLimitShares(0, 0, false), 0);
}
