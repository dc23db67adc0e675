#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/model/endpoint.h"
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace zinnialedge::forwarding {

/// Names one request of a caller; given out by who receives it, never twice by one process.
using request_token = std::uint64_t;
/// Names one call to a leaf; never used twice by one process.
using call_number = std::uint64_t;

struct header {
    std::string name;
    std::string value;

    auto operator<=>(header const&) const = default;
};

/// The part of a gather that another daemon asks for.
struct relayed_request {
    /// The configuration that it arrived under.
    std::uint64_t version { 0 };
    /// Of the shards in the route's list.
    std::vector<std::size_t> places;
    /// What has come by then is the answer.
    std::chrono::milliseconds answerWithin { 0 };

    bool operator==(relayed_request const&) const = default;
};

/// A request as it came from a caller. Method, target, headers and body are passed on as they are.
struct caller_request {
    std::string method;
    std::string target;
    std::string host;
    /// The caller's own name for this attempt.
    std::string attemptId;
    /// How long the caller waits.
    std::optional<std::chrono::milliseconds> patience;
    /// What the way here and the way back take of the caller's time, a new connection included; nothing when not known.
    std::optional<kernel::duration> transit;
    std::vector<header> headers;
    std::string body;
    /// Set when another daemon asks.
    std::optional<relayed_request> relayed;
};

/// What a leaf says of its load in an answer.
struct leaf_load {
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t slots { 0 };

    auto operator<=>(leaf_load const&) const = default;
};

struct leaf_reply {
    int status { 0 };
    std::vector<header> headers;
    std::string body;
    /// Of the request that it answers.
    std::string attemptId;
    /// Proves that the answer is the leaf's; empty when it has none.
    std::string seal;
    /// The leaf says that it did not run the call.
    bool isNotRun { false };
    /// Another leaf has the address.
    bool isMisdirected { false };
    /// Its body has a content encoding, which no caller asked for.
    bool isEncoded { false };
    std::optional<leaf_load> load;
    /// Of another daemon's answer: the shards in it, and the seals of their leafs in the same order.
    std::vector<std::size_t> relayedPlaces;
    std::vector<std::string> relayedSeals;

    bool isSuccess() const { return status >= 200 && status < 300 && !seal.empty() && !isEncoded; }
};

enum class call_failure {
    /// No byte of the call left this process.
    not_sent,
    /// The connection ended, or the leaf's bytes were no whole answer.
    broken,
    /// No answer in time.
    timed_out,
    cancelled,
};

using call_result = tl::expected<leaf_reply, call_failure>;

/// One call to a leaf.
struct leaf_call {
    call_number number { 0 };
    std::uint32_t leaf { 0 };
    std::string leafId;
    model::endpoint place;
    /// The leaf stops work then.
    std::optional<kernel::time_point> deadline;
    /// Nobody waits for the reply beyond this.
    kernel::time_point givenUpAt;
    bool isRepeatable { false };
    std::shared_ptr<caller_request const> request;
    /// Set when it goes to another daemon.
    std::optional<relayed_request> relayed;
};

/// The answer to a caller: a leaf's own, a merged one, or a refusal.
struct final_answer {
    int status { 0 };
    std::vector<header> headers;
    std::string body;
    std::string seal;
    /// Set in merged answers.
    bool isMerged { false };
    std::vector<std::string> partSeals;
    /// The places of these parts in the route's list.
    std::vector<std::size_t> partPlaces;
    std::string attemptId;
    std::size_t missingParts { 0 };
    /// Set when the caller gets no leaf's answer.
    std::optional<errors::error> refused;
    /// For logs: what decided the outcome.
    std::string reason;
};

}
