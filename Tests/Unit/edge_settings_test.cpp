#include "Libraries/zinnialedge/configuration/edge_settings.h"
#include "Libraries/zinnialedge/configuration/settings_watch.h"
#include <CppUTest/TestHarness.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace zinnialedge;
using configuration::edge_settings;

TEST_GROUP(EdgeSettings) {};

TEST(EdgeSettings, ChangedEndpointTakesEffectAtNextStart)
{
    edge_settings const before;
    edge_settings after;
    after.seeds = { { "10.0.0.1", 7380 } };
    after.storeRates.readsPerSecond = 100;
    after.callers = { "10.0.0.2", 80 };
    auto const change = configuration::compareSettings(before, after);
    CHECK(change.appliedAtOnce == (std::vector<std::string> { "seeds", "store_rates" }));
    CHECK(change.appliedAtNextStart == (std::vector<std::string> { "callers" }));
    CHECK(configuration::compareSettings(after, after) == configuration::edge_settings_change {});
}

TEST(EdgeSettings, AllInvalidFieldsAreReportedTogether)
{
    auto const settings = configuration::parseEdgeSettings(R"({ "name": 3, "extra_calls": { "ratio": 2, "window_s": 10, "slack": 50 }, "store_rates": { "reads_per_s": 0 } })");
    CHECK(!settings);
    std::string joinedProblems;
    for (auto const& problem : settings.error())
        joinedProblems += problem + "\n";
    for (auto const* const field : { "name", "extra_calls.ratio", "store_rates.reads_per_s", "store_rates.writes_per_s", "callers", "store", "stop_time_s" })
        CHECK_TEXT(joinedProblems.find(field) != std::string::npos, field);
}

TEST(EdgeSettings, TolerancesOfColdLeafsAndTheScopeOfThePaceAreOptional)
{
    static std::string const required = R"({ "name": "n", "region": "r", "data_centre": "z", "callers": "10.0.0.1:80", "readiness": "10.0.0.1:81", "directory": "10.0.0.1:82", "peers": "10.0.0.1:83", "relays": "10.0.0.1:84", "operators": "10.0.0.1:85", "store": "10.0.0.2:80", "seeds": [], "extra_calls": { "ratio": 0.1, "window_s": 10, "slack": 50 }, "store_rates": { "reads_per_s": 10, "writes_per_s": 10 }, "stop_time_s": 6)";
    auto const without = configuration::parseEdgeSettings(required + " }");
    CHECK(without && without->leafPace == pacing::pace_scope::declared && without->coldLeafs == (allowances::cold_leaf_tolerance { 1.5, 5 }));
    auto const with = configuration::parseEdgeSettings(required + R"(, "cold_leafs": { "overage": 2, "slack": 3 }, "leaf_pace": "never" })");
    CHECK(with && with->leafPace == pacing::pace_scope::never && with->coldLeafs == (allowances::cold_leaf_tolerance { 2, 3 }));
    CHECK(configuration::compareSettings(*without, *with).appliedAtNextStart == (std::vector<std::string> { "cold_leafs", "leaf_pace" }));
    CHECK(!configuration::parseEdgeSettings(required + R"(, "cold_leafs": { "overage": 0.5, "slack": 3 } })"));
    CHECK(!configuration::parseEdgeSettings(required + R"(, "leaf_pace": "sometimes" })"));
}

TEST(EdgeSettings, SettingsWatchReturnsTextOnlyWhenTextChanged)
{
    auto const path = (std::filesystem::temp_directory_path() / ("zinnialedge-watch-" + std::to_string(::getpid()))).string();
    std::ofstream { path } << "one";
    configuration::settings_watch watch { path };
    CHECK(!watch.readIfChanged());
    std::ofstream { path } << "two";
    CHECK(watch.readIfChanged() == "two");
    CHECK(!watch.readIfChanged());
    std::ofstream { path } << "";
    CHECK(!watch.readIfChanged());
    std::filesystem::remove(path);
    CHECK(!watch.readIfChanged());
}
