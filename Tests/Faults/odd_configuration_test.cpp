// Values of a configuration that the store accepts, although no operator would be expected to write them.

#include "Tests/Support/http_call.h"
#include "Tests/Support/small_edge_fleet.h"
#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>
#include <csignal>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::callHttp;
using tests::small_edge_fleet;
using tests::waitUntil;

namespace {

/// The platform's bound on the time until a configuration version is in force.
constexpr auto configurationTime = 5s;

/// Writes another version of the configuration, and waits until it is in force.
void changeConfiguration(small_edge_fleet& fleet, std::uint64_t version, std::function<void(boost::json::object&)> const& change)
{
    auto configuration = fleet.store().find("config", "main")->as_object();
    configuration["version"] = version;
    change(configuration);
    fleet.store().put("config", "main", configuration);
    CHECK(waitUntil([&] {
        auto const metrics = callHttp(fleet.daemon(0).operators, { "GET", "/metrics", {}, {} }, 1s);
        return metrics && metrics->body.find("configuration_version " + std::to_string(version) + "\n") != std::string::npos;
    },
        configurationTime));
}

void changeRoutes(small_edge_fleet& fleet, std::uint64_t version, std::string const& field, boost::json::value const& value)
{
    changeConfiguration(fleet, version, [&](boost::json::object& configuration) {
        for (auto& each : configuration["routes"].as_array()) {
            if (each.as_object().contains(field))
                each.as_object()[field] = value;
        }
    });
}

/// Returns the status of the answer, or zero when there is none.
int statusOf(small_edge_fleet& fleet, std::string const& path, std::string const& attemptId, std::string const& key = "none")
{
    auto const answer = callHttp(fleet.daemon(0).callers, { "GET", path, {}, { { "Host", "host" }, { "Zinnialedge-Attempt-Id", attemptId }, { "Zinnialedge-Deadline-Ms", "1000" }, { "X-Api-Key", key } } }, 3s);
    return answer ? answer->status : 0;
}

}

TEST_GROUP(OddConfigurations) {};

// Guards against: when the last tenant is removed, every key is valid, and leafs get the keys.
TEST(OddConfigurations, AnEmptyListOfTenantsLetsNoKeyPass)
{
    small_edge_fleet fleet { 1 };
    auto const declareTenants = [&](std::uint64_t version, boost::json::array const& tenants) {
        changeConfiguration(fleet, version, [&](boost::json::object& configuration) { configuration["tenants"] = tenants; });
    };
    declareTenants(2, { { { "name", "acme" }, { "api_keys", { "withdrawn-key" } } } });
    LONGS_EQUAL(200, statusOf(fleet, "/gather/a", "a1", "withdrawn-key"));
    declareTenants(3, {});
    for (std::string const key : { "withdrawn-key", "unknown-key" })
        LONGS_EQUAL(401, statusOf(fleet, "/gather/b", "b1", key));
    for (auto const& shard : fleet.shards) {
        for (auto const& request : shard->requests())
            CHECK(request.find("-key") == std::string::npos && request.find("/gather/b") == std::string::npos);
    }
}

// Guards against: timers that are due again at once keep the event loop from everything else.
TEST(OddConfigurations, ATargetLatencyBelowAMillisecondIsServed)
{
    small_edge_fleet fleet { 1 };
    std::uint64_t version = 2;
    for (double const milliseconds : { 0.5, 0.0 }) {
        changeRoutes(fleet, version++, "target_latency_ms", milliseconds);
        for (int number = 0; number < 40; ++number) {
            auto const id = "a" + std::to_string(version) + "-" + std::to_string(number);
            auto const status = statusOf(fleet, number % 2 == 0 ? "/gather/a" : "/single/a", id);
            CHECK_TEXT(status != 0, (id + " got no answer").c_str());
        }
    }
    fleet.daemon(0).process->signal(SIGTERM);
    CHECK(fleet.daemon(0).process->waitForExit() == 0);
}

