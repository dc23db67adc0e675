#include "Tests/Support/http_call.h"
#include "Tests/Support/small_edge_fleet.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <boost/json/object.hpp>
#include <cstdio>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::small_edge_fleet;
using tests::store_stand_in;
using tests::waitUntil;

namespace {

/// More daemons than may all read the store.
constexpr std::size_t manyDaemons = 20;
constexpr std::size_t readerCount = 2;
/// A reader makes about 0.7 calls a second: a probe each 2 s, a list of the daemons each 15 s and two watches each 20 s.
constexpr std::size_t callsPerReader = 8;
constexpr auto countedWindow = 6s;

struct readers_fleet : small_edge_fleet {
    readers_fleet()
        : small_edge_fleet(manyDaemons, true)
    {
    }

    boost::json::object stateOf(std::size_t index)
    {
        auto const state = tests::getJson(daemon(index).operators, "/state");
        auto const* const services = state.is_object() ? state.as_object().if_contains("services") : nullptr;
        return services ? services->at("fleet").as_object() : boost::json::object {};
    }

    std::vector<std::size_t> runningDaemons()
    {
        std::vector<std::size_t> running;
        for (std::size_t index = 0; index < manyDaemons; ++index) {
            if (daemon(index).process)
                running.push_back(index);
        }
        return running;
    }

    /// Returns the daemons that read the store. A daemon without an answer counts as one.
    std::vector<std::size_t> findReaders()
    {
        std::vector<std::size_t> readers;
        for (auto const index : runningDaemons()) {
            auto const state = stateOf(index);
            if (!state.contains("reads_store") || state.at("reads_store").as_bool())
                readers.push_back(index);
        }
        return readers;
    }

    bool isReader(std::size_t index)
    {
        auto const state = stateOf(index);
        return state.contains("store_role") && state.at("store_role").as_string() == "reader";
    }

    /// Waits until exactly the daemons with the role of a reader read the store.
    bool waitUntilFewRead(std::chrono::seconds bound)
    {
        return waitUntil(
            [this] {
                auto const readers = findReaders();
                return readers.size() == readerCount && std::all_of(readers.begin(), readers.end(), [this](auto index) { return isReader(index); });
            },
            bound);
    }

    bool allHave(std::string const& field, std::uint64_t value)
    {
        auto const running = runningDaemons();
        return std::all_of(running.begin(), running.end(), [&](auto index) {
            auto const state = stateOf(index);
            return state.contains(field) && state.at(field).template to_number<std::uint64_t>() == value;
        });
    }

    std::size_t countCalls(std::chrono::seconds window)
    {
        auto const before = store().callCount();
        std::this_thread::sleep_for(window);
        return store().callCount() - before;
    }
};

}

TEST_GROUP(EdgeStoreReaders) {};

// Guards against: the calls to the store, which have a price each, grow with the number of daemons.
TEST(EdgeStoreReaders, CallsToTheStoreDoNotGrowWithTheDaemons)
{
    readers_fleet fleet;
    auto const callsAtStart = fleet.store().callCount();
    CHECK(fleet.waitUntilFewRead(15s));
    auto const calls = fleet.countCalls(countedWindow);
    std::printf("%zu daemons: %zu calls until all were ready, %zu in %ld s\n", manyDaemons, callsAtStart, calls, static_cast<long>(countedWindow.count()));
    CHECK(calls <= readerCount * callsPerReader);
    // Each change reaches the subscribers without calls of their own.
    fleet.declare(2, 4, true);
    CHECK(waitUntil([&] { return fleet.allHave("configuration_version", 2); }, 2s));
    fleet.registerLeaf("desk2", "desk", fleet.desk0.place());
    CHECK(waitUntil([&] { return fleet.allHave("leafs", 7); }, 2s));
    fleet.removeLeaf("desk2");
    CHECK(waitUntil([&] { return fleet.allHave("leafs", 6); }, 4s));
}

// Guards against: the loss of all readers leaves the subscribers with an old configuration, or makes all of them read the store for good.
TEST(EdgeStoreReaders, LostReadersAreReplaced)
{
    readers_fleet fleet;
    CHECK(fleet.waitUntilFewRead(15s));
    for (auto const reader : fleet.findReaders())
        fleet.daemon(reader).process.reset();
    fleet.declare(2, 4, true);
    CHECK(waitUntil([&] { return fleet.allHave("configuration_version", 2); }, 2s));
    CHECK(fleet.waitUntilFewRead(15s));
    CHECK(fleet.countCalls(countedWindow) <= readerCount * callsPerReader);
    // 18 daemons are left, enough for a few of them to read for the others. A reader that stops answering keeps its connections open.
    auto const readers = fleet.findReaders();
    auto const frozen = std::move(fleet.daemon(readers.front()).process);
    frozen->signal(SIGSTOP);
    fleet.declare(3, 4, true);
    CHECK(waitUntil([&] { return fleet.allHave("configuration_version", 3); }, 4s));
    frozen->signal(SIGCONT);
}

// Guards against: after all daemons were killed together, they wait for each other.
TEST(EdgeStoreReaders, DaemonsKilledTogetherAreReadySoon)
{
    readers_fleet fleet;
    CHECK(fleet.waitUntilFewRead(15s));
    for (auto const index : fleet.runningDaemons())
        fleet.daemon(index).process.reset();
    fleet.declare(2, 4, true);
    for (std::size_t index = 0; index < manyDaemons; ++index)
        fleet.start(index);
    CHECK(waitUntil([&] { return fleet.allHave("configuration_version", 2); }, 4s));
    CHECK(fleet.waitUntilReady());
    CHECK(fleet.waitUntilFewRead(15s));
}

// Guards against: after an outage of the store, and its return from an older copy, subscribers keep what the readers have replaced.
TEST(EdgeStoreReaders, SubscribersFollowAStoreThatReturns)
{
    readers_fleet fleet;
    CHECK(fleet.waitUntilFewRead(15s));
    fleet.store().setFaultMode(store_stand_in::trouble::busy);
    std::this_thread::sleep_for(5s);
    LONGS_EQUAL(200, fleet.get(0, "/gather/a", "a1").status);
    fleet.store().setFaultMode(store_stand_in::trouble::none);
    fleet.declare(2, 4, true);
    CHECK(waitUntil([&] { return fleet.allHave("configuration_version", 2); }, 5s));
    CHECK(fleet.waitUntilFewRead(15s));
    fleet.store().restoreCopy();
    CHECK(waitUntil([&] { return fleet.allHave("store_era", fleet.store().era()); }, 5s));
    CHECK(fleet.allHave("configuration_version", 2));
    fleet.declare(3, 4, true);
    fleet.registerLeaf("desk2", "desk", fleet.desk0.place());
    CHECK(waitUntil([&] { return fleet.allHave("configuration_version", 3) && fleet.allHave("leafs", 7); }, 5s));
}
