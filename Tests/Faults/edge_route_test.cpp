#include "Tests/Support/http_call.h"
#include "Tests/Support/small_edge_fleet.h"
#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::getJson;
using tests::small_edge_fleet;
using tests::waitUntil;

TEST_GROUP(EdgeRoute) {};

// Guards against: GET /route of a real daemon sends or counts the request, lacks leafs of the store, or hides that a leaf drains.
TEST(EdgeRoute, ExplainsWithoutARequest)
{
    small_edge_fleet fleet { 1, true };
    auto const& operators = fleet.daemon(0).operators;
    std::string const query = "/route?method=GET&host=host&path=/single/a";
    auto const explained = getJson(operators, query);
    STRCMP_EQUAL("single", explained.at("route").as_string().c_str());
    auto const& leafs = explained.at("parts").at(0).at("leafs").as_array();
    LONGS_EQUAL(2, leafs.size());
    CHECK(leafs[0].at("position").as_int64() == 1 && explained.at("refusal").is_null());
    LONGS_EQUAL(4, getJson(operators, "/route?method=GET&host=host&path=/gather/a").at("parts").as_array().size());
    fleet.registerLeaf("desk0", "desk", fleet.desk0.place(), "draining");
    CHECK(waitUntil([&] { return getJson(operators, query).at("parts").at(0).at("leafs").at(1).at("draining").as_bool(); }, 5s));
    STRCMP_EQUAL("desk1", getJson(operators, query).at("parts").at(0).at("leafs").at(0).at("leaf").as_string().c_str());
    auto const metrics = tests::callHttp(operators, { "GET", "/metrics", {}, {} });
    CHECK(metrics && metrics->body.find("zinnialedge_requests_total 0\n") != std::string::npos);
    auto const errorOf = [&](std::string const& target, int status) {
        auto const reply = tests::callHttp(operators, { "GET", target, {}, {} });
        CHECK(reply && reply->body.find("error") != std::string::npos);
        LONGS_EQUAL(status, reply ? reply->status : 0);
    };
    errorOf("/route?method=GET&host=host&path=/nowhere", 404);
    errorOf(query + "&tenant=nobody", 400);
    errorOf(query + "&key=secret", 400);
}
