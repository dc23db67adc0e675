// The last tenant of a configuration is removed: nobody's key is valid any more, and yet every request runs.

#include "review/support-2/stand_ins.h"

#include <algorithm>
#include <csignal>
#include <iostream>

using namespace review;

/// `config_apply_ms` of the site, and a margin.
static constexpr milliseconds applyTime { 5500 };
static constexpr int requestsPerKey = 5;

static boost::json::object makeTenants(std::uint64_t version, bool hasTenant)
{
    auto configuration = makeConfiguration(version, { makeRoute("roster", "/roster/", "member-book") }, { "member-book" });
    boost::json::array tenants;
    if (hasTenant)
        tenants.push_back({ { "name", "north-group" }, { "api_keys", { "key-of-north-group" } } });
    configuration["tenants"] = std::move(tenants);
    return configuration;
}

static int runCase(record& lines)
{
    deployment fleet { lines, 2 };
    leaf const first { lines, "i-1", "member-book", milliseconds { 10 } };
    leaf const second { lines, "i-2", "member-book", milliseconds { 10 } };
    fleet.add(first);
    fleet.add(second);
    fleet.objects().put("config", "main", makeTenants(1, true));
    lines.add("the operator writes version 1 with the tenant north-group and its key");
    fleet.startAll();
    if (!fleet.waitUntilReady()) {
        lines.add("the daemons are not ready");
        return couldNotRun;
    }
    std::map<int, int> unknownKeyStatuses;
    std::map<int, int> formerKeyStatuses;
    auto const askAll = [&](std::string const& phase, std::string const& key, std::map<int, int>& statuses) {
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            for (int count = 0; count < requestsPerKey; ++count) {
                auto attemptId = phase + "-" + std::to_string(index) + "-" + std::to_string(count);
                auto const got = get(fleet.at(index), "/roster/volunteer-7", attemptId, { "X-Api-Key: " + key });
                ++statuses[got.status];
                lines.add("request " + attemptId + " with key '" + key + "' to " + fleet.at(index).name() + ": " + std::to_string(got.status));
            }
        }
    };
    std::map<int, int> statusesBefore;
    askAll("valid", "key-of-north-group", statusesBefore);
    askAll("unknown-before", "never-in-any-version", statusesBefore);
    if (isTroubleWanted()) {
        fleet.objects().put("config", "main", makeTenants(2, false));
        lines.add("the operator writes version 2, from which the tenant north-group is removed; the store accepts it");
    }
    std::this_thread::sleep_for(applyTime);
    askAll("unknown-after", "never-in-any-version", unknownKeyStatuses);
    askAll("former", "key-of-north-group", formerKeyStatuses);

    int unknownKeyRuns = 0;
    int formerKeyRuns = 0;
    int passedKeys = 0;
    for (auto const* each : { &first, &second }) {
        for (auto const& ran : each->runs()) {
            unknownKeyRuns += ran.attemptId.starts_with("unknown") ? 1 : 0;
            formerKeyRuns += isTroubleWanted() && ran.attemptId.starts_with("former") ? 1 : 0;
            passedKeys += ran.headers.contains("x-api-key") ? 1 : 0;
        }
    }
    lines.add("requests that leafs ran with a key that no configuration ever held: " + std::to_string(unknownKeyRuns));
    lines.add("requests that leafs ran with a key that was dropped more than config_apply_ms before: " + std::to_string(formerKeyRuns));
    lines.add("requests with which a leaf got the key itself: " + std::to_string(passedKeys));
    if (statusesBefore[200] != static_cast<int>(fleet.size()) * requestsPerKey)
        return couldNotRun;
    return unknownKeyRuns + formerKeyRuns + passedKeys > 0 ? ruleBroken : ruleHeld;
}

int main(int argumentCount, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    record lines { argumentCount > 1 ? arguments[1] : "record.txt" };
    try {
        auto const result = runCase(lines);
        lines.add("exit code " + std::to_string(result));
        return result;
    } catch (std::exception const& failure) {
        lines.add(std::string { "could not run: " } + failure.what());
        return couldNotRun;
    }
}
