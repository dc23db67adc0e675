#pragma once

#include "Tests/Support/edge_fleet.h"

namespace zinnialedge::tests {

/// Replies to a call with two records.
inline scripted_reply replySuccessfully(std::string const& request)
{
    return { sealedReply(request, std::string(16, 'a') + std::string(16, 'c')), false, false };
}

/// A fleet with one leaf for each of four shards and two leafs for the service "desk".
struct small_edge_fleet : edge_fleet {
    using reply_hook = std::function<scripted_reply(std::string const&)>;
    /// Number of requests that the leafs of the service "desk" run at a time.
    static constexpr std::size_t deskPlaces = 4;

    explicit small_edge_fleet(std::size_t daemons, bool isSingleRepeatable = false, reply_hook desk0Reply = replySuccessfully, reply_hook desk1Reply = replySuccessfully)
        : edge_fleet(daemons)
        , desk0(std::move(desk0Reply))
        , desk1(std::move(desk1Reply))
    {
        for (std::size_t shard = 0; shard < 4; ++shard) {
            shards.push_back(std::make_unique<scripted_leaf>(replySuccessfully));
            registerLeaf("leaf" + std::to_string(shard), "shard" + std::to_string(shard), shards.back()->place());
        }
        registerLeaf("desk0", "desk", desk0.place());
        registerLeaf("desk1", "desk", desk1.place());
        declare(1, 4, isSingleRepeatable);
        store().keepCopy();
        for (std::size_t index = 0; index < daemons; ++index)
            start(index);
        VERIFY(waitUntilReady());
    }

    std::vector<std::unique_ptr<scripted_leaf>> shards;
    scripted_leaf desk0;
    scripted_leaf desk1;
};

}
