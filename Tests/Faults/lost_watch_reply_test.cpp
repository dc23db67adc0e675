// Watches of the store whose replies are lost while the store answers all other calls.

#include "Tests/Support/http_call.h"
#include "Tests/Support/small_edge_fleet.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <boost/json/object.hpp>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::small_edge_fleet;
using tests::waitUntil;

namespace {

/// Time after which a leaf that leaves gets no requests, from the store's acknowledgement.
constexpr auto drainTime = 3s;
/// Time after which a configuration is in effect everywhere, from the store's acknowledgement.
constexpr auto configurationTime = 3s;
/// Enough that each daemon chooses each of two leafs, unless it knows that one leaves.
constexpr int requestsPerDaemon = 30;

std::size_t countOrders(small_edge_fleet const& fleet)
{
    auto const requests = fleet.desk0.requests();
    return static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(), [](auto const& each) { return each.starts_with("POST /single/"); }));
}

void sendOrders(small_edge_fleet& fleet, std::string const& prefix)
{
    for (std::size_t index = 0; index < fleet.daemonCount(); ++index) {
        for (int count = 0; count < requestsPerDaemon; ++count)
            LONGS_EQUAL(200, fleet.post(index, "/single/a", prefix + std::to_string(index) + "." + std::to_string(count), "order").status);
    }
}

/// Loses the replies to the watches of a kind, once all readers wait for changes.
void loseReplies(tests::edge_fleet& fleet, std::string const& kind, std::size_t readers)
{
    CHECK(waitUntil([&] { return fleet.store().pendingWatchCount(kind) == readers; }));
    fleet.store().losePendingWatches(kind);
}

/// Loses the replies to all watches of the leafs, and checks that a leaf that leaves gets no requests after the drain time.
void checkThatDrainingLeafIsLeft(small_edge_fleet& fleet, std::size_t readers)
{
    sendOrders(fleet, "before");
    CHECK(countOrders(fleet) > 0);
    loseReplies(fleet, "servers", readers);
    fleet.registerLeaf("desk0", "desk", fleet.desk0.place(), "draining");
    std::this_thread::sleep_for(drainTime);
    auto const ordersBefore = countOrders(fleet);
    sendOrders(fleet, "after");
    LONGS_EQUAL(ordersBefore, countOrders(fleet));
}

bool allHaveVersion(small_edge_fleet& fleet, std::uint64_t version)
{
    for (std::size_t index = 0; index < fleet.daemonCount(); ++index) {
        auto const state = tests::getJson(fleet.daemon(index).operators, "/state");
        if (!state.is_object() || state.at("services").at("fleet").at("configuration_version").to_number<std::uint64_t>() != version)
            return false;
    }
    return true;
}

}

TEST_GROUP(LostWatchReplies) {};

// Guards against requests to a leaf that has left, from daemons that go on waiting for a reply that was lost.
TEST(LostWatchReplies, DrainingLeafGetsNoRequestsAfterTheDrainTime)
{
    small_edge_fleet fleet { 3 };
    checkThatDrainingLeafIsLeft(fleet, fleet.daemonCount());
}

// Guards against subscribers that stay with the leafs of readers whose watches have lost their replies.
TEST(LostWatchReplies, SubscribersOfReadersLeaveADrainingLeaf)
{
    static constexpr std::size_t daemonsWithSubscribers = 8;
    static constexpr std::size_t readerCount = 2;
    small_edge_fleet fleet { daemonsWithSubscribers };
    // The daemons take their final roles some seconds after the start.
    CHECK(waitUntil([&] {
        std::size_t readers = 0;
        std::size_t substitutes = 0;
        for (std::size_t index = 0; index < daemonsWithSubscribers; ++index) {
            auto const state = tests::getJson(fleet.daemon(index).operators, "/state").at("services").at("fleet");
            bool const isReader = state.at("store_role").as_string() == "reader";
            readers += isReader ? 1 : 0;
            substitutes += !isReader && state.at("reads_store").as_bool() ? 1 : 0;
        }
        return readers == readerCount && substitutes == 0;
    },
        15s));
    checkThatDrainingLeafIsLeft(fleet, readerCount);
}

// Guards against a configuration that no daemon puts in effect, because the replies to all watches were lost.
TEST(LostWatchReplies, ConfigurationTakesEffectInTime)
{
    small_edge_fleet fleet { 3 };
    loseReplies(fleet, "config", fleet.daemonCount());
    fleet.declare(2, 4, false);
    CHECK(waitUntil([&] { return allHaveVersion(fleet, 2); }, configurationTime));
}

// Guards against an evacuation of which no daemon learns, because the replies to all watches were lost.
TEST(LostWatchReplies, EvacuationTakesEffectInTime)
{
    static constexpr auto evacuationTime = 5s;
    tests::edge_fleet fleet { 2 };
    tests::scripted_leaf const leaf { tests::replySuccessfully };
    fleet.registerLeaf("desk0", "desk", leaf.place());
    fleet.declare(1, 1, false);
    for (std::size_t index = 0; index < fleet.daemonCount(); ++index) {
        fleet.replaceSetting(index, "evacuations", true);
        fleet.start(index);
    }
    CHECK(fleet.waitUntilReady());
    loseReplies(fleet, "evacuations", fleet.daemonCount());
    fleet.store().put("evacuations", "there", boost::json::object {});
    CHECK(waitUntil([&] {
        for (std::size_t index = 0; index < fleet.daemonCount(); ++index) {
            auto const state = tests::getJson(fleet.daemon(index).operators, "/state");
            if (!state.is_object() || state.at("services").at("fleet").at("evacuations").as_array().size() != 1)
                return false;
        }
        return true;
    },
        evacuationTime));
}
