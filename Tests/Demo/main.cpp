// Starts a platform, four services and four daemons, and runs a mixed load against the daemons.

#include "Tests/Support/cluster.h"
#include <boost/json.hpp>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint32(seconds, 8, "measurement time in seconds");
DEFINE_string(csv, "", "file to which zl-load writes its CSV lines; none if empty");

using namespace zinnialedge::tests;
namespace json = boost::json;

static json::value makeStream(char const* service, char const* request, int requestsPerSecond, bool isKeyed, bool isTicketed)
{
    return { { "service", service }, { "request", request }, { "per_second", requestsPerSecond }, { "keyed", isKeyed }, { "ticketed", isTicketed } };
}

static json::object makePlan(std::vector<running_daemon> const& daemons)
{
    auto const toEndpointArray = [](auto const& endpoints) {
        json::array items;
        for (auto const& endpoint : endpoints)
            items.push_back({ { "address", endpoint.address }, { "port", endpoint.port } });
        return items;
    };
    std::vector<zinnialedge::model::endpoint> callers;
    std::vector<zinnialedge::model::endpoint> operators;
    for (auto const& daemon : daemons) {
        callers.push_back(daemon.callers);
        operators.push_back(daemon.operators);
    }
    return {
        { "directory", toEndpointArray(callers) },
        { "operators", toEndpointArray(operators) },
        { "duration_ms", FLAGS_seconds * 1000 },
        { "streams", {
                         makeStream("lunch-portal", "menu", 40, false, false),
                         makeStream("lunch-portal", "allergen", 40, false, false),
                         makeStream("lunch-portal", "order-check", 40, true, false),
                         makeStream("kitchen-desk", "order-confirmation", 40, true, true),
                         makeStream("kerbside-app", "site-history", 40, false, false),
                         makeStream("kerbside-app", "defects", 40, false, false),
                         makeStream("permit-desk", "billing-record", 40, true, true),
                         makeStream("permit-desk", "permit", 40, true, false),
                     } },
    };
}

/// Prints how far the load has come and, at its end, its report. Returns its exit code.
static int watchLoad(child_process& load)
{
    static constexpr std::chrono::seconds progressInterval { 2 };
    // Warm-up and the end of the last requests.
    static constexpr std::chrono::seconds longestRest { 60 };
    auto const startedAt = std::chrono::steady_clock::now();
    std::optional<int> exitCode;
    for (std::chrono::seconds passed { 0 }; !exitCode && passed < std::chrono::seconds { FLAGS_seconds } + longestRest; passed += progressInterval) {
        std::cout << "  " << std::chrono::floor<std::chrono::seconds>(std::chrono::steady_clock::now() - startedAt).count() << " s" << std::endl;
        exitCode = load.waitForExit(progressInterval);
    }
    for (auto const& line : load.lines())
        std::cout << line << "\n";
    if (exitCode != 0)
        std::cerr << "the load failed: " << (exitCode ? "exit code " + std::to_string(*exitCode) : std::string { "it did not end" }) << "\n";
    std::cout << "read on in docs/OPERATORS.md (daemons, zlctl, logs) and docs/DEVELOPERS.md" << std::endl;
    return exitCode.value_or(1);
}

int main(int argumentCount, char** arguments)
{
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    cluster cluster;
    for (auto const& plan : { lunchPortalPlan(), kitchenDeskPlan(), kerbsideAppPlan(), permitDeskPlan() }) {
        auto const& leafs = cluster.startService(plan);
        std::cout << "started " << plan.declaration.name << " with " << leafs.size() << " leafs\n";
    }
    std::vector<running_daemon> daemons;
    for (auto const* name : { "suva-1", "suva-2" })
        daemons.push_back(cluster.startDaemon(name, "suva", "suva-a"));
    for (auto const* name : { "amman-1", "amman-2" })
        daemons.push_back(cluster.startDaemon(name, "amman", "amman-a"));
    for (auto const& daemon : daemons) {
        for (auto const* service : { "lunch-portal", "kitchen-desk", "kerbside-app", "permit-desk" }) {
            if (!cluster.waitForLeafs(daemon, service)) {
                std::cerr << daemon.name << " did not reach the leafs of " << service << "\n";
                return 1;
            }
        }
        std::cout << "started daemon " << daemon.name << ", callers at " << toString(daemon.callers) << ", operators at " << toString(daemon.operators) << "\n";
    }
    auto const planFile = cluster.folder() / "plan.json";
    std::ofstream { planFile } << json::serialize(makePlan(daemons));
    std::cout << "measuring for " << FLAGS_seconds << " s" << std::endl;
    std::vector<std::string> loadArguments { "--plan=" + planFile.string() };
    if (!FLAGS_csv.empty())
        loadArguments.push_back("--csv=" + FLAGS_csv);
    child_process load { "zl-load", loadArguments };
    return watchLoad(load);
}
