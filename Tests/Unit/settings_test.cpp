#include "Libraries/zinnialedge/configuration/daemon_settings.h"
#include "Libraries/zinnialedge/configuration/partner_keys.h"
#include "Libraries/zinnialedge/configuration/service_codec.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <boost/json.hpp>

using namespace zinnialedge::configuration;

TEST_GROUP(Settings) {
    static bool hasProblem(std::vector<std::string> const& problems, std::string const& wanted) {
        return std::any_of(problems.begin(), problems.end(), [&](auto const& each) { return each.find(wanted) != std::string::npos; });
}
}
;

TEST(Settings, AllInvalidFieldsAreReportedTogether)
{
    auto const parsed = parseDaemonSettings(R"({"name":"a~b","partner":"","region":"suva","data_centre":"suva-a",
        "callers":{"address":"nowhere","port":0},"operators":{"address":"127.0.0.1","port":70000},
        "peers":{"address":"127.0.0.1","port":0},"platform":{"address":"127.0.0.1","port":0},"surprise":1,
        "partners":[{"name":"suva","share_percent":60},{"name":"amman","share_percent":60}]})");
    CHECK(!parsed);
    auto const& problems = parsed.error();
    CHECK(hasProblem(problems, "name: expected a name without '~'"));
    CHECK(hasProblem(problems, "partner: expected a non-empty string"));
    CHECK(hasProblem(problems, "callers.address: expected an IP address"));
    CHECK(hasProblem(problems, "operators.port: expected an integer from 0 to 65535"));
    CHECK(hasProblem(problems, "platform.port: expected an integer from 1 to 65535"));
    CHECK(hasProblem(problems, "surprise: unknown field"));
    CHECK(hasProblem(problems, "partners: expected shares with a sum of at most 100"));
    LONGS_EQUAL(7, problems.size());
}

TEST(Settings, InvalidJsonIsReported)
{
    auto const parsed = parseDaemonSettings("{");
    CHECK(!parsed);
    CHECK(hasProblem(parsed.error(), "expected JSON"));
}

TEST(Settings, DeclarationRoundTripsThroughJson)
{
    zinnialedge::model::service_declaration declared;
    declared.name = "lunch-portal";
    declared.partner = "suva";
    declared.shardCount = 2;
    declared.requests = { { "menu", true, true, true } };
    declared.targets = { { "t1", { "127.0.0.1", 80 }, 1, 2, 25, true } };
    auto const parsed = parseService(boost::json::serialize(toJson(declared)));
    CHECK(parsed.has_value());
    CHECK(*parsed == declared);
}

TEST(Settings, ShardOutOfRangeIsRejected)
{
    auto const parsed = parseService(R"({"name":"a","partner":"p","shards":2,"requests":[],"targets":[{"name":"t","at":{"address":"127.0.0.1","port":1},"shard":2}]})");
    CHECK(!parsed);
    STRCMP_CONTAINS("targets[0].shard: expected an integer from 0 to 1", parsed.error().message.c_str());
}

// Guards against: without declared partners every key, or none, is one of a partner.
TEST(Settings, WithoutPartnersNoKeyIsValid)
{
    auto const keys = partner_keys::load({});
    CHECK(keys.has_value());
    CHECK_FALSE(keys->findPartner("").has_value());
    CHECK_FALSE(keys->findPartner("any key that nobody has").has_value());
}
