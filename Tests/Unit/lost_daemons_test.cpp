#include "Libraries/zinnialedge/fleet/lost_daemons.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using fleet::registered_daemon;

TEST_GROUP(LostDaemons)
{
    kernel::time_point now { 1h };
    fleet::lost_daemons lost;
};

TEST(LostDaemons, ARegistrationWithoutALivingDaemonIsRemovedAfterAMinute)
{
    std::vector<registered_daemon> const registered { { "a", 5, true }, { "b", 7, false } };
    CHECK(!lost.update(registered, now));
    CHECK(!lost.update(registered, now + 59s));
    auto const found = lost.update(registered, now + 60s);
    CHECK(found == registered[1]);
}

TEST(LostDaemons, ADaemonThatCameBackOrRegisteredAnewStartsAnew)
{
    CHECK(!lost.update({ { "a", 5, false }, { "b", 7, false } }, now));
    CHECK(!lost.update({ { "a", 5, true }, { "b", 9, false } }, now + 30s));
    CHECK(!lost.update({ { "a", 5, false }, { "b", 9, false } }, now + 61s));
}

TEST(LostDaemons, OneIsRemovedAtATimeTheLongestLostFirst)
{
    CHECK(!lost.update({ { "b", 7, false } }, now));
    CHECK(!lost.update({ { "a", 5, false }, { "b", 7, false } }, now + 1s));
    auto const found = lost.update({ { "a", 5, false }, { "b", 7, false } }, now + 90s);
    CHECK(found.has_value());
    STRCMP_EQUAL("b", found->name.c_str());
}
