#include "Tests/Support/edge_fleet.h"
#include "Tests/Support/http_call.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::edge_fleet;
using tests::fleet_store;
using tests::raw_leaf;
using tests::raw_reply;
using tests::rawHeader;
using tests::sealedReply;
using tests::waitUntil;

namespace {

raw_reply answerWell(std::string const& request)
{
    return { sealedReply(request, std::string(16, 'a') + std::string(16, 'c')), false, false };
}

/// A fleet with one leaf for each of four shards and two leafs for the service "desk".
struct small_fleet : edge_fleet {
    explicit small_fleet(std::size_t daemons, bool isSingleRepeatable = false)
        : edge_fleet(daemons)
    {
        for (std::size_t shard = 0; shard < 4; ++shard) {
            shards.push_back(std::make_unique<raw_leaf>(answerWell));
            writeLeaf("leaf" + std::to_string(shard), "shard" + std::to_string(shard), shards.back()->place());
        }
        writeLeaf("desk0", "desk", desk0.place());
        writeLeaf("desk1", "desk", desk1.place());
        declare(1, 4, isSingleRepeatable);
        for (std::size_t index = 0; index < daemons; ++index)
            start(index);
        VERIFY(waitUntilReady());
    }

    std::vector<std::unique_ptr<raw_leaf>> shards;
    raw_leaf desk0 { answerWell };
    raw_leaf desk1 { answerWell };
};

}

TEST_GROUP(EdgeFleet) {};

TEST(EdgeFleet, ACalmRequestOfEachKindIsServedThroughTheDirectory)
{
    small_fleet fleet { 2 };
    CHECK(waitUntil([&] { return fleet.addressesFrom(0).size() == 2 && fleet.addressesFrom(1).size() == 2; }));
    auto const whole = fleet.get(0, "/gather/a", "a1");
    LONGS_EQUAL(200, whole.status);
    STRCMP_EQUAL("0", whole.header("Zinnialedge-Missing-Parts").c_str());
    LONGS_EQUAL(3, std::count(whole.head.begin(), whole.head.end(), ','));
    STRCMP_EQUAL((std::string(64, 'c') + std::string(16, 'a')).c_str(), whole.body.c_str());
    auto const single = fleet.post(1, "/single/a", "a2", "an order");
    LONGS_EQUAL(200, single.status);
    CHECK(single.header("Zinnialedge-Server-Seal").starts_with("seal-desk"));
    LONGS_EQUAL(404, fleet.get(0, "/none/a", "a3").status);
}

TEST(EdgeFleet, ALeafThatLeavesWhileTheStoreIsSilentGetsNoNewWorkOnceItIsBack)
{
    small_fleet fleet { 1 };
    fleet.store().setTrouble(fleet_store::trouble::silent);
    std::this_thread::sleep_for(3s);
    fleet.store().setTrouble(fleet_store::trouble::none);
    fleet.writeLeaf("desk0", "desk", fleet.desk0.place(), "draining");
    // Waits until the drain time of the leaf has ended. The store has then answered for longer than the platform's window.
    std::this_thread::sleep_for(7s);
    auto const before = fleet.desk0.requests().size();
    for (int count = 0; count < 10; ++count)
        LONGS_EQUAL(200, fleet.post(0, "/single/a", "a" + std::to_string(count), "order").status);
    LONGS_EQUAL(before, fleet.desk0.requests().size());
}

TEST(EdgeFleet, ADaemonThatStartsWhileTheStoreIsDownLearnsFromItsPeers)
{
    small_fleet fleet { 2 };
    fleet.daemon(1).process.reset();
    fleet.store().setTrouble(fleet_store::trouble::busy);
    fleet.start(1);
    CHECK(waitUntil([&] { return fleet.isReady(1); }, 8s));
    LONGS_EQUAL(200, fleet.get(1, "/gather/a", "a1").status);
}

TEST(EdgeFleet, APlannedStopInterruptsNoRequest)
{
    small_fleet fleet { 2 };
    CHECK(waitUntil([&] { return fleet.addressesFrom(1).size() == 2; }));
    fleet.daemon(0).process->signal(SIGTERM);
    CHECK(waitUntil([&] { return !fleet.isReady(0); }, 1s));
    CHECK(waitUntil([&] { return fleet.addressesFrom(1).size() == 1; }, 1s));
    // Callers use a cached address after the directory has removed the address.
    auto const answer = fleet.post(0, "/single/a", "a1", "order");
    LONGS_EQUAL(200, answer.status);
    STRCMP_EQUAL("close", answer.header("Connection").c_str());
    auto const code = fleet.daemon(0).process->waitForExit(6s);
    CHECK(code.has_value());
    LONGS_EQUAL(0, *code);
}

