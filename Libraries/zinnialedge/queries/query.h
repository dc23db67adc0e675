#pragma once

#include "Libraries/zinnialedge/quarantine/request_evidence.h"
#include "Libraries/zinnialedge/queries/events.h"
#include "Libraries/zinnialedge/queries/query_lifecycle.h"
#include <memory>
#include <vector>

namespace zinnialedge::queries {

using query_id = std::uint64_t;

/// Call in flight for one shard of a query.
struct shard_call {
    call_id call { 0 };
    routing::leaf_handle leaf { 0 };
    kernel::time_point sentAt;
    bool isHedge { false };
    /// True when the call was sent to measure the latency of a slow leaf.
    bool isProbe { false };
};

/// Progress of one shard of a query.
struct shard_progress {
    std::uint32_t shard { 0 };
    bool isAnswered { false };
    /// Reason why the shard is missing from the answer; set when no further call will be tried.
    std::optional<model::missing_reason> missingReason;
    /// Reason reported when the shard is still unanswered at the deadline.
    model::missing_reason latestMissingReason { model::missing_reason::deadline };
    bool isQueued { false };
    bool wasHedged { false };
    /// True while the shard waits for a sign that its request does not end the leafs that run it.
    bool isHeld { false };
    std::vector<shard_call> calls;
    /// Leafs that were called under the current pin.
    std::vector<routing::leaf_handle> calledLeafs;
    std::vector<model::row> rows;

    bool isSettled() const { return isAnswered || missingReason.has_value(); }
};

/// Caller that waits for the outcome of a query. Several callers wait for one query when they use the same ticket.
struct waiting_caller {
    caller_token token { 0 };
    std::string requestId;
    kernel::time_point deadline;
};

/// Query in flight: the request, its callers and the progress of its shards. The pin is the snapshot (partition epoch and
/// version) that all leaf calls of the query must reflect.
struct query {
    query_id id { 0 };
    std::vector<waiting_caller> callers;
    std::shared_ptr<model::query_request const> request;
    std::shared_ptr<quarantine::request_evidence> evidence;
    std::shared_ptr<model::service_declaration const> service;
    bool isUrgent { false };
    bool isRepeatable { true };
    model::snapshot pin;
    kernel::time_point arrivedAt;
    kernel::time_point deadline;
    std::vector<shard_progress> shards;
    std::size_t settledShardCount { 0 };
    std::size_t answeredShardCount { 0 };
    std::size_t heldShardCount { 0 };
    /// Number of calls that were sent and that may have run: no leaf is known to have rejected them.
    std::uint32_t possiblyRunCallCount { 0 };
    /// True once the soft deadline has passed, after which the declared minimum coverage is enough for an answer.
    bool hasSoftDeadlinePassed { false };
    query_lifecycle lifecycle;

    bool mayHaveRun() const { return possiblyRunCallCount > 0; }
};

/// Returns the answer merged from the shards that have replied. Moves their rows out of the query.
model::answer mergeAnswer(query&);

}