// Guards against: the number of records that an answer may have reserves memory for all of them.
TEST(OddConfigurations, AVeryLargeNumberOfRecordsIsServed)
{
    small_edge_fleet fleet { 1 };
    changeRoutes(fleet, 2, "top_k", 9'007'199'254'740'991);
    LONGS_EQUAL(200, statusOf(fleet, "/gather/a", "a1"));
    LONGS_EQUAL(200, statusOf(fleet, "/gather/a", "a2"));
    CHECK(!fleet.daemon(0).process->waitForExit(0ms));
}

// Guards against: a route with an empty list of services makes the whole version unusable, or is served by another service.
TEST(OddConfigurations, RequestsOnARouteWithoutServicesAreRejectedAtOnce)
{
    small_edge_fleet fleet { 1 };
    std::uint64_t version = 2;
    auto const noWeight = boost::json::array { { { "service", "desk" }, { "weight", 0 } } };
    for (auto const& [field, services] : std::initializer_list<std::pair<std::string, boost::json::array>> { { "gather", {} }, { "split", {} }, { "split", noWeight } }) {
        for (bool const hasService : { false, true }) {
            auto const id = "a" + std::to_string(version);
            changeConfiguration(fleet, version++, [&](boost::json::object& configuration) {
                for (auto& each : configuration["routes"].as_array()) {
                    auto& route = each.as_object();
                    if (route["path_prefix"] != "/single/")
                        continue;
                    for (auto const* const destination : { "service", "split", "gather" })
                        route.erase(destination);
                    route[field] = services;
                    route["top_k"] = 1;
                    route["min_success_ratio"] = 0;
                    if (hasService)
                        route["service"] = "desk";
                }
            });
            auto const startedAt = std::chrono::steady_clock::now();
            LONGS_EQUAL(503, statusOf(fleet, "/single/a", id));
            CHECK(std::chrono::steady_clock::now() - startedAt < 500ms);
            LONGS_EQUAL(200, statusOf(fleet, "/gather/a", id));
        }
    }
    LONGS_EQUAL(0, fleet.desk0.requests().size() + fleet.desk1.requests().size());
}

// Guards against: an empty list that is taken for an absent one, or makes the version unusable.
TEST(OddConfigurations, EmptyListsAreInForceAsTheyStand)
{
    small_edge_fleet fleet { 1 };
    changeConfiguration(fleet, 2, [](boost::json::object& configuration) { configuration["services"] = boost::json::array {}; });
    LONGS_EQUAL(200, statusOf(fleet, "/single/a", "a1"));
    LONGS_EQUAL(200, statusOf(fleet, "/gather/a", "a2"));
    changeConfiguration(fleet, 3, [](boost::json::object& configuration) { configuration["tenants"] = { { { "name", "acme" }, { "api_keys", boost::json::array {} } } }; });
    for (std::string const key : { "", "none" })
        LONGS_EQUAL(401, statusOf(fleet, "/gather/a", "a3", key));
    changeConfiguration(fleet, 4, [](boost::json::object& configuration) { configuration["tenants"] = { { { "name", "acme" }, { "api_keys", { "" } } } }; });
    LONGS_EQUAL(401, statusOf(fleet, "/gather/a", "a4", ""));
    changeConfiguration(fleet, 5, [](boost::json::object& configuration) { configuration["tenants"] = { { { "name", "" }, { "api_keys", { "key" } } } }; });
    LONGS_EQUAL(401, statusOf(fleet, "/gather/a", "a5", "key"));
    changeConfiguration(fleet, 6, [](boost::json::object& configuration) {
        configuration.erase("tenants");
        configuration["routes"] = boost::json::array {};
    });
    LONGS_EQUAL(404, statusOf(fleet, "/single/a", "a6"));
}

// Guards against: times of zero or below that stop a daemon, or are taken for no limit.
TEST(OddConfigurations, RequestsOnARouteWithoutTimeAreAnsweredAtOnce)
{
    small_edge_fleet fleet { 1 };
    std::uint64_t version = 2;
    for (double const milliseconds : { 0.0, -1.0, 0.25 }) {
        changeRoutes(fleet, version, "timeout_ms", milliseconds);
        auto const startedAt = std::chrono::steady_clock::now();
        for (auto const* const path : { "/single/a", "/gather/a" }) {
            auto const status = statusOf(fleet, path, "a" + std::to_string(version));
            CHECK(status == 503 || status == 504);
        }
        CHECK(std::chrono::steady_clock::now() - startedAt < 500ms);
        ++version;
    }
}
