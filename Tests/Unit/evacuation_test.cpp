// Load patterns: a data centre is evacuated while requests are in every stage. Leafs SERVICE/0 are in the data centre "here", where the
// daemon is, and leafs SERVICE/1 in the data centre "there".

#include "Tests/Support/engine_harness.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using errors::error_kind;
using forwarding::call_failure;
using forwarding::leaf_call;
using reachability::link_state;
using tests::engine_harness;

namespace {

constexpr std::size_t shardCount = 8;

forwarding::engine_settings settingsWithoutExtraCalls()
{
    auto settings = engine_harness::defaultSettings();
    settings.extraCalls.ratio = 0;
    settings.extraCalls.slack = 0;
    return settings;
}

struct evacuated_fleet : engine_harness {
    explicit evacuated_fleet(forwarding::engine_settings settings = defaultSettings())
        : engine_harness(std::move(settings))
    {
        forwarding::service_rules desk;
        desk.name = "desk";
        desk.connectionCap = 1;
        desk.warmupTime = 8s;
        engine.setRoutes(std::make_shared<forwarding::route_table const>(forwarding::route_declarations { 1, { gatherRoute(shardCount, 0.75), singleRoute(true) }, { desk }, {} }), now());
        services = gatherRoute(shardCount, 1).gather.shards;
        services.emplace_back("desk");
        registerLeafs(services, 2);
    }

    void evacuate(std::set<std::string> dataCentres) { engine.setEvacuations(std::move(dataCentres), now()); }

    /// Returns the number of open calls to leafs with the number in their ids.
    std::size_t callsTo(char leafNumber) const
    {
        auto calls = openCalls();
        std::erase_if(calls, [&](auto const& call) { return call.leafId.empty() || call.leafId.back() != leafNumber; });
        return calls.size();
    }

    void checkRejectedAtOnce(forwarding::request_token request) const
    {
        auto const* const answer = answerOf(request);
        CHECK(answer != nullptr);
        CHECK(answer->error && answer->error->kind == error_kind::no_live_target && answer->error->retryAfter);
        STRCMP_EQUAL("leafs_evacuated", answer->reason.c_str());
    }

    std::vector<std::string> services;
};

}

TEST_GROUP(Evacuation)
{
    evacuated_fleet harness;
};

// Guards against: first calls to leafs of an evacuated data centre, whichever it is, and of leafs that register there later.
TEST(Evacuation, FirstCallsGoToOtherDataCentres)
{
    harness.evacuate({ "here", "unknown" });
    harness.registerLeafs(harness.services, 2);
    harness.restartLeaf("desk/0");
    harness.arrive("/gather/a");
    harness.arrive("/single/a");
    LONGS_EQUAL(0, harness.callsTo('0'));
    LONGS_EQUAL(shardCount + 1, harness.callsTo('1'));
    LONGS_EQUAL(shardCount + 1, harness.engine.leafs().evacuatedCount());
}

// Guards against: a hedge of a call that hangs, or its retry, goes to an evacuated data centre.
TEST(Evacuation, HedgesAndRetriesStayOutside)
{
    harness.evacuate({ "there" });
    auto const hedged = harness.arrive("/gather/a");
    auto const retried = harness.arrive("/single/a");
    harness.shed(harness.openCalls("desk").front().number);
    harness.fail(harness.openCalls("shard0").front().number, call_failure::broken);
    harness.pass(80ms);
    LONGS_EQUAL(0, harness.callsTo('1'));
    LONGS_EQUAL(shardCount - 1, harness.callsTo('0'));
    CHECK(harness.answerOf(hedged) == nullptr);
    CHECK(harness.answerOf(retried) != nullptr);
    LONGS_EQUAL(0, harness.engine.counters().hedges);
}

// Guards against: a part that waits for a connection is sent to the leaf that an ending call frees, or waits in vain.
TEST(Evacuation, QueuedPartsAreNotSentThereAndDoNotWait)
{
    std::vector<forwarding::request_token> requests;
    for (int count = 0; count < 3; ++count)
        requests.push_back(harness.arrive("/single/" + std::to_string(count)));
    LONGS_EQUAL(2, harness.openCalls("desk").size());
    harness.evacuate({ "there" });
    for (auto const& call : harness.openCalls("desk")) {
        if (call.leafId == "desk/1")
            harness.succeed(call.number);
    }
    LONGS_EQUAL(0, harness.callsTo('1'));
    CHECK(harness.answerOf(requests[2]) == nullptr);
    harness.evacuate({ "here", "there" });
    harness.checkRejectedAtOnce(requests[2]);
    LONGS_EQUAL(1, harness.engine.counters().rejectionsForEvacuations);
}

