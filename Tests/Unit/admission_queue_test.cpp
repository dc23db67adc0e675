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

    /// Admits queries until the limit is reached. Returns the number of admitted queries.
    std::uint64_t fill()
    {
        std::uint64_t count = 0;
        while (queue.inFlight() < queue.limit())
            CHECK(queue.arrive(++count, 1, now + 50ms, now) == verdict::admit);
        return count;
    }
};

TEST(AdmissionQueue, QueuedQueriesAreAdmittedByPriority)
{
    fill();
    CHECK(queue.arrive(101, 2, now + 100ms, now) == verdict::enqueue);
    CHECK(queue.arrive(102, 1, now + 100ms, now) == verdict::enqueue);
    CHECK(!queue.admitNext(now));
    queue.release(20ms, false, now);
    queue.release(20ms, false, now);
    CHECK(queue.admitNext(now) == 102U);
    CHECK(queue.admitNext(now) == 101U);
    CHECK(!queue.admitNext(now));
}

TEST(AdmissionQueue, QueryThatCannotStartInTimeIsRejectedAtOnce)
{
    fill();
    std::uint64_t queuedCount = 0;
    while (queue.arrive(200 + queuedCount, 1, now + 30ms, now) == verdict::enqueue)
        ++queuedCount;
    CHECK(queuedCount >= 1);
    CHECK(queuedCount < 100);
    CHECK(queue.arrive(900, 1, now + 10s, now) == verdict::enqueue);
}

TEST(AdmissionQueue, ExpiredQueryIsRemovedFromTheQueue)
{
    fill();
    CHECK(queue.arrive(101, 1, now + 30ms, now) == verdict::enqueue);
    CHECK(!queue.removeExpired(now + 30ms));
    CHECK(queue.removeExpired(now + 31ms) == 101U);
    CHECK(!queue.hasQueuedQueries());
}

TEST(AdmissionQueue, CongestionDecreasesTheLimitOnceForQueriesInFlightTogether)
{
    fill();
    auto const initialLimit = queue.limit();
    queue.release(20ms, true, now);
    auto const decreasedLimit = queue.limit();
    CHECK(decreasedLimit < initialLimit);
    queue.release(20ms, true, now + 1ms);
    LONGS_EQUAL(decreasedLimit, queue.limit());
}

TEST(AdmissionQueue, SuccessAtTheLimitIncreasesTheLimit)
{
    auto const initialLimit = queue.limit();
    for (int round = 0; round < 20; ++round) {
        for (auto count = fill(); count > 0; --count)
            queue.release(20ms, false, now);
    }
    CHECK(queue.limit() > initialLimit);
}

// Failure pattern: retry storm. Many queries are rejected at once and would all retry at once.
TEST(AdmissionQueue, ConsecutiveRejectionsGetIncreasingRetryAfterAtTheServiceRate)
{
    fill();
    auto previous = queue.nextRetryAfter(now);
    for (int count = 0; count < 50; ++count) {
        auto const retryAfter = queue.nextRetryAfter(now);
        CHECK(retryAfter > previous);
        CHECK(retryAfter - previous <= 20ms);
        previous = retryAfter;
    }
    // The retry-after decreases again once the earlier queries have been served.
    CHECK(queue.nextRetryAfter(now + 10s) < previous);
}

TEST(AdmissionQueue, QueuedQueryOfDisconnectedCallerIsNotAdmitted)
{
    fill();
    CHECK(queue.arrive(101, 1, now + 100ms, now) == verdict::enqueue);
    queue.remove(101, now);
    queue.release(20ms, false, now);
    CHECK(!queue.admitNext(now));
}

// Failure pattern: congestion collapse. Many users arrive at once with twice the requests that the leafs can serve, in two
// priorities.
TEST_GROUP(Burst) {};

TEST(Burst, LeafCapacityIsUsedForTimelyAnswersUnderDoubleLoad)
{
    leaf_simulation simulation { { .shards = 20, .leafs = 2, .slots = 2, .queue = 12, .work = 10ms } };
    auto const servableRequests = 2.0 * 2 / 0.010 * 3;
    auto const outcome = simulation.run(800, 3s);
    CHECK(static_cast<double>(outcome.withinObjectiveCount) > 0.9 * servableRequests);
    // Rejections are sent at once, before any leaf call, and with a retry-after.
    CHECK(outcome.refused > 0);
    LONGS_EQUAL(0, outcome.rejectedAfterCallsCount);
    LONGS_EQUAL(0, outcome.rejectedWithoutRetryAfterCount);
    CHECK(outcome.longestRejectionTime <= 50ms);
}

TEST(Burst, UrgentRequestsAreServedAtLeastAsOften)
{
    leaf_simulation simulation { { .shards = 20, .leafs = 2, .slots = 2, .queue = 12, .work = 10ms } };
    auto const outcome = simulation.run(800, 3s);
    CHECK(outcome.urgentWithinObjectiveFraction() >= outcome.otherWithinObjectiveFraction());
}

TEST(Burst, NoRequestIsRejectedUnderHalfLoad)
{
    leaf_simulation simulation { { .shards = 20, .leafs = 2, .slots = 2, .queue = 12, .work = 10ms } };
    auto const outcome = simulation.run(200, 3s);
    LONGS_EQUAL(0, outcome.refused);
    CHECK(outcome.withinObjectiveCount * 100 > outcome.requests * 97);
}

TEST(AdmissionQueue, AbandonedQueryFreesItsSlotAndTeachesNothing)
{
    auto const limit = fill();
    CHECK(queue.arrive(101, 1, now + 100ms, now) == verdict::enqueue);
    queue.releaseAbandoned(now);
    CHECK(queue.admitNext(now) == 101U);
    LONGS_EQUAL(limit, queue.limit());
}
