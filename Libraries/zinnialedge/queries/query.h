#pragma once

#include "Libraries/zinnialedge/queries/events.h"
#include "Libraries/zinnialedge/queries/query_lifecycle.h"
#include <memory>
#include <vector>

namespace zinnialedge::queries {

using query_id = std::uint64_t;

/// One call in flight for a shard.
struct shard_call {
    call_id call { 0 };
    routing::leaf_handle leaf { 0 };
    kernel::time_point sentAt;
    bool isHedge { false };
    /// Sent to learn about the leaf.
    bool isProbe { false };
};

/// How far one shard of a query has come.
struct shard_progress {
    std::uint32_t shard { 0 };
    bool isAnswered { false };
    /// Set when no more will be tried.
    std::optional<model::missing_reason> missing;
    /// The reason to give should the deadline find the shard unanswered.
    model::missing_reason reasonSoFar { model::missing_reason::deadline };
    bool isWaiting { false };
    bool isHedged { false };
    std::vector<shard_call> calls;
    /// Leafs that were asked under the present pin.
    std::vector<routing::leaf_handle> asked;
    std::vector<model::row> rows;

    bool isSettled() const { return isAnswered || missing.has_value(); }
};

/// A caller that waits for the outcome of a query. Several wait for one when they use the same ticket.
struct waiting_caller {
    caller_token token { 0 };
    std::string requestId;
    kernel::time_point deadline;
};

/// A query that waits for leafs.
struct query {
    query_id id { 0 };
    std::vector<waiting_caller> callers;
    std::shared_ptr<model::query_request const> request;
    std::shared_ptr<model::service_declaration const> service;
    bool isUrgent { false };
    bool isRepeatable { true };
    model::snapshot pin;
    kernel::time_point arrivedAt;
    kernel::time_point deadline;
    std::vector<shard_progress> shards;
    std::size_t settledShards { 0 };
    std::size_t answeredShards { 0 };
    /// Calls that were sent and that no leaf has refused.
    std::uint32_t unrefusedCalls { 0 };
    /// True once the declared share of the shards is enough for an answer.
    bool isSoftDeadlinePast { false };
    query_lifecycle lifecycle;

    bool mayHaveRun() const { return unrefusedCalls > 0; }
};

/// The merged answer of the shards that have answered.
model::answer mergeAnswer(query&);

}
