#include "Libraries/zinnialedge/forwarding/extra_call_budget.h"
#include <CppUTest/TestHarness.h>
#include <deque>

using namespace zinnialedge;
using namespace std::chrono_literals;
using forwarding::extra_call_budget;

TEST_GROUP(ExtraCallBudget) {};

TEST(ExtraCallBudget, ExtraCallsStayWithinTheBoundInEveryWindow)
{
    // Alternates bursts of requests with calm periods, and attempts an extra call in every step of 5 ms.
    kernel::time_point const start { 1h };
    extra_call_budget budget { { 0.2, 10s, 50 }, start };
    auto const random = kernel::makeSeededRandom(11);
    std::deque<kernel::time_point> requests;
    std::deque<kernel::time_point> extraCalls;
    auto const end = start + 120s;
    for (auto now = start; now < end; now += 5ms) {
        bool const isBurst = ((now - start) / 7s) % 2 == 0;
        if (random() % (isBurst ? 2 : 20) == 0) {
            budget.recordRequest(now);
            requests.push_back(now);
        }
        if (budget.tryConsume(now, 1))
            extraCalls.push_back(now);
        while (!extraCalls.empty() && now - extraCalls.front() > 10s)
            extraCalls.pop_front();
        // The platform also accepts the request count of the window that is half a window earlier, and uses the larger count.
        while (!requests.empty() && now - requests.front() > 15s)
            requests.pop_front();
        CHECK(static_cast<double>(extraCalls.size()) <= 0.2 * static_cast<double>(requests.size()) + 50);
    }
}

TEST(ExtraCallBudget, DaemonWithoutTrafficHasNoSlack)
{
    kernel::time_point const start { 1h };
    extra_call_budget budget { { 0.2, 10s, 50 }, start };
    CHECK(!budget.tryConsume(start + 20s, 0));
    CHECK(budget.tryConsume(start + 20s, 2));
}

TEST(ExtraCallBudget, NewProcessStartsWithoutSlack)
{
    kernel::time_point const start { 1h };
    extra_call_budget budget { { 0.2, 10s, 50 }, start };
    CHECK(!budget.tryConsume(start + 100ms, 1));
    CHECK(budget.tryConsume(start + 5s, 1));
}

TEST(ExtraCallBudget, NewLimitsKeepTheCountOfConsumedExtraCalls)
{
    kernel::time_point const start { 1h };
    auto const now = start + 60s;
    extra_call_budget budget { { 0, 10s, 10 }, start };
    std::size_t consumedCount = 0;
    while (budget.tryConsume(now, 1))
        ++consumedCount;
    LONGS_EQUAL(8, consumedCount);
    budget.setLimits({ 0, 20s, 10 }, now);
    CHECK(!budget.tryConsume(now + 15s, 1));
    CHECK(budget.tryConsume(now + 25s, 1));
    budget.setLimits({ 0, 20s, 0 }, now + 25s);
    CHECK(!budget.tryConsume(now + 60s, 1));
}
