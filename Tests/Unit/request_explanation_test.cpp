#include "Libraries/zinnialedge/forwarding/request_explanation.h"
#include "Services/traffic/explanation_codec.h"
#include "Tests/Support/engine_harness.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using errors::error_kind;
using forwarding::caller_request;
using forwarding::leaf_reply;
using forwarding::request_explanation;
using reachability::link_state;
using tests::engine_harness;

namespace {

forwarding::engine_settings withRoomFor(std::size_t requests)
{
    auto settings = engine_harness::defaultSettings();
    settings.capacity = requests;
    return settings;
}

/// A daemon with four shards of three leafs each, the service "desk", and the tenants "paid" (a quota of one request) and "free".
struct explained_daemon : engine_harness {
    explicit explained_daemon(std::size_t capacity = 2000)
        : engine_harness(withRoomFor(capacity))
    {
        declare(3, { gatherRoute(4, 0.75), singleRoute(true) }, { { .name = "paid", .accessKeys = { "key of paid" }, .requestsPerSecond = 1, .burst = 1 }, { .name = "free", .accessKeys = { "key of free" }, .priority = 5 } });
        registerLeafs({ "desk", "shard0", "shard1", "shard2", "shard3" }, 3);
    }

    caller_request describe(std::string const& path, std::string const& tenant = "free") const
    {
        return { .method = "GET", .target = path, .host = "host", .tenant = tenant };
    }

    request_explanation explain(std::string const& path, std::string const& tenant = "free")
    {
        auto made = engine.explain(describe(path, tenant), now());
        CHECK(made.has_value());
        return made.value_or(request_explanation {});
    }

    forwarding::request_token send(std::string const& path, std::string const& tenant = "free")
    {
        return arriveChanged(path, [&](auto& request) { request.accessKeys = { { "key", "key of " + tenant } }; });
    }

    /// Checks that the explanation names the refusal with which the engine then answers.
    void checkRefusal(std::string const& reason, std::string const& path, std::string const& tenant = "free")
    {
        auto const explained = explain(path, tenant);
        auto const* const answer = answerOf(send(path, tenant));
        CHECK(explained.refusal && answer);
        if (!explained.refusal || !answer)
            return;
        STRCMP_EQUAL(reason.c_str(), explained.refusal->reason.c_str());
        STRCMP_EQUAL(reason.c_str(), answer->reason.c_str());
        LONGS_EQUAL(answer->status, explained.refusal->status);
        CHECK_EQUAL(answer->error->retryAfter.has_value(), explained.refusal->retryAfter.has_value());
        if (answer->error->retryAfter)
            CHECK(*explained.refusal->retryAfter <= *answer->error->retryAfter && *explained.refusal->retryAfter * 2 + 1s >= *answer->error->retryAfter);
    }

    /// Ends calls of the service after times that differ by leaf, so that no two leafs have the same score.
    void spreadLatencies(std::string const& path, std::string const& service)
    {
        for (auto const latency : { 1ms, 40ms, 90ms, 150ms }) {
            send(path);
            pass(latency);
            while (!openCalls(service).empty())
                succeed(openCalls(service).front().number);
        }
    }

    void replyToAll(leaf_reply const& with, std::string const& service)
    {
        while (!openCalls(service).empty())
            reply(openCalls(service).front().number, with);
    }
};

leaf_reply pausingReply()
{
    leaf_reply made { .status = 503 };
    made.wasNotRun = true;
    made.pauseSeconds = 10;
    return made;
}

}

TEST_GROUP(RequestExplanation) {};

// Guards against: an explanation names other leafs, or another order, than the request then uses.
TEST(RequestExplanation, LeafsAreNamedInTheOrderOfTheCalls)
{
    explained_daemon daemon;
    daemon.spreadLatencies("/single/x", "desk");
    for (int count = 0; count < 20; ++count) {
        auto const explained = daemon.explain("/single/x");
        auto const token = daemon.send("/single/x");
        auto const& leafs = explained.parts.at(0).leafs;
        CHECK(leafs.size() == 3 && leafs[0].score != leafs[1].score);
        auto const first = daemon.openCalls("desk").at(0);
        STRCMP_EQUAL(leafs[0].id.c_str(), first.leafId.c_str());
        STRCMP_EQUAL(leafs[1].id.c_str(), explained.parts[0].hedge.c_str());
        daemon.pass(std::chrono::ceil<std::chrono::milliseconds>(explained.hedgeDelay) + 1ms);
        auto const calls = daemon.openCalls("desk");
        CHECK(calls.size() == 2);
        STRCMP_EQUAL(explained.parts[0].hedge.c_str(), calls.at(1).leafId.c_str());
        daemon.succeed(calls[1].number);
        CHECK(daemon.answerOf(token));
        daemon.succeed(first.number);
        daemon.pass(1s * (count % 3));
    }
}

