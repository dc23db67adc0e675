#include "Tests/Differential/query_simulation.h"
#include <CppUTest/TestHarness.h>
#include <csignal>
#include <cstdlib>
#include <unistd.h>

using namespace zinnialedge::tests;

// Environment variables: ZINNIALEDGE_SEED=N runs only the schedule of seed N; ZINNIALEDGE_SCHEDULES=N runs the schedules of seeds 1 to N.

static constexpr std::uint64_t defaultScheduleCount = 5000;
static std::string crashMessage;

static void reportSeedAndRaise(int signalNumber)
{
    // A signal handler may call only async-signal-safe functions.
    auto const written = write(STDERR_FILENO, crashMessage.data(), crashMessage.size());
    static_cast<void>(written);
    std::signal(signalNumber, SIG_DFL);
    std::raise(signalNumber);
}

static std::string runSeed(std::uint64_t seed)
{
    crashMessage = "crashed with seed " + std::to_string(seed) + "\n";
    auto const violation = query_simulation { seed }.run();
    return violation ? "seed " + std::to_string(seed) + ": " + *violation : std::string {};
}

TEST_GROUP(QueryEngine) {
    void setup() override {
        std::signal(SIGABRT, reportSeedAndRaise);
std::signal(SIGSEGV, reportSeedAndRaise);
}

void teardown() override
{
    std::signal(SIGABRT, SIG_DFL);
    std::signal(SIGSEGV, SIG_DFL);
}
}
;

TEST(QueryEngine, SatisfiesAllInvariantsOnEverySchedule)
{
    if (auto const* seed = std::getenv("ZINNIALEDGE_SEED")) {
        STRCMP_EQUAL("", runSeed(std::strtoull(seed, nullptr, 10)).c_str());
        return;
    }
    auto const* scheduleCountText = std::getenv("ZINNIALEDGE_SCHEDULES");
    auto const count = scheduleCountText ? std::strtoull(scheduleCountText, nullptr, 10) : defaultScheduleCount;
    for (std::uint64_t seed = 1; seed <= count; ++seed)
        STRCMP_EQUAL("", runSeed(seed).c_str());
}