// Guards against: a call goes out when its connection opens after the evacuation has begun.
TEST(Evacuation, CallsOnOpeningConnectionsAreWithheldAndSentElsewhere)
{
    harness.setCallsConnected(false);
    auto const request = harness.arrive("/single/a");
    auto const call = harness.openCalls("desk").front();
    STRCMP_EQUAL("desk/0", call.leafId.c_str());
    harness.evacuate({ "here" });
    CHECK_FALSE(harness.engine.isCallWanted(call.number, harness.now()));
    CHECK(harness.cancelled() == (std::vector { call.number }));
    harness.fail(call.number, call_failure::withheld);
    harness.succeed(harness.openCalls("desk").front().number);
    LONGS_EQUAL(200, harness.answerOf(request)->status);
}

// Guards against: calls for other daemons, or for whole requests that they pass on, go to an evacuated data centre.
TEST(Evacuation, CallsForOtherDaemonsGoToOtherDataCentres)
{
    harness.evacuate({ "here" });
    harness.sendRelayedRequest("/gather/a", { 1, { 0, 1 }, 50ms, 50ms });
    LONGS_EQUAL(2, harness.callsTo('1'));
    harness.sendDetouredRequest("/single/a", { 1, 400ms, 0, false });
    LONGS_EQUAL(3, harness.callsTo('1'));
    LONGS_EQUAL(0, harness.callsTo('0'));
    harness.evacuate({ "here", "there" });
    auto const* const relayed = harness.answerOf(harness.sendRelayedRequest("/gather/a", { 1, { 0, 1 }, 50ms, 50ms }));
    CHECK(relayed != nullptr);
    LONGS_EQUAL(2, relayed->missingParts);
    harness.checkRejectedAtOnce(harness.sendDetouredRequest("/single/a", { 1, 400ms, 0, false }));
}

// Guards against: shards are relayed to a daemon of an evacuated data centre, which may not know of the evacuation yet.
TEST(Evacuation, NothingIsRelayedForLeafsThere)
{
    harness.engine.setFleetShare({ .relays = { { "there", { "10.0.1.1", 7395 } } } }, harness.now());
    harness.evacuate({ "here", "there" });
    harness.checkRejectedAtOnce(harness.arrive("/gather/a"));
    harness.evacuate({ "there" });
    harness.arrive("/gather/b");
    LONGS_EQUAL(shardCount, harness.callsTo('0'));
    LONGS_EQUAL(0, harness.engine.counters().relays);
}

// Guards against: shards that another daemon did not take wait for leafs of a data centre that has been evacuated meanwhile.
TEST(Evacuation, ShardsThatComeBackFromAnotherDaemonAreRejectedAtOnce)
{
    harness.engine.setFleetShare({ .relays = { { "there", { "10.0.1.1", 7395 } } } }, harness.now());
    harness.evacuate({ "here" });
    auto const request = harness.arrive("/gather/a");
    LONGS_EQUAL(1, harness.openCalls().size());
    CHECK(harness.openCalls().front().relayed.has_value());
    harness.evacuate({ "here", "there" });
    harness.fail(harness.openCalls().front().number, call_failure::not_sent);
    harness.checkRejectedAtOnce(request);
}

// Guards against: probes of the links go to evacuated leafs, also on connections that open later, or end their suspicion with a loss.
TEST(Evacuation, ProbesGoToOtherDataCentres)
{
    harness.evacuate({ "there" });
    harness.arrive("/gather/a");
    harness.setProbesAnswered(false);
    harness.pass(160ms);
    CHECK(harness.engine.linkState() == link_state::suspected);
    LONGS_EQUAL(1, harness.probes().size());
    harness.evacuate({ "here" });
    CHECK_FALSE(harness.engine.isCallWanted(harness.probes().front().number, harness.now()));
    harness.setProbesAnswered(true);
    harness.pass(1s);
    CHECK(harness.probes().size() > 1);
    for (std::size_t index = 1; index < harness.probes().size(); ++index)
        LONGS_EQUAL('1', harness.probes()[index].leafId.back());
    CHECK(harness.engine.linkState() == link_state::intact);
    LONGS_EQUAL(0, harness.engine.counters().linkLosses);
}

