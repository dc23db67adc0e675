// Entries of another writer among those of the leafs, which must neither end daemons nor keep them from following the list.

#include "Tests/Support/http_call.h"
#include "Tests/Support/small_edge_fleet.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::small_edge_fleet;
using tests::waitUntil;

namespace {

std::string nest(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Depths at and around the limits of the parsers, of the store's replies and of the messages between daemons.
std::vector<std::string> makeOddContents()
{
    std::vector<std::string> contents { "1e999", R"({"address":"\udcff"})", "{\"address\":\"\xff\"}" };
    for (std::size_t const depth : { 16, 17, 24, 25, 26, 27, 28, 29, 30, 31, 32, 33, 100'000 })
        contents.push_back(nest(depth));
    for (auto const* const address : { R"("127.0.0.1:70000")", R"("127.0.0.1:0")", R"("127.0.0.1:1")" })
        contents.push_back(std::string { R"({"service":"desk","address":)" } + address + R"(,"zone":"here","version":"v1","max_concurrency":18446744073709551615,"state":"ready","warmup_left_ms":1e300,"sequence":1})");
    return contents;
}

}

TEST_GROUP(OddStoreEntries)
{
    /// Daemons of one data centre, most of which hear of the leafs from those that read the store.
    small_edge_fleet fleet { 5 };

    std::string sealAt(std::size_t daemon, std::string const& id)
    {
        return fleet.post(daemon, "/single/a", id, "order").header("Zinnialedge-Server-Seal");
    }

    bool allUse(std::string const& leaf)
    {
        return waitUntil([&] {
            for (std::size_t index = 0; index < fleet.daemonCount(); ++index) {
                for (auto const* const id : { "a", "b", "c" }) {
                    if (sealAt(index, id) != "seal-" + leaf)
                        return false;
                }
            }
            return true;
        },
            8s);
    }

    void putOddEntries()
    {
        std::size_t number = 0;
        for (auto const& content : makeOddContents())
            fleet.store().putText("servers", "desk-odd" + std::to_string(number++), content);
    }
};

// Guards against daemons that end, or follow the list of leafs no longer, since one entry can't be read.
TEST(OddStoreEntries, RunningDaemonsFollowTheList)
{
    for (auto const& content : makeOddContents()) {
        fleet.store().putText("servers", "desk-odd", content);
        fleet.removeLeaf("desk1");
        CHECK_TEXT(allUse("desk0"), content.substr(0, 200).c_str());
        fleet.registerLeaf("desk1", "desk", fleet.desk1.place());
        fleet.removeLeaf("desk0");
        CHECK_TEXT(allUse("desk1"), content.substr(0, 200).c_str());
        fleet.registerLeaf("desk0", "desk", fleet.desk0.place());
    }
    for (std::size_t index = 0; index < fleet.daemonCount(); ++index)
        CHECK_FALSE(fleet.daemon(index).process->waitForExit(0ms).has_value());
}

// Guards against daemons that do not become ready while such entries lie in the store.
TEST(OddStoreEntries, DaemonsThatStartBecomeReady)
{
    putOddEntries();
    for (std::size_t index = 0; index < fleet.daemonCount(); ++index)
        fleet.daemon(index).process.reset();
    for (std::size_t index = 0; index < fleet.daemonCount(); ++index)
        fleet.start(index);
    CHECK(waitUntil([&] { return fleet.waitUntilReady(); }, 10s));
    fleet.removeLeaf("desk1");
    CHECK(allUse("desk0"));
}

// Guards against: daemons forget all leafs when the store answers a listing with an empty page that is not the last one.
TEST(OddStoreEntries, AnEmptyPageThatHasMoreRemovesNoLeafs)
{
    auto const isServed = [&](std::string const& id) {
        for (std::size_t index = 0; index < fleet.daemonCount(); ++index) {
            if (fleet.post(index, "/single/a", id, "order").status != 200 || fleet.get(index, "/gather/a", id).status != 200)
                return false;
        }
        return true;
    };
    CHECK(isServed("a"));
    fleet.store().setFaultMode(tests::store_stand_in::trouble::empty_pages);
    fleet.store().discardHistory();
    CHECK_FALSE(waitUntil([&] { return !isServed("b"); }, 6s));
    fleet.store().setFaultMode(tests::store_stand_in::trouble::none);
    fleet.removeLeaf("desk1");
    CHECK(allUse("desk0"));
}

// Guards against: daemons that ask a store again at once, so that they spend all reads that the fleet may make.
TEST(OddStoreEntries, AStoreThatHoldsNoWatchIsAskedAtAModerateRate)
{
    using trouble = tests::store_stand_in::trouble;
    // A tenth of the rate that the settings of the fleet allow.
    static constexpr std::size_t moderateReadsPerSecond = 200;
    for (auto const mode : { trouble::hasty, trouble::forgetful }) {
        fleet.store().setFaultMode(mode);
        fleet.store().put("config", "other", mode == trouble::hasty ? "hasty" : "forgetful");
        fleet.removeLeaf("desk1");
        CHECK(allUse("desk0"));
        auto const callCount = fleet.store().callCount();
        std::this_thread::sleep_for(3s);
        auto const readsPerSecond = (fleet.store().callCount() - callCount) / 3;
        CHECK_TEXT(readsPerSecond <= moderateReadsPerSecond, ("reads per second: " + std::to_string(readsPerSecond)).c_str());
        fleet.registerLeaf("desk1", "desk", fleet.desk1.place());
        fleet.removeLeaf("desk0");
        CHECK(allUse("desk1"));
        fleet.registerLeaf("desk0", "desk", fleet.desk0.place());
    }
}

TEST_GROUP(EmptyStore) {};

// An empty list of leafs is an answer: requests are rejected as not run, and the first leaf is used as soon as it is there.
TEST(EmptyStore, RequestsAreRejectedAtOnceWhileThereAreNoLeafs)
{
    tests::edge_fleet fleet { 1 };
    fleet.declare(1, 4, true);
    fleet.start(0);
    tests::scripted_leaf leaf { tests::replySuccessfully };
    for (int round = 0; round < 2; ++round) {
        CHECK(waitUntil([&] { return fleet.get(0, "/single/a", "a").status == 503; }, 10s));
        auto const startedAt = std::chrono::steady_clock::now();
        auto const answer = fleet.get(0, "/single/b", "b");
        LONGS_EQUAL(503, answer.status);
        CHECK(!answer.header("Retry-After").empty());
        CHECK(std::chrono::steady_clock::now() - startedAt < 500ms);
        fleet.registerLeaf("leaf", "desk", leaf.place());
        CHECK(fleet.waitUntilReady());
        CHECK(waitUntil([&] { return fleet.get(0, "/single/c", "c").status == 200; }, 10s));
        fleet.removeLeaf("leaf");
    }
}
