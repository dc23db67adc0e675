#include "Libraries/zinnialedge/forwarding/extra_call_budget.h"
#include <CppUTest/TestHarness.h>
#include <deque>

using namespace zinnialedge;
using namespace std::chrono_literals;
using forwarding::extra_call_budget;

TEST_GROUP(ExtraCallBudget) {};

TEST(ExtraCallBudget, NoWindowOfTheStatedLengthHoldsMoreThanTheBound)
{
    // Bursts of requests, each of which wants an extra call, and calm spans between them.
    kernel::time_point const start { 1h };
    extra_call_budget budget { { 0.2, 10s, 50 }, start };
    auto const random = kernel::makeSeededRandom(11);
    std::deque<kernel::time_point> requests;
    std::deque<kernel::time_point> extra;
    auto const end = start + 120s;
    for (auto now = start; now < end; now += 5ms) {
        bool const isBurst = ((now - start) / 7s) % 2 == 0;
        if (random() % (isBurst ? 2 : 20) == 0) {
            budget.noteRequest(now);
            requests.push_back(now);
        }
        if (budget.take(now, 1))
            extra.push_back(now);
        while (!extra.empty() && now - extra.front() > 10s)
            extra.pop_front();
        // The platform counts the requests of the window half a window earlier as well, whichever has most.
        while (!requests.empty() && now - requests.front() > 15s)
            requests.pop_front();
        CHECK(static_cast<double>(extra.size()) <= 0.2 * static_cast<double>(requests.size()) + 50);
    }
}

TEST(ExtraCallBudget, ADaemonThatCarriesNoTrafficHasNoSlack)
{
    kernel::time_point const start { 1h };
    extra_call_budget budget { { 0.2, 10s, 50 }, start };
    CHECK(!budget.take(start + 20s, 0));
    CHECK(budget.take(start + 20s, 2));
}

TEST(ExtraCallBudget, ANewProcessBeginsWithoutSlack)
{
    kernel::time_point const start { 1h };
    extra_call_budget budget { { 0.2, 10s, 50 }, start };
    CHECK(!budget.take(start + 100ms, 1));
    CHECK(budget.take(start + 5s, 1));
}

TEST(ExtraCallBudget, NewLimitsDoNotForgetWhatWasSpent)
{
    kernel::time_point const start { 1h };
    auto const now = start + 60s;
    extra_call_budget budget { { 0, 10s, 10 }, start };
    std::size_t spent = 0;
    while (budget.take(now, 1))
        ++spent;
    LONGS_EQUAL(8, spent);
    budget.setLimits({ 0, 20s, 10 }, now);
    CHECK(!budget.take(now + 15s, 1));
    CHECK(budget.take(now + 25s, 1));
    budget.setLimits({ 0, 20s, 0 }, now + 25s);
    CHECK(!budget.take(now + 60s, 1));
}