// Guards against: an explanation that counts, creates state or draws random numbers, so that looking at a fault changes it.
TEST(RequestExplanation, ExplainingChangesNothing)
{
    std::vector<std::string> callsOfRuns[2];
    std::vector<std::uint64_t> countsOfRuns[2];
    for (std::size_t run = 0; run < 2; ++run) {
        explained_daemon daemon;
        for (int round = 0; round < 30; ++round) {
            for (auto const& path : { "/gather/a", "/single/x" }) {
                if (run == 1) {
                    auto const before = daemon.explain(path, round % 2 == 0 ? "paid" : "free");
                    CHECK(before == daemon.explain(path, round % 2 == 0 ? "paid" : "free"));
                }
                daemon.send(path, round % 5 == 0 ? "paid" : "free");
            }
            for (auto const& call : daemon.openCalls())
                callsOfRuns[run].push_back(call.leafId);
            daemon.pass(3ms * (round % 7));
            for (auto const& call : daemon.openCalls()) {
                if (call.number % 3 != 0)
                    daemon.succeed(call.number);
            }
        }
        auto const& counters = daemon.engine.counters();
        countsOfRuns[run] = { counters.requests, counters.calls, counters.hedges, counters.rejections, counters.rejectionsForQuotas, counters.extraCallsDenied, daemon.engine.leafs().heldBackCount(), daemon.engine.requestsInFlight() };
    }
    CHECK(callsOfRuns[0] == callsOfRuns[1]);
    CHECK(countsOfRuns[0] == countsOfRuns[1]);
}

// Guards against: an explanation that can't be made and looks like one of a request that is served.
TEST(RequestExplanation, WhatCannotBeExplainedIsAnError)
{
    engine_harness fresh;
    CHECK(fresh.engine.explain({ .method = "GET", .target = "/single/x", .host = "host" }, fresh.now()).error().kind == error_kind::not_configured);
    explained_daemon daemon;
    CHECK(daemon.engine.explain(daemon.describe("/nowhere"), daemon.now()).error().kind == error_kind::unknown_route);
    CHECK(daemon.engine.explain(daemon.describe("/single/x", "nobody"), daemon.now()).error().kind == error_kind::malformed_request);
    CHECK(services::traffic::parseExplainedRequest({ { "method", "GET" }, { "host", "host" }, { "path", "/a" }, { "key", "secret" } }).error().message.find("secret") == std::string::npos);
}

// Guards against: a refusal that the explanation does not foresee, or foresees for another reason.
TEST(RequestExplanation, RefusalsBeforeAnyCallAreExplained)
{
    explained_daemon full { 0 };
    full.checkRefusal("at_capacity", "/single/x");
    explained_daemon daemon;
    STRCMP_EQUAL("no_key", daemon.explain("/single/x", "").refusal->reason.c_str());
    LONGS_EQUAL(401, daemon.explain("/single/x", "").refusal->status);
    while (!daemon.explain("/single/x", "paid").refusal)
        daemon.send("/single/x", "paid");
    daemon.checkRefusal("over_quota", "/single/x", "paid");
    CHECK(!daemon.explain("/single/x", "paid").quota->isAllowed);
    while (!daemon.explain("/gather/a").refusal)
        daemon.send("/gather/a");
    daemon.checkRefusal("overloaded", "/gather/a");
    for (int count = 0; count < 10 && !daemon.explain("/single/z").refusal; ++count) {
        daemon.send("/single/z");
        daemon.replyToAll(pausingReply(), "desk");
    }
    daemon.checkRefusal("leafs_paused", "/single/z");
    daemon.pass(11s);
    daemon.engine.setEvacuations({ "here", "there" }, daemon.now());
    daemon.checkRefusal("leafs_evacuated", "/single/y");
    daemon.engine.setEvacuations({}, daemon.now());
    daemon.registerLeafs({}, 0);
    daemon.checkRefusal("no_leaf", "/single/y");
}

// Guards against: a request under quarantine, or one at a daemon without links, that is explained as if leafs were called.
TEST(RequestExplanation, QuarantineAndLostLinksAreExplained)
{
    explained_daemon daemon;
    // The leafs of this test reply to probes after their loss, which would refute it.
    daemon.engine.setRegistrationsCurrent(false);
    // Only losses of different leafs count, and the engine chooses the leafs.
    for (int round = 0; round < 12 && daemon.explain("/single/deadly").quarantine.lossCount < 3; ++round) {
        daemon.pass(10s);
        daemon.send("/single/deadly");
        auto const calls = daemon.openCalls("desk");
        CHECK(!calls.empty());
        daemon.fail(calls.at(0).number, forwarding::call_failure::broken);
        while (!daemon.openCalls("desk").empty())
            daemon.fail(daemon.openCalls("desk").front().number, forwarding::call_failure::broken);
    }
    CHECK(daemon.explain("/single/deadly").quarantine.lossCount >= 3);
    daemon.checkRefusal("request_quarantined", "/single/deadly");
    explained_daemon cutOff;
    cutOff.setProbesAnswered(false);
    cutOff.send("/gather/lost");
    cutOff.pass(500ms);
    CHECK(cutOff.explain("/gather/a").links == link_state::lost);
    cutOff.pass(2s);
    cutOff.checkRefusal("links_lost", "/gather/a");
    forwarding::fleet_share share;
    share.detours = { { "here", { "10.0.1.1", 7395 } } };
    cutOff.engine.setFleetShare(share, cutOff.now());
    auto const explained = cutOff.explain("/gather/a");
    CHECK(explained.detour && explained.detour == share.detours.front() && !explained.refusal);
}

// Guards against: an explanation that finds nothing wrong with a route that has no services.
TEST(RequestExplanation, ARouteWithoutServicesIsRefused)
{
    explained_daemon daemon;
    auto route = engine_harness::singleRoute(true);
    route.services.clear();
    daemon.declare(4, { route }, { { .name = "free", .accessKeys = { "key of free" } } });
    daemon.checkRefusal("no_service", "/single/x");
}
