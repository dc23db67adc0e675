#include "platform/store_codec.h"
#include <boost/algorithm/string/replace.hpp>
#include <boost/json.hpp>

// CppUTest redefines `new`, so its header comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;

namespace {

std::string nest(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Contents that another writer may have written in place of a leaf's registration.
std::vector<std::string> const oddContents {
    nest(17),
    nest(40),
    nest(200'000),
    "1e999",
    "-1e999",
    "123456789012345678901234567890",
    R"({"address":"\udcff\udcfe"})",
    "{\"address\":\"\xff\xfe\"}",
    R"({"service":"desk","service":})",
    R"("\u0000")",
    "nul",
};

std::string registration(std::string const& field, std::string const& value)
{
    std::map<std::string, std::string> fields { { "service", R"("desk")" }, { "address", R"("10.0.0.1:80")" }, { "zone", R"("here")" }, { "version", R"("v1")" }, { "max_concurrency", "2" }, { "state", R"("ready")" }, { "warmup_left_ms", "0" }, { "sequence", "1" }, { "born", "1700000000000" } };
    fields[field] = value;
    std::string text;
    for (auto const& [name, content] : fields)
        text += (text.empty() ? "{\"" : ",\"") + name + "\":" + content;
    return text + "}";
}

std::string entry(std::string const& name, std::string const& content)
{
    return R"({"meta":{"name":")" + name + R"(","revision":7,"create_revision":1,"finalizers":[],"deleting":false},"spec":)" + content + R"(,"status":null})";
}

}

TEST_GROUP(StoreEntries)
{
    fleet::store_protocol protocol = platform::makeStoreProtocol();
};

// Guards against one unreadable entry that takes all others of the listing or of the watch with it.
TEST(StoreEntries, UnreadableContentDoesNotAffectOtherEntries)
{
    auto const sound = registration("sequence", "1");
    for (auto const& odd : oddContents) {
        auto const page = protocol.parsePage(R"({"items":[)" + entry("a", sound) + "," + entry("odd", odd) + "," + entry("z", sound) + R"(],"more":true,"as_of":9})");
        CHECK(page.has_value());
        LONGS_EQUAL(3, page->objects.size());
        CHECK(page->hasMore);
        LONGS_EQUAL(9, page->asOf);
        CHECK(protocol.parseLeaf(page->objects[0]).has_value());
        CHECK_FALSE(protocol.parseLeaf(page->objects[1]).has_value());
        CHECK(protocol.parseLeaf(page->objects[2]).has_value());
        auto const changes = protocol.parseChanges(R"({"events":[{"object":)" + entry("odd", odd) + R"(,"deleted":false},{"object":)" + entry("z", sound) + R"(,"deleted":true}],"as_of":9})");
        CHECK(changes.has_value());
        LONGS_EQUAL(2, changes->changes.size());
        STRCMP_EQUAL("odd", changes->changes[0].object.name.c_str());
        CHECK_FALSE(protocol.parseLeaf(changes->changes[0].object).has_value());
        CHECK(changes->changes[1].isRemoved);
    }
}

TEST(StoreEntries, EntriesThatCantBeIdentifiedAreLeftOut)
{
    auto const sound = entry("a", registration("sequence", "1"));
    for (auto const* const odd : { R"({"spec":{}})", R"({"meta":{"name":7,"revision":7}})", R"({"meta":{"name":"\udcff","revision":7}})", R"({"meta":{"name":"b","revision":1e999}})", "7" }) {
        auto const page = protocol.parsePage(std::string { R"({"items":[)" } + odd + "," + sound + R"(],"more":false,"as_of":9})");
        CHECK(page.has_value());
        LONGS_EQUAL(1, page->objects.size());
        LONGS_EQUAL(1, page->unreadableCount);
        // Without a name the listing can't go on, and must not count as complete.
        CHECK_FALSE(protocol.parsePage(std::string { R"({"items":[)" } + odd + R"(],"more":true,"as_of":9})").has_value());
    }
}

// Guards against a reply that was cut, or is none, and is taken for one without entries.
TEST(StoreEntries, OtherRepliesAreMalformed)
{
    auto const whole = R"({"items":[)" + entry("a", registration("sequence", "1")) + R"(],"more":false,"as_of":9})";
    CHECK(protocol.parsePage(whole).has_value());
    for (std::size_t length = 0; length < whole.size(); ++length)
        CHECK_FALSE(protocol.parsePage(whole.substr(0, length)).has_value());
    for (auto const* const text : { "{}", R"({"items":{},"more":false,"as_of":9})", R"({"items":[],"as_of":9})", R"({"items":[],"more":false})", R"({"items":[],"more":false,"as_of":-1})" })
        CHECK_FALSE(protocol.parsePage(text).has_value());
}

// Guards against values that are accepted and overflow later.
TEST(StoreEntries, ValuesOutOfRangeNameNoLeaf)
{
    std::vector<std::pair<std::string, std::vector<std::string>>> const odd {
        { "address", { R"("10.0.0.1:65536")", R"("10.0.0.1:-1")", R"("10.0.0.1:0")", R"("10.0.0.1:99999999999999999999")", R"("10.0.0.1")", R"(":80")", "80" } },
        { "max_concurrency", { "0", "-1", "4294967296", "9223372036854775807", "18446744073709551615", "1e300", "2.5" } },
        { "warmup_left_ms", { "1e300", "-1e300", "9223372036854775807", R"("soon")" } },
        { "sequence", { "18446744073709551615", "1e300" } },
        { "born", { "18446744073709551615", "1e300", "1.5" } },
    };
    for (auto const& [field, values] : odd) {
        for (auto const& value : values) {
            auto const page = protocol.parsePage(R"({"items":[)" + entry("odd", registration(field, value)) + R"(],"more":false,"as_of":9})");
            LONGS_EQUAL(1, page->objects.size());
            CHECK_FALSE_TEXT(protocol.parseLeaf(page->objects.front()).has_value(), (field + " " + value).c_str());
        }
    }
}

// Guards against a listing that can't be continued after a name that another writer chose.
TEST(StoreEntries, NamesAreEscapedInRequests)
{
    auto const request = protocol.list(fleet::object_kind::leafs, "a b&c=d/\xc3\xa4", false);
    STRCMP_EQUAL("/zinnialedge/objects/servers?after=a%20b%26c%3Dd%2F%C3%A4", request.target.c_str());
}

// Guards against: an empty page is taken for the end of a listing although there is more, so that all other entries seem to be removed.
TEST(StoreEntries, AnEmptyPageThatHasMoreIsNoEndOfTheListing)
{
    CHECK_FALSE(protocol.parsePage(R"({"items":[],"more":true,"as_of":9})").has_value());
    CHECK(protocol.parsePage(R"({"items":[],"more":false,"as_of":9})").has_value());
    // The next page can't be asked for after an entry without a name.
    CHECK_FALSE(protocol.parsePage(R"({"items":[)" + entry("", registration("sequence", "1")) + R"(],"more":true,"as_of":9})").has_value());
}

// Guards against: a list that an answer lacks is taken for an empty one.
TEST(StoreEntries, AnAnswerWithoutAListIsNoEmptyList)
{
    CHECK_FALSE(protocol.parsePage(R"({"more":false,"as_of":9})").has_value());
    CHECK_FALSE(protocol.parsePage(R"({"items":null,"more":false,"as_of":9})").has_value());
    CHECK_FALSE(protocol.parsePage(R"({"items":[],"as_of":9})").has_value());
    CHECK_FALSE(protocol.parsePage("{}").has_value());
    CHECK_FALSE(protocol.parseChanges(R"({"as_of":9})").has_value());
    CHECK_FALSE(protocol.parseChanges(R"({"events":[]})").has_value());
}

// Guards against: a number beyond 32 bits is cut to its lower half, so that a route of the last priority becomes the most urgent one.
TEST(StoreEntries, NumbersBeyond32BitsAreHeldAtTheGreatestOne)
{
    static constexpr auto greatest = std::numeric_limits<std::uint32_t>::max();
    for (auto const* const number : { "4294967296", "4294967297", "9223372036854775807" }) {
        auto const text = boost::algorithm::replace_all_copy(std::string { R"({"version":1,"limits":{"max_header_bytes":#,"max_body_bytes":#,"header_timeout_ms":3000,"idle_timeout_ms":3000},
            "routes":[{"name":"r","host":"h","path_prefix":"/","kind":"idempotent","timeout_ms":100,"target_latency_ms":10,"attempts":#,"priority":#,"service":"desk"}],
            "services":[{"name":"desk","max_conns":#}],"tenants":[{"name":"t","api_keys":["k"],"priority":#}]})" },
            "#", number);
        auto const declared = protocol.parseRoutes({ .content = boost::json::parse(text) });
        CHECK(declared.has_value());
        UNSIGNED_LONGS_EQUAL(greatest, declared->routes.front().maximumAttempts);
        UNSIGNED_LONGS_EQUAL(greatest, declared->routes.front().priority);
        UNSIGNED_LONGS_EQUAL(greatest, declared->services.front().connectionCap);
        UNSIGNED_LONGS_EQUAL(greatest, declared->tenants.front().priority.value_or(0));
        CHECK(declared->limits.headerBytes >= greatest && declared->limits.bodyBytes >= greatest);
    }
}

// Guards against: status requests without a target, which is no HTTP.
TEST(StoreEntries, AnEmptyHealthPathIsTheUsualOne)
{
    auto const declared = protocol.parseRoutes({ .content = boost::json::parse(R"({"version":1,"limits":{"max_header_bytes":1,"max_body_bytes":0,"header_timeout_ms":0,"idle_timeout_ms":0},"routes":[],"services":[{"name":"desk","max_conns":1,"health_path":""}]})") });
    CHECK(declared.has_value());
    STRCMP_EQUAL("/health", declared->services.front().statusTarget.c_str());
}
