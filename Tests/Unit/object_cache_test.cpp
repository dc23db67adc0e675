#include "Libraries/zinnialedge/configuration/object_cache.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge::configuration;

TEST_GROUP(ObjectCache) {};

TEST(ObjectCache, OlderOrEqualVersionIsRejected)
{
    object_cache objects;
    CHECK(objects.offer({ "services/a", 5, "new" }));
    CHECK(!objects.offer({ "services/a", 4, "old" }));
    CHECK(!objects.offer({ "services/a", 5, "other" }));
    CHECK(!objects.offer({ "services/a", 3, std::nullopt }));
    STRCMP_EQUAL("new", objects.find("services/a")->body->c_str());
    LONGS_EQUAL(5, objects.find("services/a")->version);
}

TEST(ObjectCache, OlderVersionDoesNotUndoRemoval)
{
    object_cache objects;
    CHECK(objects.offer({ "services/a", 5, "new" }));
    CHECK(objects.offer({ "services/a", 6, std::nullopt }));
    CHECK(!objects.offer({ "services/a", 5, "new" }));
    CHECK(!objects.find("services/a")->body.has_value());
}
