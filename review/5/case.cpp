// The store is silent to two of five machines for a second and then answers again. Leafs that leave seconds later must not get requests from
// any machine later than drain_ms after the store has accepted that they leave.

#include "review/support/client.h"
#include "review/support/deployment.h"
#include <algorithm>
#include <iostream>

using namespace review;

static constexpr milliseconds deadline { 6000 };
static constexpr milliseconds heartbeat { 1200 };
static constexpr milliseconds silence { 1000 };
static constexpr milliseconds stableWindow { 4000 };
static constexpr milliseconds margin { 1000 };
static constexpr milliseconds drainTime { 3000 };
/// Time for which leafs go on serving after `drainTime`.
static constexpr milliseconds furtherServing { 2500 };
static constexpr std::size_t machineCount = 5;
static constexpr std::size_t silencedCount = 2;
static constexpr std::size_t leafCount = 4;
static constexpr std::size_t trialCount = 5;
static constexpr std::size_t requestsPerMachine = 12;

/// Sends requests to each machine over a kept connection.
static void sendRequests(small_deployment& deployment, std::string const& name, std::vector<client_request>& requests, record& to)
{
    std::mutex mutex;
    std::vector<std::thread> clients;
    clients.reserve(machineCount);
    for (std::size_t machine = 0; machine < machineCount; ++machine) {
        clients.emplace_back([&, machine] {
            connection kept;
            for (std::size_t count = 0; count < requestsPerMachine; ++count) {
                auto const id = name + "." + std::to_string(machine) + "." + std::to_string(count);
                auto sent = send(kept, deployment.machine(machine).callers(), "GET", "/timi402/" + id, id, deadline, {}, to);
                std::lock_guard const lock(mutex);
                requests.push_back(std::move(sent));
            }
        });
    }
    for (auto& each : clients)
        each.join();
}

int main(int, char** arguments)
{
    record to { std::string { arguments[1] } + "/record.txt" };
    small_deployment deployment { machineCount, arguments[2] };
    deployment.addLeafs("kitchen-desk", leafCount, {}, to);
    deployment.configure(7, { single_route {} }, {});
    std::mutex leafsMutex;
    std::atomic<bool> areBeating { true };
    std::thread heart { [&] {
        while (areBeating) {
            std::size_t count = leafCount;
            for (std::size_t index = 0; index < count && areBeating; ++index) {
                {
                    std::lock_guard const lock(leafsMutex);
                    count = deployment.leafs().size();
                    if (deployment.platform().contains("servers", deployment.leafs()[index]->id()))
                        deployment.leafs()[index]->beat();
                }
                std::this_thread::sleep_for(heartbeat / count);
            }
        }
    } };
    std::vector<client_request> requests;
    std::size_t late = 0;
    bool const isReady = deployment.startAll();
    // Time for the machines to find each other.
    std::this_thread::sleep_for(std::chrono::seconds { 4 });
    for (std::size_t trial = 0; trial < trialCount && isReady; ++trial) {
        auto const name = "t" + std::to_string(trial);
        sendRequests(deployment, name + "before", requests, to);
        for (std::size_t index = 0; index < silencedCount && isTroubleWanted(); ++index) {
            auto const machine = (trial * silencedCount + index) % machineCount;
            deployment.platform().setSilent(deployment.storeAddressOf(machine), true);
            to.write("the store is silent to " + deployment.machine(machine).name());
        }
        std::this_thread::sleep_for(silence);
        for (std::size_t machine = 0; machine < machineCount; ++machine)
            deployment.platform().setSilent(deployment.storeAddressOf(machine), false);
        to.write("the store answers all machines");
        std::this_thread::sleep_for(stableWindow + margin);
        leaf* leaving = nullptr;
        {
            std::lock_guard const lock(leafsMutex);
            // A machine prefers the leafs of its zone, so a leaf in that of the first machine is replaced.
            auto const zone = small_deployment::zone(trial * silencedCount % machineCount);
            leaving = std::find_if(deployment.leafs().begin(), deployment.leafs().end(), [&](auto const& each) { return each->zone() == zone && !each->isLeaving(); })->get();
            deployment.addLeafs("kitchen-desk", 1, { .zone = zone }, to);
            leaving->drain();
        }
        auto const acceptedAt = clock::now();
        to.write("the store has accepted that " + leaving->id() + " leaves");
        std::this_thread::sleep_until(acceptedAt + drainTime + margin);
        sendRequests(deployment, name + "after", requests, to);
        std::this_thread::sleep_until(acceptedAt + drainTime + furtherServing);
        {
            std::lock_guard const lock(leafsMutex);
            leaving->stop();
            deployment.platform().remove("servers", leaving->id());
        }
        for (auto const& run : leaving->runs()) {
            if (run.beganAt <= acceptedAt + drainTime)
                continue;
            ++late;
            to.write("DRAIN " + run.leaf + " got " + run.attemptId + " " + std::to_string(to.seconds(run.beganAt) - to.seconds(acceptedAt)) + " s after the store had accepted that it leaves");
        }
    }
    areBeating = false;
    heart.join();
    auto const served = std::count_if(requests.begin(), requests.end(), [](auto const& each) { return each.end == outcome::answered && each.status == 200; });
    to.write(std::to_string(requests.size()) + " requests, " + std::to_string(served) + " answered with 200, " + std::to_string(late) + " at leafs that had left");
    std::cout << requests.size() << " requests, " << served << " answered with 200, " << late << " at leafs that had left\n";
    if (!isReady || served == 0)
        return exitNotRun;
    return late > 0 ? exitBroken : exitHeld;
}
