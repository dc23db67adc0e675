// Load patterns: more queries than the leafs can serve, from tenants and of kinds that send very differently.

#include "Libraries/zinnialedge/limits/admission_queue.h"
#include "Libraries/zinnialedge/limits/early_returns.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using limits::admission_queue;
using verdict = admission_queue::verdict;

/// Queries of one tenant and priority that arrive at random.
struct query_stream {
    limits::slot_claim claim;
    std::uint32_t priority { 0 };
    double queriesPerSecond { 0 };
    int arrived { 0 };
    int admitted { 0 };

    double servedFraction() const { return static_cast<double>(admitted) / arrived; }
};

/// Leafs with eight slots of 40 ms (200 queries per second) behind one queue. Time passes in steps of 1 ms.
TEST_GROUP(FairAdmission)
{
    static constexpr std::uint32_t slots = 8;
    kernel::time_point now { 1h };
    kernel::random_hook random = kernel::makeSeededRandom(17);
    admission_queue queue;
    std::vector<query_stream> streams;
    std::vector<std::pair<std::uint64_t, std::size_t>> waiting;
    std::deque<std::pair<kernel::time_point, std::string>> running;
    std::uint64_t lastQuery { 0 };

    void start(std::size_t stream)
    {
        ++streams[stream].admitted;
        running.emplace_back(now + 40ms, streams[stream].claim.holder);
    }

    void step()
    {
        while (!running.empty() && running.front().first <= now) {
            auto const holder = running.front().second;
            running.pop_front();
            queue.release(40ms, running.size() >= slots, now, holder);
        }
        while (auto const expired = queue.removeExpired(now))
            std::erase_if(waiting, [&](auto const& each) { return each.first == *expired; });
        while (auto const next = queue.admitNext(now)) {
            auto const found = std::find_if(waiting.begin(), waiting.end(), [&](auto const& each) { return each.first == *next; });
            start(found->second);
            waiting.erase(found);
        }
        for (std::size_t index = 0; index < streams.size(); ++index) {
            auto& stream = streams[index];
            if (static_cast<double>(random() % 1'000'000) >= stream.queriesPerSecond * 1000)
                continue;
            ++stream.arrived;
            auto const outcome = queue.arrive(++lastQuery, stream.priority, now + 60ms, now, stream.claim);
            if (outcome == verdict::admit)
                start(index);
            else if (outcome == verdict::enqueue)
                waiting.emplace_back(lastQuery, index);
        }
        now += 1ms;
    }

    void run(std::chrono::milliseconds duration)
    {
        for (auto const end = now + duration; now < end;)
            step();
    }

    void fill()
    {
        while (queue.inFlight() < queue.limit())
            CHECK(queue.arrive(++lastQuery, 0, now + 50ms, now, { "hot" }) == verdict::admit);
    }
};

// Guards against: a tenant that sends many times its usual load takes the slots of all others.
// Load: a tenant at nine times its usual 40 queries per second, 73 others at 1 each, leafs for 200.
TEST(FairAdmission, TenantAtNineTimesItsRateBearsTheCost)
{
    streams.push_back({ { "hot" }, 1, 360 });
    for (int index = 0; index < 73; ++index)
        streams.push_back({ { "tenant" + std::to_string(index) }, 1, 1 });
    run(20s);
    query_stream others;
    for (std::size_t index = 1; index < streams.size(); ++index) {
        others.arrived += streams[index].arrived;
        others.admitted += streams[index].admitted;
    }
    CHECK_TEXT(others.servedFraction() > 0.97, std::to_string(others.servedFraction()).c_str());
    // The shares that the others leave are lent.
    CHECK_TEXT(others.admitted + streams[0].admitted > 0.9 * 200 * 20, std::to_string(others.admitted + streams[0].admitted).c_str());
}

// Guards against: many less urgent queries push out the urgent ones.
// Load: an urgent kind at a third of the capacity, a less urgent one at twice the capacity, of one tenant and of two.
TEST(FairAdmission, FloodOfALessUrgentKindLeavesTheUrgentOneAlone)
{
    for (auto const* const otherTenant : { "a", "b" }) {
        waiting.clear();
        while (auto const expired = queue.removeExpired(now + 1h))
            queue.remove(*expired, now);
        streams = { { { "a" }, 1, 66 }, { { otherTenant }, 2, 400 } };
        run(20s);
        CHECK_TEXT(streams[0].servedFraction() > 0.95, std::to_string(streams[0].servedFraction()).c_str());
        CHECK(streams[1].admitted > 0);
    }
}

