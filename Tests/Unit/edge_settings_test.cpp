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

// Guards against: a capacity that no VM can have excludes the other daemons of the data centre from the serving group.
TEST(EdgeSettings, CapacityIsOptionalAndChecked)
{
    auto const problemsOf = [](std::string const& capacity) {
        std::string joinedProblems;
        auto const settings = configuration::parseEdgeSettings("{" + capacity + "}");
        for (auto const& problem : settings.error())
            joinedProblems += problem + "\n";
        return joinedProblems;
    };
    CHECK(problemsOf("").find("capacity") == std::string::npos);
    CHECK(problemsOf(R"("capacity": { "processor": 0.12, "link_mbps": 25 })").find("capacity") == std::string::npos);
    CHECK(problemsOf(R"("capacity": { "processor": 0, "link_mbps": 25 })").find("capacity.processor") != std::string::npos);
    CHECK(problemsOf(R"("capacity": { "processor": 0.5 })").find("capacity.link_mbps") != std::string::npos);
    edge_settings const before;
    edge_settings after;
    after.capacity = configuration::vm_capacity { 0.5, 200 };
    CHECK(configuration::compareSettings(before, after).appliedAtNextStart == (std::vector<std::string> { "capacity" }));
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
