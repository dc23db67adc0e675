// A request that crashes leafs comes again after all machines of the system were killed at the same moment.

#include "review/support-3/deployment.h"
#include <iostream>
#include <map>
#include <set>
#include <thread>

using namespace zinnialedge::review;
using namespace zinnialedge;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr int exitHeld = 0;
static constexpr int exitBroken = 1;
static constexpr int exitNotRun = 2;

static constexpr seconds stableWindow { 4 };
/// A leaf that has crashed is back after some seconds.
static constexpr seconds leafDownTime { 3 };
static constexpr seconds poisonInterval { 7 };
static constexpr int poisonCount = 9;
static constexpr seconds killAt { 22 };
static constexpr seconds killedFor { 1 };
static constexpr milliseconds ordinaryInterval { 100 };
/// The rule allows this many retries.
static constexpr std::size_t allowedRetries = 3;
static constexpr char const* poisonPath = "/desk/poison";

/// One try of the request that crashes leafs.
struct poison_try {
    steady::time_point sentAt;
    /// Whether all machines had been undisturbed for the stable window when the try was sent.
    bool wereMachinesInTouch { false };
};

int main(int /*argumentCount*/, char** arguments)
{
    record_file record { arguments[1] };
    std::mutex mutex;
    std::vector<steady::time_point> crashes;
    std::set<std::string> triesAtLeafs;
    deployment system { record, { "suva-north", "suva-north", "suva-south", "nausori", "lami" }, [&](leaf_server const& leaf, leaf_request const& request, std::string reply) {
                           static constexpr milliseconds workTime { 20 };
                           tests::scripted_reply scripted { std::move(reply) };
                           scripted.runTime = workTime;
                           if (request.target != poisonPath)
                               return scripted;
                           std::lock_guard const lock(mutex);
                           crashes.push_back(steady::now());
                           triesAtLeafs.insert(request.attemptId);
                           record.write("leaf " + leaf.id + " runs " + request.attemptId + " and crashes");
                           scripted.downTime = leafDownTime;
                           return scripted;
                       } };
    for (auto const* const zone : { "suva-north", "suva-south", "nausori", "lami" }) {
        system.addLeaf("kitchen-desk", zone);
        system.addLeaf("billing-ledger", zone);
    }
    system.configure(makeConfiguration(1, { serviceRoute("order-status", "/desk/", "idempotent", "kitchen-desk"), serviceRoute("invoices", "/ledger/", "idempotent", "billing-ledger") }, { "kitchen-desk", "billing-ledger" }));
    system.startAll();
    if (!system.waitUntilReady()) {
        record.write("the machines did not become ready");
        return exitNotRun;
    }
    // Traffic starts 10 s after the machines do.
    std::this_thread::sleep_for(seconds { 5 });

    std::atomic<bool> isOver { false };
    std::thread ordinary { [&] {
        for (std::size_t number = 0; !isOver; ++number) {
            auto const path = (number % 2 == 0 ? "/desk/order" : "/ledger/invoice") + std::to_string(number);
            system.send(number % system.machines().size(), { .path = path, .attemptId = "ordinary" + std::to_string(number), .timeout = milliseconds { 500 } });
            std::this_thread::sleep_for(ordinaryInterval / 5);
        }
    } };
    std::thread renewal { [&] {
        while (!isOver) {
            system.renewLeafs();
            std::this_thread::sleep_for(milliseconds { 20 });
        }
    } };

    std::map<std::string, poison_try> tries;
    auto const beganAt = steady::now();
    bool hasKilled = !isTroubleWanted();
    for (int number = 0; number < poisonCount; ++number) {
        auto const sendAt = beganAt + number * poisonInterval;
        if (!hasKilled && sendAt > beganAt + killAt) {
            hasKilled = true;
            std::this_thread::sleep_until(beganAt + killAt);
            for (std::size_t index = 0; index < system.machines().size(); ++index)
                system.kill(index);
            std::this_thread::sleep_for(killedFor);
            system.startAll();
        }
        std::this_thread::sleep_until(sendAt);
        auto const attemptId = "poison" + std::to_string(number);
        poison_try sent { steady::now(), true };
        for (auto const& each : system.machines())
            sent.wereMachinesInTouch = sent.wereMachinesInTouch && sent.sentAt - each.disturbedAt > stableWindow;
        tries[attemptId] = sent;
        auto const index = static_cast<std::size_t>(number) % system.machines().size();
        record.write("client sends " + attemptId + " to " + system.machines()[index].name + (sent.wereMachinesInTouch ? " (all machines in touch)" : ""));
        auto const answer = system.send(index, { .path = poisonPath, .attemptId = attemptId, .timeout = seconds { 2 } });
        record.write("answer to " + attemptId + ": " + std::to_string(answer.status));
    }
    isOver = true;
    ordinary.join();
    renewal.join();

    std::lock_guard const lock(mutex);
    if (crashes.size() < 3) {
        record.write("fewer than three crashes");
        return exitNotRun;
    }
    std::size_t retries = 0;
    for (auto const& [attemptId, sent] : tries)
        retries += triesAtLeafs.contains(attemptId) && sent.wereMachinesInTouch && sent.sentAt > crashes[2] + stableWindow ? 1 : 0;
    auto const verdict = "retries that reached leafs, sent by machines in touch later than the stable window after the third crash: " + std::to_string(retries) + " (allowed: " + std::to_string(allowedRetries) + "); leafs crashed: " + std::to_string(crashes.size());
    record.write(verdict);
    std::cout << verdict << "\n";
    return retries > allowedRetries ? exitBroken : exitHeld;
}