// Guards against: one of several equal tenants is served worse than the others.
// Load: ten equal tenants that together send twice the capacity.
TEST(FairAdmission, EqualTenantsAreServedEqually)
{
    for (int index = 0; index < 10; ++index)
        streams.push_back({ { "tenant" + std::to_string(index) }, 1, 40 });
    run(20s);
    for (auto const& each : streams)
        CHECK_TEXT(each.servedFraction() > 0.42 && each.servedFraction() < 0.58, std::to_string(each.servedFraction()).c_str());
}

// Guards against: queries of one priority start in the order of arrival, so that those with little time left start too late.
TEST(FairAdmission, LessTimeLeftStartsFirstWithinAPriority)
{
    fill();
    CHECK(queue.arrive(101, 1, now + 300ms, now) == verdict::enqueue);
    CHECK(queue.arrive(102, 1, now + 100ms, now) == verdict::enqueue);
    CHECK(queue.arrive(103, 0, now + 400ms, now) == verdict::enqueue);
    for (int count = 0; count < 3; ++count)
        queue.release(20ms, false, now, "hot");
    CHECK(queue.admitNext(now) == 103U);
    CHECK(queue.admitNext(now) == 102U);
    CHECK(queue.admitNext(now) == 101U);
}

// Guards against: callers that retry at once overtake those that wait as they were told, although their tenant is below its share.
TEST(FairAdmission, EarlyReturnsComeAfterOthersOfTheirPriority)
{
    fill();
    CHECK(queue.arrive(101, 1, now + 100ms, now, { "a", 1, true }) == verdict::enqueue);
    CHECK(queue.arrive(102, 1, now + 200ms, now, { "hot" }) == verdict::enqueue);
    CHECK(queue.arrive(103, 2, now + 200ms, now, { "hot" }) == verdict::enqueue);
    for (int count = 0; count < 3; ++count)
        queue.release(20ms, false, now, "hot");
    CHECK(queue.admitNext(now) == 102U);
    CHECK(queue.admitNext(now) == 101U);
    CHECK(queue.admitNext(now) == 103U);
}

// Guards against: less urgent queries are told to return before urgent ones, or never get an earlier time than the most distant one.
TEST(FairAdmission, UrgentClassesReturnEarlier)
{
    fill();
    auto const firstOfOthers = queue.nextRetryAfter(now, 2);
    kernel::duration urgent {};
    kernel::duration other {};
    for (int count = 0; count < 2000; ++count) {
        other = queue.nextRetryAfter(now, 2);
        urgent = queue.nextRetryAfter(now, 1);
        CHECK(urgent < queue.nextRetryAfter(now, 2));
    }
    CHECK(firstOfOthers <= 40ms);
    CHECK(urgent <= 1000ms);
    CHECK(other <= 2000ms);
    CHECK(queue.nextRetryAfter(now + 3s, 2) <= 40ms);
}

TEST_GROUP(EarlyReturns)
{
    kernel::time_point now { 1h };
    limits::early_returns returns;
};

// Guards against: a caller that keeps to its time, or another request, counts as one that returns early.
TEST(EarlyReturns, EachRejectionAllowsOneReturnFromItsTimeOn)
{
    auto const query = returns.fingerprint({ "tenant", "/a", "body" });
    CHECK(query != returns.fingerprint({ "tenant", "/b", "body" }));
    CHECK_FALSE(returns.takeReturn(query, now));
    returns.recordRejection(query, now + 100ms, now);
    returns.recordRejection(query, now + 200ms, now);
    CHECK_FALSE(returns.takeReturn(returns.fingerprint({ "tenant", "/b", "body" }), now));
    CHECK_FALSE(returns.takeReturn(query, now + 100ms));
    CHECK(returns.takeReturn(query, now + 110ms));
    CHECK_FALSE(returns.takeReturn(query, now + 111ms));
    CHECK(returns.empty());
}

// Guards against: memory grows with the number of rejections, or old rejections count for ever.
TEST(EarlyReturns, OldRejectionsAreForgotten)
{
    for (std::uint64_t query = 0; query < 10'000; ++query)
        returns.recordRejection(query, now + 2s, now);
    LONGS_EQUAL(4096, returns.size());
    CHECK_FALSE(returns.takeReturn(0, now));
    CHECK(returns.takeReturn(9'999, now));
    CHECK_FALSE(returns.takeReturn(9'998, now + 5s));
    CHECK(returns.empty());
}
