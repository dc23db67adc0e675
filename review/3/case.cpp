// The machines get SIGTERM and start again in turn, while clients go on with a directory answer that still holds. Requests that a machine
// reads and passes on late in its stop must be answered.

#include "review/support/client.h"
#include "review/support/deployment.h"
#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>

using namespace review;

/// The longest work of this kind of request in the site file.
static constexpr milliseconds workTime { 540 };
static constexpr milliseconds deadline { 6000 };
/// Validity of a directory answer.
static constexpr milliseconds directoryValidity { 2000 };
/// One in this many requests is of a client that keeps a directory answer for three times its validity.
static constexpr std::size_t patientClients = 2;
/// Three times the validity of a directory answer, for which some clients keep it.
static constexpr milliseconds directoryKept { 6000 };
static constexpr milliseconds requestInterval { 40 };
static constexpr milliseconds graceTime { 6000 };
/// Requests sent no later than this after the signal are excused when their leaf is still at work at the end.
static constexpr milliseconds excusedTime { 3000 };
static constexpr std::size_t machineCount = 3;
static constexpr std::size_t leafCount = 4;
static constexpr std::size_t stopCount = 14;
static constexpr milliseconds readyLimit { 5000 };
static constexpr milliseconds checkInterval { 100 };

/// Asks a directory until it names the machine; returns nothing when it doesn't in time.
static std::vector<std::string> resolveUntilNamed(edge_process const& directory, edge_process const& machine)
{
    auto const until = clock::now() + readyLimit;
    while (clock::now() < until) {
        auto addresses = resolve(directory.directory(), small_deployment::host, small_deployment::zone(0));
        if (std::find(addresses.begin(), addresses.end(), machine.callers()) != addresses.end())
            return addresses;
        std::this_thread::sleep_for(checkInterval);
    }
    return {};
}

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
    std::mutex mutex;
    std::vector<client_request> requests;
    std::map<std::string, time_point> stops;
    std::size_t count = 0;
    for (std::size_t stop = 0; stop < stopCount; ++stop) {
        auto& stopped = deployment.machine(stop % machineCount);
        auto const& other = deployment.machine((stop + 1) % machineCount);
        auto const addresses = resolveUntilNamed(other, stopped);
        auto const resolvedAt = clock::now();
        if (addresses.empty()) {
            std::cerr << "the directory does not name the machine\n";
            return exitNotRun;
        }
        std::this_thread::sleep_for(checkInterval);
        auto const stopAt = clock::now();
        if (isTroubleWanted()) {
            stopped.signal(SIGTERM);
            to.write("SIGTERM to " + stopped.name() + " at " + stopped.callers());
        }
        std::vector<std::thread> clients;
        std::vector<std::string> newAddresses;
        for (; clock::now() < resolvedAt + directoryKept; ++count) {
            if (newAddresses.empty() && clock::now() >= resolvedAt + directoryValidity)
                newAddresses = resolve(other.directory(), small_deployment::host, small_deployment::zone(0));
            bool const isPatient = count % patientClients == 0 || newAddresses.empty();
            auto const& known = isPatient ? addresses : newAddresses;
            auto const machine = known[count / patientClients % known.size()];
            auto const id = "a" + std::to_string(count);
            if (machine == stopped.callers())
                stops[id] = stopAt;
            clients.emplace_back([&, id, machine] {
                connection fresh;
                auto sent = send(fresh, machine, "POST", "/timi402/" + id, id, deadline, "order", to);
                std::lock_guard const lock(mutex);
                requests.push_back(std::move(sent));
            });
            std::this_thread::sleep_for(requestInterval);
        }
        for (auto& each : clients)
            each.join();
        if (!isTroubleWanted())
            continue;
        to.write(stopped.waitForEnd(stopAt + graceTime + milliseconds { 2000 }) ? "the machine's process has ended" : "the machine's process still runs");
        stopped.start();
        if (!waitUntilReady({ &stopped }, readyLimit))
            return exitNotRun;
    }
    auto const runs = deployment.runs();
    std::size_t lost = 0;
    std::size_t answered = 0;
    for (auto const& each : requests) {
        answered += each.end == outcome::answered && each.status == 200 ? 1 : 0;
        bool const wasPassedOn = std::any_of(runs.begin(), runs.end(), [&](auto const& run) { return run.attemptId == each.attemptId; });
        auto const stop = stops.find(each.attemptId);
        bool const isOfStop = stop != stops.end() && each.sentAt > stop->second + excusedTime && each.sentAt < stop->second + graceTime + milliseconds { 1000 };
        if (each.end != outcome::cut || !wasPassedOn || !isOfStop)
            continue;
        ++lost;
        to.write("LOST " + each.attemptId + ": sent " + std::to_string(to.seconds(each.sentAt) - to.seconds(stop->second)) + " s after SIGTERM, run by a leaf, cut " + std::to_string(to.seconds(each.endedAt) - to.seconds(each.sentAt)) + " s later");
    }
    to.write(std::to_string(requests.size()) + " requests, " + std::to_string(answered) + " answered with 200, " + std::to_string(lost) + " lost");
    std::cout << requests.size() << " requests, " << answered << " answered with 200, " << lost << " lost\n";
    if (answered == 0)
        return exitNotRun;
    return lost > 0 ? exitBroken : exitHeld;
}
