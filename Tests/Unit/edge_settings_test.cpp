#include "Libraries/zinnialedge/configuration/edge_settings.h"
#include "Libraries/zinnialedge/configuration/json_reader.h"
#include "Libraries/zinnialedge/configuration/settings_watch.h"
// Before the test framework, whose macro replaces operator new.
#include <regex>

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

// Guards against a template that is no JSON on deployments with or without quotas.
TEST(EdgeSettings, TemplateIsValidWithAndWithoutQuotas)
{
    std::ifstream file { std::string { TESTS_FOLDER } + "/../platform/settings.template" };
    std::string text { std::istreambuf_iterator<char> { file }, {} };
    text = std::regex_replace(text, std::regex { "\\{\\{#seeds\\}\\}.*\\{\\{/seeds\\}\\}" }, "\"10.0.0.1:1\"");
    for (bool const hasQuotas : { true, false }) {
        auto filled = std::regex_replace(text, std::regex { hasQuotas ? "\\{\\{[#/]bounds\\.quota_window_s\\}\\}" : "\\{\\{#bounds\\.quota_window_s\\}\\}[^]*\\{\\{/bounds\\.quota_window_s\\}\\}" }, "");
        filled = std::regex_replace(filled, std::regex { "\\{\\{[^}]*\\|json\\}\\}" }, "1");
        std::vector<std::string> problems;
        auto const value = configuration::parseJson(filled, problems);
        CHECK_TEXT(value, filled.c_str());
        CHECK(value->as_object().contains("quotas") == hasQuotas);
    }
}

// Guards against a tolerance in deployments that name none, and against one that a running daemon ignores.
TEST(EdgeSettings, ToleranceOfQuotasIsOptional)
{
    std::string const text = R"({ "name": "d", "region": "r", "data_centre": "z", "callers": "10.0.0.1:80", "readiness": "10.0.0.1:81", "directory": "10.0.0.1:82", "peers": "10.0.0.1:83", "relays": "10.0.0.1:84", "operators": "10.0.0.1:85", "store": "10.0.0.1:86", "seeds": [], "extra_calls": { "ratio": 0.2, "window_s": 10, "slack": 50 }, "store_rates": { "reads_per_s": 10, "writes_per_s": 10 }, "log_level": "info", "stop_time_s": 6)";
    auto const without = configuration::parseEdgeSettings(text + "}");
    auto const with = configuration::parseEdgeSettings(text + R"(, "quotas": { "window_s": 5, "overage": 0.1, "slack": 20 } })");
    CHECK(without && with);
    CHECK(without->quotaTolerance == allowances::quota_tolerance {});
    CHECK((with->quotaTolerance == allowances::quota_tolerance { std::chrono::seconds { 5 }, 0.1, 20 }));
    CHECK(configuration::compareSettings(*without, *with).appliedAtOnce == (std::vector<std::string> { "quotas" }));
    CHECK(!configuration::parseEdgeSettings(text + R"(, "quotas": { "window_s": 0, "overage": -1, "slack": 20 } })"));
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
