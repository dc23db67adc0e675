#include "Libraries/zinnialedge/fleet/store_budget.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;

TEST_GROUP(StoreBudget)
{
    kernel::time_point now { 1h };

    /// Reads that one of `daemons` makes in a span when it asks all the time, after its burst is spent.
    std::size_t countReads(std::size_t daemons, std::chrono::seconds span)
    {
        fleet::store_budget budget { { 2000, 400 } };
        budget.setDaemonCount(daemons, now);
        while (budget.reads().take(now)) { }
        std::size_t count = 0;
        for (auto at = now; at <= now + span; at += 1ms)
            count += budget.reads().take(at) ? 1 : 0;
        return count;
    }
};

TEST(StoreBudget, AllDaemonsTogetherStayBelowTheStoresRate)
{
    CHECK(countReads(5, 10s) * 5 <= 20'000);
    CHECK(countReads(300, 60s) * 300 <= 120'000);
}

TEST(StoreBudget, ADaemonThatStartsListsAllAtOnce)
{
    fleet::store_budget budget { { 2000, 400 } };
    budget.setDaemonCount(4300, now);
    std::size_t count = 0;
    while (budget.reads().take(now))
        ++count;
    CHECK(count >= 30);
    CHECK(budget.reads().nextAt(now) > now);
}

TEST(StoreBudget, FewerDaemonsGetMoreEach)
{
    CHECK(countReads(5, 10s) > 10 * countReads(100, 10s));
}
