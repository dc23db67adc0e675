// Load pattern: a request that ends each leaf that runs it comes to several daemons at the same moment.

#include "Tests/Support/engine_harness.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using forwarding::call_failure;
using forwarding::leaf_call;
using tests::engine_harness;

static constexpr std::size_t daemonCount = 5;
static constexpr std::size_t leafCount = 4;
static char const* const poison = "/single/poison";

TEST_GROUP(QuarantineTrial)
{
    std::vector<std::unique_ptr<engine_harness>> daemons;
    std::size_t endCount { 0 };

    void setup() override
    {
        for (std::size_t index = 0; index < daemonCount; ++index) {
            daemons.push_back(std::make_unique<engine_harness>());
            auto& daemon = *daemons.back();
            daemon.declare(1, { engine_harness::singleRoute(true) });
            daemon.registerLeafs({ "desk" }, leafCount);
            // The daemons lose different incarnations, as if each had called other leafs.
            for (std::size_t count = 0; count < 20 * index; ++count) {
                for (std::size_t leaf = 0; leaf < leafCount; ++leaf)
                    daemon.restartLeaf("desk/" + std::to_string(leaf));
            }
            joinFleet(index);
        }
    }

    void joinFleet(std::size_t index)
    {
        forwarding::fleet_share share;
        for (std::size_t other = 0; other < daemonCount; ++other) {
            forwarding::relay const listed { "here", { "10.0.0." + std::to_string(other), 7395 } };
            if (other == index)
                share.self = listed;
            else
                share.detours.push_back(listed);
        }
        daemons[index]->engine.setFleetShare(share, daemons[index]->now());
    }

    /// Ends the leafs of the daemon's open calls, and those of the calls that follow them.
    void endLeafs(engine_harness & daemon)
    {
        for (auto calls = daemon.openCalls("desk"); !calls.empty(); calls = daemon.openCalls("desk")) {
            for (auto const& call : calls) {
                ++endCount;
                daemon.fail(call.number, call_failure::broken);
                daemon.restartLeaf(call.leafId);
            }
            daemon.pass(1ms);
        }
    }

    /// Hands requests that daemons have passed on to the daemons that they named.
    void deliverDetours()
    {
        for (auto& daemon : daemons) {
            for (auto const& call : daemon->openCalls()) {
                if (!call.detoured)
                    continue;
                auto const index = static_cast<std::size_t>(call.endpoint.address.back() - '0');
                ++detourCount;
                daemons[index]->sendDetouredRequest(call.request->target, *call.detoured);
                daemon->fail(call.number, call_failure::timed_out);
            }
        }
    }

    std::size_t detourCount { 0 };

    /// Lets the request come to all daemons before any of them has heard of the others.
    std::size_t arriveEverywhere()
    {
        auto const before = endCount;
        for (auto& daemon : daemons)
            daemon->arrive(poison);
        deliverDetours();
        for (auto& daemon : daemons)
            daemon->pass(1ms);
        for (auto& daemon : daemons)
            endLeafs(*daemon);
        return endCount - before;
    }

    /// Tells all daemons what each of them knows.
    void shareSuspects()
    {
        for (auto& from : daemons) {
            for (auto& to : daemons)
                to->engine.mergeSuspects(from->engine.quarantined().suspectsToShare(from->now()), to->now());
        }
    }

    void pass(std::chrono::milliseconds duration)
    {
        for (auto& daemon : daemons)
            daemon->pass(duration);
    }
};

// Guards against several daemons that try a quarantined request again at the same moment, each of them for itself.
TEST(QuarantineTrial, OneDaemonTriesForAll)
{
    CHECK(arriveEverywhere() >= 3);
    shareSuspects();
    auto const endedAtFirst = endCount;
    for (int round = 0; round < 6; ++round) {
        pass(9s);
        CHECK(arriveEverywhere() <= 1);
        shareSuspects();
    }
    CHECK(endCount <= endedAtFirst + 3);
    CHECK(detourCount > 0);
}

// Guards against a trial by a daemon that has not heard of the losses that the daemon before it knows.
TEST(QuarantineTrial, RequestBringsTheKnownLossesAlong)
{
    CHECK(arriveEverywhere() >= 3);
    for (std::size_t to = 1; to < daemonCount; ++to)
        daemons[0]->engine.mergeSuspects(daemons[to]->engine.quarantined().suspectsToShare(daemons[to]->now()), daemons[0]->now());
    pass(9s);
    daemons[0]->arrive(poison);
    auto const calls = daemons[0]->openCalls();
    LONGS_EQUAL(1, calls.size());
    CHECK(calls.front().detoured.has_value());
    CHECK(calls.front().detoured->known.has_value());
    CHECK(calls.front().detoured->known->losses.size() >= 3);
}

// Guards against requests that nobody tries again because the daemon whose turn it is has left.
TEST(QuarantineTrial, AnotherDaemonTriesWhenTheFirstHasLeft)
{
    arriveEverywhere();
    shareSuspects();
    pass(9s);
    for (auto& daemon : daemons)
        daemon->engine.setFleetShare({}, daemon->now());
    auto const before = endCount;
    daemons[0]->arrive(poison);
    pass(1ms);
    endLeafs(*daemons[0]);
    LONGS_EQUAL(before + 1, endCount);
}
