// A version adds a route whose `target_latency_ms` is below 1: after some requests on it the daemon answers nobody any more.

#include "review/support-2/stand_ins.h"

#include <csignal>
#include <iostream>

using namespace review;

/// `config_apply_ms` of the site, and a margin.
static constexpr milliseconds applyTime { 3500 };
/// `grace_s` of the site, and a second.
static constexpr milliseconds graceTime { 7000 };
/// The route's timeout_ms, the half second of the rule, and a margin.
static constexpr milliseconds answerBound { 2100 };
static constexpr int requestsPerDaemon = 10;
/// Requests on the new route for each daemon, one after the other.
static constexpr int requestsOnNewRoute = 80;
static constexpr double troubleTargetLatency = 0.5;
static constexpr double usualTargetLatency = 5;

static int runCase(record& lines)
{
    deployment fleet { lines, 2 };
    leaf const first { lines, "i-1", "kitchen-desk", milliseconds { 50 } };
    leaf const second { lines, "i-2", "kitchen-desk", milliseconds { 50 } };
    fleet.add(first);
    fleet.add(second);
    auto const usual = makeRoute("order-status", "/orders/", "kitchen-desk");
    fleet.objects().put("config", "main", makeConfiguration(1, { usual }, { "kitchen-desk" }));
    lines.add("the operator writes version 1 with the route /orders/, timeout_ms 1500");
    fleet.startAll();
    if (!fleet.waitUntilReady()) {
        lines.add("the daemons are not ready");
        return couldNotRun;
    }
    auto added = makeRoute("stock-level", "/stock/", "kitchen-desk");
    added["target_latency_ms"] = isTroubleWanted() ? troubleTargetLatency : usualTargetLatency;
    fleet.objects().put("config", "main", makeConfiguration(2, { usual, added }, { "kitchen-desk" }));
    lines.add("the operator writes version 2, which adds the route /stock/ with target_latency_ms " + boost::json::serialize(added["target_latency_ms"]) + "; the store accepts it");
    std::this_thread::sleep_for(applyTime);

    auto const ask = [&](std::size_t index, std::string const& target, std::string const& attemptId) {
        auto const got = get(fleet.at(index), target, attemptId, {}, milliseconds { 1500 }, answerBound);
        lines.add("request " + attemptId + " " + target + " to " + fleet.at(index).name() + ": " + (got.status == -1 ? "no answer within 2100 ms" : std::to_string(got.status)) + " after " + std::to_string(got.elapsed.count()) + " ms");
        return got.status;
    };
    int unanswered = 0;
    int total = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        for (int count = 0; count < requestsOnNewRoute; ++count) {
            if (ask(index, "/stock/rice", "stock-" + std::to_string(index) + "-" + std::to_string(count)) <= 0)
                break;
        }
        std::vector<std::thread> clients;
        clients.reserve(requestsPerDaemon);
        std::atomic<int> unansweredHere { 0 };
        for (int count = 0; count < requestsPerDaemon; ++count)
            clients.emplace_back([&, count] { unansweredHere += ask(index, "/orders/7", "order-" + std::to_string(index) + "-" + std::to_string(count)) <= 0 ? 1 : 0; });
        for (auto& each : clients)
            each.join();
        unanswered += unansweredHere;
        total += requestsPerDaemon;
    }
    lines.add("requests on /orders/ without an answer 500 ms after the route's timeout_ms: " + std::to_string(unanswered) + " of " + std::to_string(total));
    int stillRunning = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index)
        fleet.at(index).signal(SIGTERM);
    lines.add("SIGTERM to all daemons");
    auto const end = steady::now() + graceTime;
    for (std::size_t index = 0; index < fleet.size(); ++index)
        stillRunning += fleet.at(index).waitForEnd(std::chrono::duration_cast<milliseconds>(end - steady::now())) ? 0 : 1;
    lines.add("daemons that still run after grace_s and a second: " + std::to_string(stillRunning));
    return unanswered * 4 > total ? ruleBroken : ruleHeld;
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
