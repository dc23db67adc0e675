#include "Tests/Support/http_call.h"
#include "Tests/Support/small_edge_fleet.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::edge_fleet;
using tests::rawHeaderValue;
using tests::replySuccessfully;
using tests::scripted_leaf;
using tests::scripted_reply;
using tests::sealedReply;
using tests::small_edge_fleet;
using tests::store_stand_in;
using tests::waitUntil;

TEST_GROUP(EdgeFleet) {};

TEST(EdgeFleet, RequestsOfEachKindAreServedByDaemonsInTheDirectory)
{
    small_edge_fleet fleet { 2 };
    CHECK(waitUntil([&] { return fleet.resolveAddresses(0).size() == 2 && fleet.resolveAddresses(1).size() == 2; }));
    // On a machine that is overloaded a leaf of the test may reply after the objective, at which the daemon answers without its shard.
    tests::caller_answer gatherAnswer;
    auto const isComplete = [&, count = 0]() mutable {
        gatherAnswer = fleet.get(0, "/gather/a", "a" + std::to_string(++count));
        return gatherAnswer.status == 200 && gatherAnswer.header("Zinnialedge-Missing-Parts") == "0";
    };
    CHECK(waitUntil(isComplete, 2s));
    LONGS_EQUAL(200, gatherAnswer.status);
    STRCMP_EQUAL("0", gatherAnswer.header("Zinnialedge-Missing-Parts").c_str());
    LONGS_EQUAL(3, std::count(gatherAnswer.head.begin(), gatherAnswer.head.end(), ','));
    STRCMP_EQUAL((std::string(64, 'c') + std::string(16, 'a')).c_str(), gatherAnswer.body.c_str());
    auto const single = fleet.post(1, "/single/a", "b1", "an order");
    LONGS_EQUAL(200, single.status);
    CHECK(single.header("Zinnialedge-Server-Seal").starts_with("seal-desk"));
    LONGS_EQUAL(404, fleet.get(0, "/none/a", "a3").status);
}

TEST(EdgeFleet, ALeafThatDrainsDuringAStoreOutageReceivesNoNewCallsAfterwards)
{
    small_edge_fleet fleet { 1 };
    fleet.store().setFaultMode(store_stand_in::trouble::silent);
    std::this_thread::sleep_for(3s);
    fleet.store().setFaultMode(store_stand_in::trouble::none);
    fleet.registerLeaf("desk0", "desk", fleet.desk0.place(), "draining");
    // Waits until the drain time of the leaf has ended. The store has then answered for longer than the platform's window.
    std::this_thread::sleep_for(7s);
    auto const before = fleet.desk0.requests().size();
    for (int count = 0; count < 10; ++count)
        LONGS_EQUAL(200, fleet.post(0, "/single/a", "a" + std::to_string(count), "order").status);
    LONGS_EQUAL(before, fleet.desk0.requests().size());
}

TEST(EdgeFleet, ADaemonStartedDuringAStoreOutageIsReadyFromItsPeers)
{
    small_edge_fleet fleet { 2 };
    fleet.daemon(1).process.reset();
    fleet.store().setFaultMode(store_stand_in::trouble::busy);
    fleet.start(1);
    CHECK(waitUntil([&] { return fleet.isReady(1); }, 8s));
    LONGS_EQUAL(200, fleet.get(1, "/gather/a", "a1").status);
}

TEST(EdgeFleet, APlannedStopCompletesRequestsAndLeavesTheDirectory)
{
    small_edge_fleet fleet { 2 };
    CHECK(waitUntil([&] { return fleet.resolveAddresses(1).size() == 2; }));
    fleet.daemon(0).process->signal(SIGTERM);
    CHECK(waitUntil([&] { return !fleet.isReady(0); }, 1s));
    CHECK(waitUntil([&] { return fleet.resolveAddresses(1).size() == 1; }, 1s));
    // Callers use a cached address after the directory has removed the address.
    auto const answer = fleet.post(0, "/single/a", "a1", "order");
    LONGS_EQUAL(200, answer.status);
    STRCMP_EQUAL("close", answer.header("Connection").c_str());
    auto const exitCode = fleet.daemon(0).process->waitForExit(6s);
    CHECK(exitCode.has_value());
    LONGS_EQUAL(0, *exitCode);
}