TEST(EdgeFleet, AKilledDaemonLeavesTheDirectory)
{
    small_fleet fleet { 3 };
    CHECK(waitUntil([&] { return fleet.addressesFrom(1).size() == 3; }));
    fleet.daemon(0).process.reset();
    CHECK(waitUntil([&] { return fleet.addressesFrom(1).size() == 2; }, 4s));
}

TEST(EdgeFleet, AnOlderConfigurationNeverReplacesANewerOne)
{
    small_fleet fleet { 1 };
    fleet.declare(9, 4, false, "desk9");
    fleet.writeLeaf("desk9", "desk9", fleet.desk1.place());
    CHECK(waitUntil([&] { return fleet.post(0, "/single/a", "a1", "x").header("Zinnialedge-Server-Seal") == "seal-desk9"; }));
    fleet.declare(8, 4, false);
    std::this_thread::sleep_for(1s);
    STRCMP_EQUAL("seal-desk9", fleet.post(0, "/single/a", "a2", "x").header("Zinnialedge-Server-Seal").c_str());
}

TEST(EdgeFleet, AnUnusableConfigurationKeepsTheLastGoodOneAndIsLogged)
{
    small_fleet fleet { 1 };
    fleet.store().put("config", "main", { { "version", 2 }, { "routes", "none" } });
    CHECK(fleet.daemon(0).process->waitForLine("event=configuration_unusable").has_value());
    LONGS_EQUAL(200, fleet.get(0, "/gather/a", "a1").status);
}

TEST(EdgeFleet, AnEntryOfAnotherWriterNamesNoLeaf)
{
    small_fleet fleet { 1 };
    fleet.store().put("servers", "forged1", { { "service", "desk" }, { "address", 7 } });
    fleet.store().put("servers", "forged2", "nothing");
    fleet.removeLeaf("desk0");
    std::this_thread::sleep_for(1s);
    for (int count = 0; count < 5; ++count)
        STRCMP_EQUAL("seal-desk1", fleet.post(0, "/single/a", "a" + std::to_string(count), "x").header("Zinnialedge-Server-Seal").c_str());
}

TEST(EdgeFleet, DroppedHistoryMakesTheListBeReadAgain)
{
    small_fleet fleet { 1 };
    fleet.store().setTrouble(fleet_store::trouble::busy);
    std::this_thread::sleep_for(500ms);
    fleet.removeLeaf("desk0");
    fleet.store().dropHistory();
    fleet.store().setTrouble(fleet_store::trouble::none);
    std::this_thread::sleep_for(6s);
    for (int count = 0; count < 5; ++count)
        STRCMP_EQUAL("seal-desk1", fleet.post(0, "/single/a", "a" + std::to_string(count), "x").header("Zinnialedge-Server-Seal").c_str());
}

TEST(EdgeFleet, ShardsOfAnotherDataCentreComeThroughADaemonThere)
{
    edge_fleet fleet { 2 };
    fleet.moveDaemon(1, "there");
    raw_leaf near { answerWell };
    raw_leaf far { [](std::string const& request) { return raw_reply { sealedReply(request, std::string(16, 'z')), false, false }; } };
    for (std::size_t shard = 0; shard < 12; ++shard)
        fleet.writeLeaf("leaf" + std::to_string(shard), "shard" + std::to_string(shard), shard < 6 ? near.place() : far.place(), "ready", shard < 6 ? "here" : "there");
    fleet.declare(1, 12, false);
    fleet.start(0);
    fleet.start(1);
    CHECK(fleet.waitUntilReady());
    CHECK(fleet.daemon(0).process->waitForLine("relays=1").has_value());
    auto const whole = fleet.get(0, "/gather/a?b=c", "a1");
    LONGS_EQUAL(200, whole.status);
    STRCMP_EQUAL("0", whole.header("Zinnialedge-Missing-Parts").c_str());
    STRCMP_EQUAL(std::string(80, 'z').c_str(), whole.body.c_str());
    // A leaf receives the caller's request without any sign that the request was relayed.
    auto const request = far.requests().front();
    CHECK(request.starts_with("GET /gather/a?b=c HTTP/1.1\r\n"));
    STRCMP_EQUAL("a1", rawHeader(request, "Zinnialedge-Attempt-Id").c_str());
    CHECK(!rawHeader(request, "Zinnialedge-Deadline-Ms").empty());
    CHECK(request.find("X-Relay") == std::string::npos);
    LONGS_EQUAL(6, far.requests().size());
    // After the other daemon has been killed, this daemon calls the remote shards directly.
    fleet.daemon(1).process.reset();
    auto const direct = fleet.get(0, "/gather/a", "a2");
    LONGS_EQUAL(200, direct.status);
    STRCMP_EQUAL("0", direct.header("Zinnialedge-Missing-Parts").c_str());
}

