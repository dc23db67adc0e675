#include "Libraries/zinnialedge/limits/concurrency_limit.h"
#include "Libraries/zinnialedge/limits/token_bucket.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge::limits;

TEST_GROUP(Limits) {};

TEST(Limits, SheddingDecreasesTheLimitAtOnceAndSuccessIncreasesItSlowly)
{
    concurrency_limit limit { 10, 20 };
    limit.recordShed();
    LONGS_EQUAL(7, limit.value());
    for (int index = 0; index < 7; ++index)
        limit.recordSuccess(true);
    LONGS_EQUAL(7, limit.value());
    limit.recordSuccess(true);
    LONGS_EQUAL(8, limit.value());
    limit.recordSuccess(false);
    LONGS_EQUAL(8, limit.value());
}

TEST(Limits, LimitStaysBetweenOneAndTheMaximum)
{
    concurrency_limit limit { 2, 3 };
    for (int index = 0; index < 20; ++index)
        limit.recordSuccess(true);
    LONGS_EQUAL(3, limit.value());
    for (int index = 0; index < 20; ++index)
        limit.recordShed();
    LONGS_EQUAL(1, limit.value());
}

TEST(Limits, TakeWithReserveLeavesTheReservedTokens)
{
    token_bucket bucket { 0.05, 6 };
    CHECK(bucket.tryConsume(5));
    CHECK(!bucket.tryConsume(5));
    CHECK(bucket.tryConsume());
    bucket.refund();
    bucket.earn(20);
    CHECK(bucket.tryConsume(5));
}
