#pragma once

#include "Tests/Support/engine_harness.h"
#include <CppUTest/TestHarness.h>

namespace zinnialedge::tests {

/// Twenty shards with two leafs each, and the service "desk" with two leafs.
struct noticing_fleet : engine_harness {
    explicit noticing_fleet(double minimumCoverage = 0.89, bool isSingleRepeatable = true)
    {
        declare(1, { gatherRoute(shardCount, minimumCoverage), singleRoute(isSingleRepeatable) });
        services = gatherRoute(shardCount, 1).gather.shards;
        services.emplace_back("desk");
        registerLeafs(services, 2);
    }

    /// Replies to the only open call of the service.
    forwarding::leaf_call answerOnly(std::string const& service, forwarding::leaf_reply leafReply)
    {
        auto const calls = openCalls(service);
        LONGS_EQUAL(1, calls.size());
        reply(calls.front().number, std::move(leafReply));
        return calls.front();
    }

    void succeedAll()
    {
        for (auto const& call : openCalls())
            succeed(call.number);
    }

    /// Calls the service until each of its two leafs has been asked and has replied.
    void replyFromEachLeaf(std::string const& path, std::string const& service, forwarding::leaf_reply const& leafReply)
    {
        arrive(path);
        for (int count = 0; count < 2; ++count) {
            auto const calls = openCalls(service);
            CHECK(!calls.empty());
            reply(calls.front().number, leafReply);
        }
        succeedAll();
    }

    static constexpr std::size_t shardCount = 20;
    std::vector<std::string> services;
};

inline forwarding::leaf_reply sealedReply(bool isLeaving)
{
    forwarding::leaf_reply made;
    made.status = 200;
    made.seal = "seal";
    made.body = std::string(16, 'r');
    made.isLeaving = isLeaving;
    return made;
}

inline forwarding::leaf_reply rejection(std::optional<double> pauseSeconds, bool isLeaving = false)
{
    forwarding::leaf_reply made;
    made.status = 503;
    made.wasNotRun = true;
    made.pauseSeconds = pauseSeconds;
    made.isLeaving = isLeaving;
    return made;
}

}
