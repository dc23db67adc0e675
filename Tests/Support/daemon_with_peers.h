#pragma once

#include "Tests/Support/engine_harness.h"
#include <CppUTest/TestHarness.h>

namespace zinnialedge::tests {

/// A daemon with shards, a service for single requests, and two other daemons. The test takes the part of these.
struct daemon_with_peers : engine_harness {
    static constexpr std::size_t shardCount = 6;

    explicit daemon_with_peers(bool isSingleRepeatable = false, std::size_t peers = 2)
    {
        declare(3, { gatherRoute(shardCount, 0.8), singleRoute(isSingleRepeatable) });
        std::vector<std::string> services { "desk" };
        for (std::size_t shard = 0; shard < shardCount; ++shard)
            services.push_back("shard" + std::to_string(shard));
        registerLeafs(services, 2);
        forwarding::fleet_share share;
        for (std::size_t peer = 0; peer < peers; ++peer)
            share.detours.push_back({ "here", { "10.0.1." + std::to_string(peer), 7395 } });
        engine.setFleetShare(share, now());
    }

    /// Lets all calls of a query hang until the links count as lost. Returns the query.
    forwarding::request_token loseLinks()
    {
        setProbesAnswered(false);
        auto const query = arrive("/gather/lost");
        pass(std::chrono::milliseconds { 500 });
        CHECK(engine.linkState() == reachability::link_state::lost);
        return query;
    }

    std::vector<forwarding::leaf_call> detours() const
    {
        auto calls = openCalls();
        std::erase_if(calls, [](auto const& call) { return !call.detoured; });
        return calls;
    }

    std::vector<forwarding::leaf_call> leafCallsOf(std::string const& target) const
    {
        auto calls = openCalls();
        std::erase_if(calls, [&](auto const& call) { return call.detoured || call.relayed || call.request->target != target; });
        return calls;
    }

    forwarding::leaf_call detourOf(std::string const& target) const
    {
        auto calls = detours();
        std::erase_if(calls, [&](auto const& call) { return call.request->target != target; });
        LONGS_EQUAL(1, calls.size());
        return calls.front();
    }

    void answerDetour(forwarding::leaf_call const& call)
    {
        forwarding::leaf_reply answer;
        answer.status = 200;
        answer.body = "records";
        answer.relayedSeals = { "seal-a", "seal-b" };
        answer.detour = forwarding::detour_outcome { .reason = "whole", .version = 3, .missingParts = 4 };
        reply(call.number, std::move(answer));
    }

    void refuseDetour(forwarding::leaf_call const& call, errors::error_kind kind, std::string const& reason)
    {
        forwarding::leaf_reply answer;
        answer.status = errors::propertiesOf(kind).httpStatus;
        answer.detour = forwarding::detour_outcome { .reason = reason, .version = 3, .error = kind, .retryAfter = std::chrono::milliseconds { 70 } };
        reply(call.number, std::move(answer));
    }
};

}
