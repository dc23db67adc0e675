#include "Libraries/zinnialedge/limits/token_bucket.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge::limits;

TEST_GROUP(TokenBucket) {};

TEST(TokenBucket, NewRateDoesNotAddTokens)
{
    token_bucket bucket { 0.5, 2 };
    CHECK(bucket.tryConsume());
    CHECK(bucket.tryConsume());
    bucket.setRate(0.25, 4);
    CHECK(!bucket.tryConsume());
    bucket.earn(4);
    CHECK(bucket.tryConsume());
    CHECK(!bucket.tryConsume());
}
