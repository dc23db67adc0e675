// Load pattern: a tenant that sends eight times its usual rate while its callers move to daemons outside the serving group.

#include "Tests/Support/quota_fleet.h"
#include <CppUTest/TestHarness.h>

namespace zinnialedge::tests {

using namespace std::chrono_literals;

TEST_GROUP(MovingBurst) {};

// Guards against daemons outside the group that each accept requests of which the others do not know yet, on top of what the group accepts.
TEST(MovingBurst, StaysWithinTheBoundWhenDaemonsAreCutOff)
{
    static constexpr std::size_t daemonCount = 26;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        quota_fleet fleet { daemonCount };
        for (std::uint64_t count = 0; count < seed * 7; ++count)
            fleet.random();
        fleet.run(8s);
        fleet.loadFactor = [](std::size_t tenant) { return tenant == hotTenant ? 8.0 : 1.0; };
        fleet.run(2s);
        auto const firstCut = seed % 5;
        auto const isCutOff = [firstCut](std::size_t daemon) { return daemon == firstCut || daemon == firstCut + 1; };
        fleet.isCut = [&](std::size_t from, std::size_t to) { return isCutOff(from) || isCutOff(to); };
        // Callers that lose a daemon of their list try any other one.
        fleet.chooseDaemon = [&](std::size_t) { return static_cast<std::size_t>(fleet.random() % daemonCount); };
        fleet.run(6s);
        fleet.isCut = [](std::size_t, std::size_t) { return false; };
        fleet.run(4s);
        CHECK_TEXT(fleet.greatestShareOfBound <= 1, StringFromFormat("seed %d: %.3f of the bound", static_cast<int>(seed), fleet.greatestShareOfBound).asCharString());
    }
}

}
