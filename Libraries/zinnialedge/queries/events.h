#pragma once

#include "Libraries/zinnialedge/model/query.h"
#include "Libraries/zinnialedge/model/service_declaration.h"
#include "Libraries/zinnialedge/routing/leaf_table.h"
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace zinnialedge::queries {

/// Names one waiting caller; the callers' service gives them out.
using caller_token = std::uint64_t;
/// Names one call to a leaf; never used twice by one process.
using call_id = std::uint64_t;

/// Why a leaf did not run a call.
enum class leaf_refusal {
    none,
    version_gone,
    wrong_epoch,
    shed,
    draining,
    cancelled,
    deadline,
};

enum class leaf_outcome_kind {
    answered,
    /// The leaf says that it did not run the call.
    refused,
    /// No usable reply.
    failed,
};

/// What a leaf says of itself in each reply and status.
struct leaf_status {
    std::vector<std::uint64_t> epochs;
    std::vector<std::uint64_t> versions;
    double load { 0 };
    bool isDraining { false };
};

/// How a call to a leaf ended.
struct leaf_outcome {
    leaf_outcome_kind kind { leaf_outcome_kind::failed };
    leaf_refusal refusal { leaf_refusal::none };
    /// For failures: whether a byte of the call may have reached the leaf.
    bool mayHaveBeenSent { true };
    std::uint32_t shard { 0 };
    model::snapshot reflects;
    std::optional<leaf_status> status;
    std::vector<model::row> rows;
    std::string reason;

    /// True when the leaf can't have run any part of the call.
    bool isUnrun() const;
};

// Events.

struct query_arrived {
    caller_token caller { 0 };
    model::query_request request;
};

/// The caller's connection is gone.
struct caller_left {
    caller_token caller { 0 };
};

struct leaf_call_ended {
    call_id call { 0 };
    leaf_outcome outcome;
};

struct leaf_status_seen {
    routing::leaf_handle leaf { 0 };
    /// Nothing when the leaf did not answer.
    std::optional<leaf_status> status;
    /// How many connections to it are open, where that is known.
    std::optional<std::uint32_t> connections;
};

struct service_declared {
    std::shared_ptr<model::service_declaration const> declaration;
};

struct service_removed {
    std::string name;
};

/// The answer to a query that another daemon was asked to run.
struct relay_ended {
    caller_token caller { 0 };
    model::answer_or_error result;
};

/// While there is a refusal, a ticket that was never seen is refused with it. One that is asked again still gets its outcome.
struct ticket_intake_changed {
    std::optional<errors::error> refusal;
};

struct timer_due { };

using event = std::variant<query_arrived, caller_left, leaf_call_ended, leaf_status_seen, service_declared, service_removed, relay_ended, ticket_intake_changed, timer_due>;

// Actions.

struct send_leaf_call {
    call_id call { 0 };
    routing::leaf_handle leaf { 0 };
    std::uint32_t shard { 0 };
    model::snapshot pin;
    kernel::time_point deadline;
    bool isUrgent { false };
    bool isRepeatable { true };
    std::shared_ptr<model::query_request const> request;
};

struct cancel_leaf_call {
    call_id call { 0 };
    routing::leaf_handle leaf { 0 };
};

struct answer_caller {
    caller_token caller { 0 };
    std::string requestId;
    model::answer_or_error result;
};

/// Opens, resizes or closes the connections to a leaf.
struct change_leaf_connections {
    routing::leaf_change change;
    std::string service;
    std::string name;
};

struct relay_query {
    caller_token caller { 0 };
    std::string daemon;
    model::query_request request;
};

/// The caller has its answer, or has left: what the other daemon still sends is dropped.
struct abandon_relay {
    caller_token caller { 0 };
};

using action = std::variant<send_leaf_call, cancel_leaf_call, answer_caller, change_leaf_connections, relay_query, abandon_relay>;
using actions = std::vector<action>;

}