// Guards against: leafs of a data centre that is shut down are taken for lost links.
TEST(Evacuation, SilenceAndFailuresThereRaiseNoDoubtAboutTheLinks)
{
    evacuated_fleet fleet { settingsWithoutExtraCalls() };
    fleet.arrive("/gather/a");
    fleet.evacuate({ "here" });
    fleet.pass(300ms);
    LONGS_EQUAL(0, fleet.probes().size());
    for (auto const& call : fleet.openCalls())
        fleet.fail(call.number, call_failure::broken);
    fleet.pass(300ms);
    LONGS_EQUAL(0, fleet.probes().size());
}

// Guards against: a daemon all of whose leafs are evacuated counts its links as lost and leaves the directory.
TEST(Evacuation, EvacuationOfAllDataCentresIsNoLossOfLinks)
{
    harness.setProbesAnswered(false);
    harness.arrive("/gather/a");
    harness.pass(200ms);
    CHECK(harness.engine.linkState() == link_state::suspected);
    harness.evacuate({ "here", "there" });
    auto const probeCount = harness.probes().size();
    harness.checkRejectedAtOnce(harness.arrive("/single/a"));
    harness.pass(2s);
    CHECK(harness.engine.linkState() == link_state::intact);
    LONGS_EQUAL(0, harness.engine.counters().linkLosses);
    LONGS_EQUAL(probeCount, harness.probes().size());
}

// Guards against: the leafs that remain get the load of all, and requests that wait for admission wait in vain.
TEST(Evacuation, AdmissionFollowsTheRemainingLeafs)
{
    harness.evacuate({ "there" });
    std::vector<forwarding::request_token> requests;
    for (int count = 0; count < 5; ++count)
        requests.push_back(harness.arrive("/gather/" + std::to_string(count)));
    LONGS_EQUAL(4 * shardCount, harness.callsTo('0'));
    CHECK(harness.answerOf(requests.back()) == nullptr);
    harness.evacuate({ "here", "there" });
    for (auto const& call : harness.openCalls())
        harness.succeed(call.number);
    harness.pass(1ms);
    harness.checkRejectedAtOnce(requests.back());
}

// Guards against: a request is rejected although its answer may lack the shards that only the evacuated data centre has.
TEST(Evacuation, AnswerIsPartialWhenCoverageAllows)
{
    std::vector<forwarding::leaf_registration> leafs;
    for (std::size_t shard = 0; shard < shardCount; ++shard)
        leafs.push_back({ "leaf" + std::to_string(shard) + "/0", 1, "shard" + std::to_string(shard), { "10.0.0.1", 80 }, shard == 0 ? "there" : "here", 2, false, {} });
    harness.engine.setLeafs(leafs, harness.now());
    harness.evacuate({ "there" });
    auto const request = harness.arrive("/gather/a");
    for (auto const& call : harness.openCalls())
        harness.succeed(call.number);
    auto const* const answer = harness.answerOf(request);
    CHECK(answer != nullptr);
    LONGS_EQUAL(200, answer->status);
    LONGS_EQUAL(1, answer->missingParts);
}

// Guards against: leafs that were not called for long get all their load at once, or an old registration makes them count as warm.
TEST(Evacuation, LeafsAreColdAfterItsEnd)
{
    auto const& leafs = harness.engine.leafs();
    auto const isCold = [&](char const* id) { return leafs.at(*leafs.findLeaf(id)).isCold(harness.now()); };
    harness.evacuate({ "here", "there" });
    harness.evacuate({ "there" });
    harness.registerLeafs(harness.services, 2);
    CHECK(isCold("desk/0"));
    CHECK_FALSE(isCold("desk/1"));
    CHECK_FALSE(isCold("shard0/0"));
    harness.arrive("/single/a");
    LONGS_EQUAL(1, harness.callsTo('0'));
    harness.pass(8s);
    CHECK_FALSE(isCold("desk/0"));
}
