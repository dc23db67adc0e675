#include "Libraries/zinnialedge/quarantine/trial_choice.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge::quarantine;

TEST_GROUP(TrialChoice) {};

// Guards against: two daemons, or none, try a quarantined request, and one daemon tries all of them.
TEST(TrialChoice, ExactlyOneDaemonOfTheGroupTriesARequest)
{
    std::vector<std::string> const group { "one", "two", "three", "four" };
    std::vector<std::size_t> turns(group.size());
    for (std::size_t number = 0; number < 400; ++number) {
        auto const request = computeDigest({ std::to_string(number) });
        std::size_t triers = 0;
        for (std::size_t index = 0; index < group.size(); ++index) {
            auto others = group;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
            bool const isOwn = !chooseTrialDaemon(request, group[index], others);
            triers += isOwn ? 1 : 0;
            turns[index] += isOwn ? 1 : 0;
        }
        LONGS_EQUAL(1, triers);
    }
    for (auto const count : turns)
        CHECK(count > 60);
    CHECK_FALSE(chooseTrialDaemon(computeDigest({ "a" }), "one", {}).has_value());
    CHECK(chooseTrialDaemon(computeDigest({ "a" }), std::nullopt, { "two" }) == 0);
}
