#include "Libraries/zinnialedge/limits/admission_queue.h"
#include "Tests/Support/leaf_simulation.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using limits::admission_queue;
using tests::leaf_simulation;
using verdict = admission_queue::verdict;

TEST_GROUP(AdmissionQueue)
{
    kernel::time_point now { 1h };
    admission_queue queue;

    /// Lets queries in until the limit is reached. Returns how many there are.
    std::uint64_t fill()
    {
        std::uint64_t count = 0;
        while (queue.inFlight() < queue.limit())
            CHECK(queue.arrive(++count, 1, now + 50ms, now) == verdict::enter);
        return count;
    }
};

TEST(AdmissionQueue, BeyondTheLimitTheMoreUrgentEntersFirst)
{
    fill();
    CHECK(queue.arrive(101, 2, now + 100ms, now) == verdict::wait);
    CHECK(queue.arrive(102, 1, now + 100ms, now) == verdict::wait);
    CHECK(!queue.next(now));
    queue.leave(20ms, false, now);
    queue.leave(20ms, false, now);
    CHECK(queue.next(now) == 102U);
    CHECK(queue.next(now) == 101U);
    CHECK(!queue.next(now));
}

TEST(AdmissionQueue, WhatCanNotStartInTimeIsRefusedAtOnce)
{
    fill();
    std::uint64_t waiting = 0;
    while (queue.arrive(200 + waiting, 1, now + 30ms, now) == verdict::wait)
        ++waiting;
    CHECK(waiting >= 1);
    CHECK(waiting < 100);
    CHECK(queue.arrive(900, 1, now + 10s, now) == verdict::wait);
}

TEST(AdmissionQueue, WhatHasWaitedTooLongIsTakenOut)
{
    fill();
    CHECK(queue.arrive(101, 1, now + 30ms, now) == verdict::wait);
    CHECK(!queue.takeExpired(now + 30ms));
    CHECK(queue.takeExpired(now + 31ms) == 101U);
    CHECK(!queue.isWaiting());
}

TEST(AdmissionQueue, CongestionLowersTheLimitOnceForWhatWasInFlightTogether)
{
    fill();
    auto const before = queue.limit();
    queue.leave(20ms, true, now);
    auto const after = queue.limit();
    CHECK(after < before);
    queue.leave(20ms, true, now + 1ms);
    LONGS_EQUAL(after, queue.limit());
}

TEST(AdmissionQueue, SuccessAtTheLimitRaisesIt)
{
    auto const before = queue.limit();
    for (int round = 0; round < 20; ++round) {
        for (auto count = fill(); count > 0; --count)
            queue.leave(20ms, false, now);
    }
    CHECK(queue.limit() > before);
}

// Pattern: order of return. Many are refused at the same moment.
TEST(AdmissionQueue, ThoseWhoAreRefusedReturnInTheirOrderAtTheRateAtWhichQueriesAreServed)
{
    fill();
    auto before = queue.retryAfter(now);
    for (int count = 0; count < 50; ++count) {
        auto const after = queue.retryAfter(now);
        CHECK(after > before);
        CHECK(after - before <= 20ms);
        before = after;
    }
    // Later the earlier ones are through.
    CHECK(queue.retryAfter(now + 10s) < before);
}

TEST(AdmissionQueue, AWaitingQueryWhoseCallerLeftDoesNotEnter)
{
    fill();
    CHECK(queue.arrive(101, 1, now + 100ms, now) == verdict::wait);
    queue.remove(101);
    queue.leave(20ms, false, now);
    CHECK(!queue.next(now));
}

// Pattern: congestion collapse. Many users come at once: twice as many requests as the leafs carry, of two priorities.
TEST_GROUP(Burst) {};

TEST(Burst, MostOfWhatTheLeafsCarryIsServedInTimeUnderTwiceTheLoad)
{
    leaf_simulation simulation { { .shards = 20, .leafs = 2, .slots = 2, .queue = 12, .work = 10ms } };
    auto const carried = 2.0 * 2 / 0.010 * 3;
    auto const outcome = simulation.run(800, 3s);
    CHECK(static_cast<double>(outcome.inTime) > 0.9 * carried);
    // Refused at once, truthfully, and with a time to come back.
    CHECK(outcome.refused > 0);
    LONGS_EQUAL(0, outcome.refusedAfterCalls);
    LONGS_EQUAL(0, outcome.refusedWithoutRetryAfter);
    CHECK(outcome.longestRefusal <= 50ms);
}

TEST(Burst, TheMoreUrgentKindIsServedAtLeastAsOften)
{
    leaf_simulation simulation { { .shards = 20, .leafs = 2, .slots = 2, .queue = 12, .work = 10ms } };
    auto const outcome = simulation.run(800, 3s);
    CHECK(outcome.urgentShare() >= outcome.otherShare());
}

TEST(Burst, NothingIsRefusedUnderHalfOfTheLoad)
{
    leaf_simulation simulation { { .shards = 20, .leafs = 2, .slots = 2, .queue = 12, .work = 10ms } };
    auto const outcome = simulation.run(200, 3s);
    LONGS_EQUAL(0, outcome.refused);
    CHECK(outcome.inTime * 100 > outcome.requests * 97);
}
