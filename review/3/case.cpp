// A machine gets SIGTERM while clients go on with a directory answer that still holds. Requests that the machine reads and passes on
// late in its stop must be answered.

#include "review/support/client.h"
#include "review/support/deployment.h"
#include <algorithm>
#include <csignal>
#include <iostream>

using namespace review;

/// Half as long again as the longest work of this kind of request in the site file, 540 ms, as at a slower leaf.
static constexpr milliseconds workTime { 800 };
static constexpr milliseconds deadline { 6000 };
/// Three times the validity of a directory answer, for which some clients keep it.
static constexpr milliseconds directoryKept { 6000 };
static constexpr milliseconds requestInterval { 60 };
static constexpr milliseconds graceTime { 6000 };
/// Requests sent no later than this after the signal are excused when their leaf is still at work at the end.
static constexpr milliseconds excusedTime { 3000 };
static constexpr std::size_t machineCount = 3;
static constexpr std::size_t leafCount = 4;

int main(int, char** arguments)
{
    record to { std::string { arguments[1] } + "/record.txt" };
    small_deployment deployment { machineCount, arguments[2] };
    deployment.addLeafs("kitchen-desk", leafCount, { .workTime = [](auto const&) { return workTime; } }, to);
    deployment.configure(7, { single_route { .kind = "non_idempotent", .attempts = 2 } }, {});
    if (!deployment.startAll()) {
        std::cerr << "the machines did not become ready\n";
        return exitNotRun;
    }
    // Time for the machines to find each other.
    std::this_thread::sleep_for(std::chrono::seconds { 4 });
    auto const addresses = resolve(deployment.machine(0).directory(), small_deployment::host, small_deployment::zone(0));
    auto const resolvedAt = clock::now();
    auto& stopped = deployment.machine(0);
    to.write("directory answers with " + std::to_string(addresses.size()) + " addresses");
    if (std::find(addresses.begin(), addresses.end(), stopped.callers()) == addresses.end()) {
        std::cerr << "the directory does not name the machine\n";
        return exitNotRun;
    }
    std::this_thread::sleep_for(milliseconds { 100 });
    auto const stopAt = clock::now();
    if (isTroubleWanted()) {
        stopped.signal(SIGTERM);
        to.write("SIGTERM to " + stopped.name() + " at " + stopped.callers());
    }
    std::mutex mutex;
    std::vector<client_request> requests;
    std::vector<std::thread> clients;
    for (std::size_t count = 0; clock::now() < resolvedAt + directoryKept; ++count) {
        auto const& machine = addresses[count % addresses.size()];
        clients.emplace_back([&, count, machine] {
            connection fresh;
            auto const target = "/timi402/" + std::to_string(count);
            auto sent = send(fresh, machine, "POST", target, "a" + std::to_string(count), deadline, "order", to);
            std::lock_guard const lock(mutex);
            requests.push_back(std::move(sent));
        });
        std::this_thread::sleep_for(requestInterval);
    }
    for (auto& each : clients)
        each.join();
    if (isTroubleWanted())
        to.write(stopped.waitForEnd(stopAt + graceTime + milliseconds { 2000 }) ? "the machine's process has ended" : "the machine's process still runs");
    auto const runs = deployment.runs();
    std::size_t lost = 0;
    std::size_t answered = 0;
    for (auto const& each : requests) {
        answered += each.end == outcome::answered && each.status == 200 ? 1 : 0;
        bool const wasPassedOn = std::any_of(runs.begin(), runs.end(), [&](auto const& run) { return run.attemptId == each.attemptId; });
        bool const isOfStop = each.machine == stopped.callers() && each.sentAt > stopAt + excusedTime && each.sentAt < stopAt + graceTime + milliseconds { 1000 };
        if (each.end != outcome::cut || !wasPassedOn || !isOfStop)
            continue;
        ++lost;
        to.write("LOST " + each.attemptId + ": sent " + std::to_string(to.seconds(each.sentAt) - to.seconds(stopAt)) + " s after SIGTERM, run by a leaf, cut " + std::to_string(to.seconds(each.endedAt) - to.seconds(each.sentAt)) + " s later");
    }
    to.write(std::to_string(requests.size()) + " requests, " + std::to_string(answered) + " answered with 200, " + std::to_string(lost) + " lost");
    std::cout << requests.size() << " requests, " << answered << " answered with 200, " << lost << " lost\n";
    if (answered == 0)
        return exitNotRun;
    return lost > 0 ? exitBroken : exitHeld;
}