TEST(EdgeFleet, AKilledDaemonIsRemovedFromTheDirectory)
{
    // The directory names two daemons of a data centre. The third daemon takes the place of a killed one.
    small_edge_fleet fleet { 3 };
    auto const sortedAddresses = [&](std::size_t index) {
        auto addresses = fleet.resolveAddresses(index);
        std::sort(addresses.begin(), addresses.end());
        return addresses;
    };
    CHECK(waitUntil([&] { return sortedAddresses(0).size() == 2 && sortedAddresses(0) == sortedAddresses(1) && sortedAddresses(1) == sortedAddresses(2); }));
    auto const before = sortedAddresses(0);
    std::size_t killed = 0;
    while (toString(fleet.daemon(killed).callers) != before.front())
        ++killed;
    auto const observer = (killed + 1) % fleet.daemonCount();
    fleet.daemon(killed).process.reset();
    CHECK(waitUntil(
        [&] {
            auto const after = sortedAddresses(observer);
            return after.size() == 2 && std::find(after.begin(), after.end(), before.front()) == after.end();
        },
        4s));
}

TEST(EdgeFleet, AnOlderConfigurationIsIgnored)
{
    small_edge_fleet fleet { 1 };
    fleet.declare(9, 4, false, "desk9");
    fleet.registerLeaf("desk9", "desk9", fleet.desk1.place());
    CHECK(waitUntil([&] { return fleet.post(0, "/single/a", "a1", "x").header("Zinnialedge-Server-Seal") == "seal-desk9"; }));
    fleet.declare(8, 4, false);
    std::this_thread::sleep_for(1s);
    STRCMP_EQUAL("seal-desk9", fleet.post(0, "/single/a", "a2", "x").header("Zinnialedge-Server-Seal").c_str());
}

TEST(EdgeFleet, AnUnusableConfigurationIsLoggedAndThePreviousOneStaysInEffect)
{
    small_edge_fleet fleet { 1 };
    fleet.store().put("config", "main", { { "version", 2 }, { "routes", "none" } });
    CHECK(fleet.daemon(0).process->waitForLine("event=configuration_unusable").has_value());
    LONGS_EQUAL(200, fleet.get(0, "/gather/a", "a1").status);
}

TEST(EdgeFleet, MalformedLeafRegistrationsAreIgnored)
{
    small_edge_fleet fleet { 1 };
    fleet.store().put("servers", "forged1", { { "service", "desk" }, { "address", 7 } });
    fleet.store().put("servers", "forged2", "nothing");
    fleet.removeLeaf("desk0");
    std::this_thread::sleep_for(1s);
    for (int count = 0; count < 5; ++count)
        STRCMP_EQUAL("seal-desk1", fleet.post(0, "/single/a", "a" + std::to_string(count), "x").header("Zinnialedge-Server-Seal").c_str());
}

TEST(EdgeFleet, AfterAWatchGets410TheListIsReadAgain)
{
    small_edge_fleet fleet { 1 };
    fleet.store().setFaultMode(store_stand_in::trouble::busy);
    std::this_thread::sleep_for(500ms);
    fleet.removeLeaf("desk0");
    fleet.store().discardHistory();
    fleet.store().setFaultMode(store_stand_in::trouble::none);
    std::this_thread::sleep_for(6s);
    for (int count = 0; count < 5; ++count)
        STRCMP_EQUAL("seal-desk1", fleet.post(0, "/single/a", "a" + std::to_string(count), "x").header("Zinnialedge-Server-Seal").c_str());
}

TEST(EdgeFleet, ShardsOfAnotherDataCentreAreRelayedToADaemonThere)
{
    edge_fleet fleet { 2 };
    fleet.setDataCentre(1, "there");
    scripted_leaf localLeaf { replySuccessfully };
    scripted_leaf remoteLeaf { [](std::string const& request) { return scripted_reply { sealedReply(request, std::string(16, 'z')), false, false }; } };
    for (std::size_t shard = 0; shard < 12; ++shard)
        fleet.registerLeaf("leaf" + std::to_string(shard), "shard" + std::to_string(shard), shard < 6 ? localLeaf.place() : remoteLeaf.place(), "ready", shard < 6 ? "here" : "there");
    fleet.declare(1, 12, false);
    fleet.start(0);
    fleet.start(1);
    CHECK(fleet.waitUntilReady());
    CHECK(fleet.daemon(0).process->waitForLine("relays=1").has_value());
    auto const gatherAnswer = fleet.get(0, "/gather/a?b=c", "a1");
    LONGS_EQUAL(200, gatherAnswer.status);
    STRCMP_EQUAL("0", gatherAnswer.header("Zinnialedge-Missing-Parts").c_str());
    STRCMP_EQUAL(std::string(80, 'z').c_str(), gatherAnswer.body.c_str());
    // A leaf receives the caller's request without any sign that the request was relayed.
    auto const request = remoteLeaf.requests().front();
    CHECK(request.starts_with("GET /gather/a?b=c HTTP/1.1\r\n"));
    STRCMP_EQUAL("a1", rawHeaderValue(request, "Zinnialedge-Attempt-Id").c_str());
    CHECK(!rawHeaderValue(request, "Zinnialedge-Deadline-Ms").empty());
    CHECK(request.find("X-Relay") == std::string::npos);
    LONGS_EQUAL(6, remoteLeaf.requests().size());
    // After the other daemon has been killed, this daemon calls the remote shards directly.
    fleet.daemon(1).process.reset();
    auto const direct = fleet.get(0, "/gather/a", "a2");
    LONGS_EQUAL(200, direct.status);
    STRCMP_EQUAL("0", direct.header("Zinnialedge-Missing-Parts").c_str());
}

