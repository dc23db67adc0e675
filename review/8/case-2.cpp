// A version adds a route over shards that asks for all records, with the greatest integer as its `top_k`: each request on it ends its daemon.

#include "review/support-2/stand_ins.h"

#include <csignal>
#include <iostream>

using namespace review;

/// `config_apply_ms` of the site, and a margin.
static constexpr milliseconds applyTime { 3500 };
/// Ends of one process by itself that count as a fault.
static constexpr int endsOfAFault = 3;
/// The greatest integer that any JSON writer keeps exactly.
static constexpr std::int64_t allRecords = 9'007'199'254'740'991;
static constexpr std::int64_t usualRecords = 50;

static int runCase(record& lines)
{
    deployment fleet { lines, 2 };
    std::vector<std::unique_ptr<leaf>> leafs;
    std::vector<std::string> services;
    boost::json::array shards;
    for (int shard = 0; shard < 3; ++shard) {
        auto const service = "kitchen-" + std::to_string(shard);
        services.push_back(service);
        shards.emplace_back(service);
        leafs.push_back(std::make_unique<leaf>(lines, "i-" + std::to_string(shard), service, milliseconds { 5 }));
        fleet.add(*leafs.back());
    }
    auto const makeGather = [&](std::string const& name, std::string const& prefix, std::int64_t limit) {
        auto made = makeRoute(name, prefix, {});
        made.erase("service");
        made["gather"] = shards;
        made["min_success_ratio"] = 0.5;
        made["top_k"] = limit;
        return made;
    };
    auto const usual = makeGather("menu-browse", "/menu/", usualRecords);
    fleet.objects().put("config", "main", makeConfiguration(1, { usual }, services));
    lines.add("the operator writes version 1 with the route /menu/, top_k 50");
    fleet.startAll();
    if (!fleet.waitUntilReady()) {
        lines.add("the daemons are not ready");
        return couldNotRun;
    }
    auto const limit = isTroubleWanted() ? allRecords : usualRecords;
    fleet.objects().put("config", "main", makeConfiguration(2, { usual, makeGather("menu-export", "/export/", limit) }, services));
    lines.add("the operator writes version 2, which adds the route /export/ with top_k " + std::to_string(limit) + "; the store accepts it");
    std::this_thread::sleep_for(applyTime);

    std::vector<int> ends(fleet.size());
    for (int round = 0; round < endsOfAFault; ++round) {
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            auto& asked = fleet.at(index);
            for (auto const* const target : { "/menu/all", "/export/all" }) {
                auto const attemptId = "try-" + std::to_string(round) + "-" + std::to_string(index) + "-" + (std::string_view { target } == "/menu/all" ? "menu" : "export");
                auto const got = get(asked, target, attemptId);
                lines.add("request " + attemptId + " " + target + " to " + asked.name() + ": " + (got.status == 0 ? "the connection ends without an answer" : std::to_string(got.status)));
            }
            std::this_thread::sleep_for(milliseconds { 500 });
            auto const end = asked.takeEnd();
            if (!end)
                continue;
            ++ends[index];
            lines.add(asked.name() + " has ended by itself, " + (*end < 0 ? "signal " + std::to_string(-*end) : "exit code " + std::to_string(*end)) + "; the platform starts it again");
            asked.start();
        }
        if (!fleet.waitUntilReady()) {
            lines.add("the daemons are not ready again");
            return couldNotRun;
        }
    }
    int faults = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        lines.add("ends of " + fleet.at(index).name() + " by itself: " + std::to_string(ends[index]));
        faults += ends[index] >= endsOfAFault ? 1 : 0;
    }
    return faults >= 2 ? ruleBroken : ruleHeld;
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