TEST(EdgeFleet, WrongSettingsNameEveryWrongField)
{
    tests::child_process process { "zinnialedge-edge", { "--settings", "/dev/null" } };
    CHECK(process.waitForExit().value_or(0) == 2);
    CHECK(!process.lines().empty());
}

TEST(EdgeFleet, ChangedSettingsAreInForceWithoutASignal)
{
    small_fleet fleet { 1 };
    auto& process = *fleet.daemon(0).process;
    fleet.changeSetting(0, "extra_calls", { { "ratio", 0.1 }, { "window_s", 10 }, { "slack", 20 } });
    auto const line = process.waitForLine("event=settings_changed", 10s);
    CHECK(line.has_value());
    STRCMP_EQUAL("extra_calls", tests::fieldOf(*line, "in_force").c_str());
    LONGS_EQUAL(200, fleet.get(0, "/gather/a", "a1").status);
}

TEST(EdgeFleet, AfterASignalChangedSettingsAreInForceAtOnce)
{
    small_fleet fleet { 1 };
    auto& process = *fleet.daemon(0).process;
    fleet.changeSetting(0, "stop_time_s", 4);
    process.signal(SIGHUP);
    CHECK(process.waitForLine("event=settings_changed in_force=stop_time_s", 1500ms).has_value());
    auto const begun = std::chrono::steady_clock::now();
    process.signal(SIGTERM);
    CHECK(process.waitForExit() == 0);
    CHECK(std::chrono::steady_clock::now() - begun < 4s);
}

TEST(EdgeFleet, WrongNewSettingsAreNamedAndThePresentOnesStayInForce)
{
    small_fleet fleet { 1 };
    auto& process = *fleet.daemon(0).process;
    fleet.changeSetting(0, "store_rates", { { "reads_per_s", "many" } });
    process.signal(SIGHUP);
    auto const line = process.waitForLine("event=settings_wrong", 3s);
    CHECK(line.has_value());
    CHECK(line->find("reads_per_s") != std::string::npos);
    LONGS_EQUAL(200, fleet.get(0, "/gather/a", "a1").status);
}

TEST(EdgeFleet, ARegistrationThatAnotherDaemonRemovedIsWrittenAgain)
{
    small_fleet fleet { 1 };
    CHECK(waitUntil([&] { return fleet.store().find("daemons", "daemon0").has_value(); }));
    fleet.store().erase("daemons", "daemon0");
    CHECK(waitUntil([&] { return fleet.store().find("daemons", "daemon0").has_value(); }));
}

TEST(EdgeFleet, TheEndOfEachFailedRequestIsLoggedHoweverManyCallsBreak)
{
    small_fleet fleet { 1 };
    raw_leaf resetting { [](std::string const&) { return raw_reply { {}, false, true }; } };
    for (std::size_t shard = 0; shard < 4; ++shard)
        fleet.writeLeaf("leaf" + std::to_string(shard), "shard" + std::to_string(shard), resetting.place());
    CHECK(waitUntil([&] { return fleet.get(0, "/gather/a", "first").status == 502; }));
    std::this_thread::sleep_for(1100ms);
    for (int count = 0; count < 30; ++count)
        CHECK(fleet.get(0, "/gather/a", "request" + std::to_string(count)).status >= 500);
    for (int count = 0; count < 30; ++count)
        CHECK(fleet.daemon(0).process->waitForLine("event=request_ended id=request" + std::to_string(count) + " ", 3s).has_value());
}
