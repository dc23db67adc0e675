#include "Libraries/zinnialedge/fleet/store_budget.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;

TEST_GROUP(StoreBudget)
{
    kernel::time_point now { 1h };

    /// Returns the number of reads that one of `daemonCount` daemons makes within `duration` when the daemon reads as often as its
    /// budget permits, after the burst is consumed.
    std::size_t countReads(std::size_t daemonCount, std::chrono::seconds duration)
    {
        fleet::store_budget budget { { 2000, 400 } };
        budget.setDaemonCount(daemonCount, now);
        while (budget.reads().take(now)) { }
        std::size_t count = 0;
        for (auto at = now; at <= now + duration; at += 1ms)
            count += budget.reads().take(at) ? 1 : 0;
        return count;
    }
};

TEST(StoreBudget, ReadsOfAllDaemonsStayWithinStoreRate)
{
    CHECK(countReads(5, 10s) * 5 <= 20'000);
    CHECK(countReads(300, 60s) * 300 <= 120'000);
}

TEST(StoreBudget, BurstCoversInitialListing)
{
    fleet::store_budget budget { { 2000, 400 } };
    budget.setDaemonCount(4300, now);
    std::size_t count = 0;
    while (budget.reads().take(now))
        ++count;
    CHECK(count >= 30);
    CHECK(budget.reads().nextAvailableAt(now) > now);
}

TEST(StoreBudget, RatePerDaemonIncreasesWithFewerDaemons)
{
    CHECK(countReads(5, 10s) > 10 * countReads(100, 10s));
}