TEST(EdgeFleet, InvalidSettingsFailTheStart)
{
    tests::child_process process { "zinnialedge-edge", { "--settings", "/dev/null" } };
    CHECK(process.waitForExit().value_or(0) == 2);
    CHECK(!process.lines().empty());
}

TEST(EdgeFleet, ChangedSettingsTakeEffectWithoutASignal)
{
    small_edge_fleet fleet { 1 };
    auto& process = *fleet.daemon(0).process;
    fleet.replaceSetting(0, "extra_calls", { { "ratio", 0.1 }, { "window_s", 10 }, { "slack", 20 } });
    auto const line = process.waitForLine("event=settings_changed", 10s);
    CHECK(line.has_value());
    STRCMP_EQUAL("extra_calls", tests::logFieldValue(*line, "in_force").c_str());
    LONGS_EQUAL(200, fleet.get(0, "/gather/a", "a1").status);
}

TEST(EdgeFleet, ChangedSettingsTakeEffectAtOnceAfterASignal)
{
    small_edge_fleet fleet { 1 };
    auto& process = *fleet.daemon(0).process;
    fleet.replaceSetting(0, "stop_time_s", 4);
    process.signal(SIGHUP);
    CHECK(process.waitForLine("event=settings_changed in_force=stop_time_s", 1500ms).has_value());
    auto const stopTime = std::chrono::steady_clock::now();
    process.signal(SIGTERM);
    CHECK(process.waitForExit() == 0);
    CHECK(std::chrono::steady_clock::now() - stopTime < 4s);
}

TEST(EdgeFleet, InvalidNewSettingsAreLoggedAndThePreviousOnesStayInEffect)
{
    small_edge_fleet fleet { 1 };
    auto& process = *fleet.daemon(0).process;
    fleet.replaceSetting(0, "store_rates", { { "reads_per_s", "many" } });
    process.signal(SIGHUP);
    auto const line = process.waitForLine("event=settings_wrong", 3s);
    CHECK(line.has_value());
    CHECK(line->find("reads_per_s") != std::string::npos);
    LONGS_EQUAL(200, fleet.get(0, "/gather/a", "a1").status);
}

TEST(EdgeFleet, ARemovedDaemonRegistrationIsWrittenAgain)
{
    small_edge_fleet fleet { 1 };
    CHECK(waitUntil([&] { return fleet.store().find("daemons", "daemon0").has_value(); }));
    fleet.store().erase("daemons", "daemon0");
    CHECK(waitUntil([&] { return fleet.store().find("daemons", "daemon0").has_value(); }));
}

TEST(EdgeFleet, EachFailedRequestIsLoggedWhenManyLeafCallsFail)
{
    small_edge_fleet fleet { 1 };
    scripted_leaf resettingLeaf { [](std::string const&) { return scripted_reply { {}, false, true }; } };
    for (std::size_t shard = 0; shard < 4; ++shard)
        fleet.registerLeaf("leaf" + std::to_string(shard), "shard" + std::to_string(shard), resettingLeaf.place());
    CHECK(waitUntil([&] { return fleet.get(0, "/gather/a", "first").status == 502; }));
    std::this_thread::sleep_for(1100ms);
    for (int count = 0; count < 30; ++count)
        CHECK(fleet.get(0, "/gather/a", "request" + std::to_string(count)).status >= 500);
    for (int count = 0; count < 30; ++count)
        CHECK(fleet.daemon(0).process->waitForLine("event=request_ended id=request" + std::to_string(count) + " ", 3s).has_value());
}
