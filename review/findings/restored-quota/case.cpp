// The quota of a busy tenant is lowered and restored by two versions of the configuration.

#include "review/support-3/deployment.h"
#include <algorithm>
#include <boost/json.hpp>
#include <iostream>
#include <map>
#include <thread>

using namespace zinnialedge::review;
using namespace zinnialedge;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr int exitHeld = 0;
static constexpr int exitBroken = 1;
static constexpr int exitNotRun = 2;

static constexpr double ratePerSecond = 10;
static constexpr double burst = 60;
static constexpr double loweredBurst = 4;
static constexpr seconds quotaWindow { 5 };
static constexpr double quotaOverage = 0.1;
static constexpr double quotaSlack = 20;
/// Requests of the tenant a second: its usual rate, and 7.5 times as many while it is hot.
static constexpr milliseconds usualInterval { 167 };
static constexpr std::chrono::microseconds hotInterval { 22'222 };
static constexpr seconds usualTime { 8 };
static constexpr seconds hotTime { 6 };
/// After the beginning of the hot time.
static constexpr milliseconds lowerAt { 1900 };
static constexpr milliseconds restoreAt { 2300 };
static constexpr std::size_t clientCount = 40;
static constexpr char const* tenantName = "district-7";

struct request_times {
    steady::time_point sentAt;
    steady::time_point ranAt;
};

static boost::json::object configurationWith(std::uint64_t version, double tenantBurst)
{
    auto configuration = makeConfiguration(version, { serviceRoute("roster-pull", "/roster/", "idempotent", "member-book") }, { "member-book" });
    configuration["tenants"] = boost::json::array { { { "name", tenantName }, { "api_keys", { "key-of-district-7" } }, { "rate_per_s", ratePerSecond }, { "burst", tenantBurst } } };
    return configuration;
}

int main(int /*argumentCount*/, char** arguments)
{
    record_file record { arguments[1] };
    std::mutex mutex;
    std::map<std::string, request_times> requests;
    deployment system { record, { "sundarban", "sundarban", "dooars", "dooars", "rarh" }, [&](leaf_server const& leaf, leaf_request const& request, std::string reply) {
                           std::lock_guard const lock(mutex);
                           if (request.tenant == tenantName)
                               requests[request.attemptId].ranAt = steady::now();
                           record.write("leaf " + leaf.id + " runs " + request.attemptId + " of " + request.tenant);
                           return tests::scripted_reply { std::move(reply) };
                       } };
    for (auto const* const zone : { "sundarban", "dooars", "rarh" }) {
        system.addLeaf("member-book", zone);
        system.addLeaf("member-book", zone);
    }
    system.configure(configurationWith(1, burst));
    system.startAll();
    if (!system.waitUntilReady()) {
        record.write("the machines did not become ready");
        return exitNotRun;
    }
    std::this_thread::sleep_for(seconds { 10 });

    auto const beganAt = steady::now();
    auto const hotAt = beganAt + usualTime;
    auto const endAt = hotAt + hotTime;
    std::atomic<std::size_t> lastNumber { 0 };
    std::mutex turnMutex;
    auto nextAt = beganAt;
    std::map<int, std::size_t> statuses;
    auto const runClient = [&] {
        while (true) {
            {
                std::lock_guard const turn(turnMutex);
                if (nextAt >= endAt)
                    return;
                std::this_thread::sleep_until(nextAt);
                nextAt += nextAt < hotAt ? steady::duration { usualInterval } : steady::duration { hotInterval };
            }
            auto const number = ++lastNumber;
            auto const attemptId = "a" + std::to_string(number);
            {
                std::lock_guard const lock(mutex);
                requests[attemptId].sentAt = steady::now();
            }
            auto const answer = system.send(number % system.machines().size(), { .path = "/roster/r" + std::to_string(number), .attemptId = attemptId, .timeout = seconds { 1 }, .headers = "X-Api-Key: key-of-district-7\r\n" });
            std::lock_guard const lock(mutex);
            ++statuses[answer.status];
            record.write("answer to " + attemptId + ": " + std::to_string(answer.status));
        }
    };
    std::vector<std::thread> clients;
    clients.reserve(clientCount);
    for (std::size_t count = 0; count < clientCount; ++count)
        clients.emplace_back(runClient);
    if (isTroubleWanted()) {
        std::this_thread::sleep_until(hotAt + lowerAt);
        system.configure(configurationWith(2, loweredBurst));
        std::this_thread::sleep_until(hotAt + restoreAt);
        system.configure(configurationWith(3, burst));
    }
    for (auto& each : clients)
        each.join();

    std::vector<request_times> run;
    for (auto const& [attemptId, times] : requests) {
        if (times.ranAt != steady::time_point {})
            run.push_back(times);
    }
    std::sort(run.begin(), run.end(), [](auto const& left, auto const& right) { return left.sentAt < right.sentAt; });
    std::size_t greatest = 0;
    for (std::size_t first = 0; first < run.size(); ++first) {
        auto const end = run[first].sentAt + quotaWindow;
        auto const count = std::count_if(run.begin() + static_cast<std::ptrdiff_t>(first), run.end(), [end](auto const& each) { return each.sentAt < end && each.ranAt < end; });
        greatest = std::max(greatest, static_cast<std::size_t>(count));
    }
    auto const allowed = (ratePerSecond * static_cast<double>(quotaWindow.count()) + burst) * (1 + quotaOverage) + quotaSlack;
    auto verdict = "requests of the tenant that were sent and ran within 5 s, at most: " + std::to_string(greatest) + " (allowed: " + std::to_string(static_cast<int>(allowed)) + "); answers:";
    for (auto const& [status, count] : statuses)
        verdict += " " + std::to_string(status) + "=" + std::to_string(count);
    record.write(verdict);
    std::cout << verdict << "\n";
    if (run.empty())
        return exitNotRun;
    return static_cast<double>(greatest) > allowed ? exitBroken : exitHeld;
}
