#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/model/endpoint.h"
#include "Libraries/zinnialedge/quarantine/suspect_notice.h"
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace zinnialedge::forwarding {

/// Identifies a request of a caller. Tokens are assigned by the component that receives the request and are never reused
/// within a process.
using request_token = std::uint64_t;
/// Identifies a call to a leaf or to another daemon. Call numbers are never reused within a process.
using call_number = std::uint64_t;

struct header {
    std::string name;
    std::string value;

    auto operator<=>(header const&) const = default;
};

/// Part of a gather request that is delegated to another daemon.
struct relayed_request {
    /// Version of the configuration under which the request arrived.
    std::uint64_t version { 0 };
    /// Indices of the shards in the route's list of shards.
    std::vector<std::size_t> shardIndices;
    /// Time limit after which the replies received so far are returned, unless most shards are slow together.
    std::chrono::milliseconds answerTimeLimit { 0 };
    /// Time limit after which the replies received so far are returned in any case; not below `answerTimeLimit`.
    std::chrono::milliseconds latestAnswerTimeLimit { 0 };

    bool operator==(relayed_request const&) const = default;
};

/// Complete request that another daemon passes on because it reaches no leafs itself.
struct detoured_request {
    /// Lowest version of the configuration under which the request may be handled.
    std::uint64_t minimumVersion { 0 };
    /// Time left until the answer is most useful to the other daemon.
    std::chrono::milliseconds objectiveLeft { 0 };
    /// Number of leafs of each shard that the other daemon has called and that may have run the request.
    std::uint32_t attemptsUsed { 0 };
    /// True when the other daemon has counted the request for the budget of extra calls.
    bool isCounted { false };
    /// What the other daemon knows of the request, if leafs were lost under it.
    std::optional<quarantine::suspect_notice> known {};

    bool operator==(detoured_request const&) const = default;
};

/// Request as received from a caller. The method, target, headers and body are forwarded unchanged.
struct caller_request {
    std::string method;
    std::string target;
    std::string host;
    /// Identifier that the caller assigned to this attempt.
    std::string attemptId;
    /// Time that the caller waits for an answer; empty when unknown.
    std::optional<std::chrono::milliseconds> timeLimit;
    /// Round-trip time to the caller, including the setup of a new connection; empty when unknown.
    std::optional<kernel::duration> roundTripTime;
    std::vector<header> headers;
    std::string body;
    /// Access key headers as the caller sent them, which are not among `headers`. Their values are secrets.
    std::vector<header> accessKeys {};
    /// Name of the tenant to which the access key belongs; empty when the request needs none.
    std::string tenant {};
    /// Set when the request was relayed by another daemon.
    std::optional<relayed_request> relayed;
    /// Set when another daemon passed on the complete request.
    std::optional<detoured_request> detoured;
};

/// Returns the digests by which equal requests are recognized: with the query of the target and, if it has one, without.
quarantine::request_digests digestsOf(caller_request const&);

/// Load that a leaf reports in a reply.
struct leaf_load {
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t slots { 0 };
    /// Time that work currently takes on the leaf's machine, in percent of the usual time; empty when the leaf does not report it.
    std::optional<std::uint32_t> machineTime {};

    auto operator<=>(leaf_load const&) const = default;
};

/// Request limit of a leaf, as one daemon tells it to another.
struct leaf_limit_notice {
    std::string leafId;
    double requestsPerSecond { 0 };

    auto operator<=>(leaf_limit_notice const&) const = default;
};

/// What another daemon tells of its answer to a detoured request, besides what a leaf's reply has.
struct detour_outcome {
    /// Reason for the outcome, for the logs.
    std::string reason;
    /// Version of the configuration under which the request was handled.
    std::uint64_t version { 0 };
    /// Error of the other daemon itself; empty when it passes on a leaf's reply or a merged answer.
    std::optional<errors::error_kind> error;
    std::optional<std::chrono::milliseconds> retryAfter;
    std::size_t missingParts { 0 };
};

struct leaf_reply {
    int status { 0 };
    std::vector<header> headers;
    std::string body;
    /// Attempt identifier of the request that this reply answers.
    std::string attemptId;
    /// Proof that the reply originates from the leaf; empty when the reply has no seal.
    std::string seal;
    /// True when the leaf reports that the call was not run.
    bool wasNotRun { false };
    /// True when another leaf answered at the endpoint.
    bool isMisdirected { false };
    /// True when the body has a content encoding, which no caller requested.
    bool isEncoded { false };
    /// True when the leaf reports that it is leaving.
    bool isLeaving { false };
    /// Number of requests per second that the leaf accepts from all daemons together; not a number when the leaf's value was
    /// malformed, and empty when the leaf names no limit.
    std::optional<double> requestLimit;
    /// Time in seconds for which the leaf wants no calls from this daemon; not a number when the leaf's value was malformed.
    std::optional<double> pauseSeconds;
    std::optional<leaf_load> load;
    /// Time for which the leaf stays cold, as it reports; empty when the reply does not tell it.
    std::optional<std::chrono::milliseconds> warmupLeft;
    /// Ids of leafs that are leaving, as reported by another daemon.
    std::vector<std::string> leavingLeafIds;
    /// Limits that leafs have named, as reported by another daemon.
    std::vector<leaf_limit_notice> leafLimits;
    /// Leafs that were lost under the request, as reported by another daemon.
    std::vector<quarantine::loss_notice> losses;
    /// Shards covered by an answer of another daemon; the seals of their leafs are in `relayedSeals` in this order.
    std::vector<std::size_t> relayedShards;
    std::vector<std::string> relayedSeals;
    /// Set in an answer of another daemon to a detoured request, and in its rejections.
    std::optional<detour_outcome> detour;
    /// True when no other call was sent over the connection before.
    bool isOnNewConnection { false };

    bool isSuccess() const { return status >= 200 && status < 300 && !seal.empty() && !isEncoded; }
};

enum class call_failure {
    /// No byte of the call was sent.
    not_sent,
    /// No byte of the call was sent because the leaf wants no calls any more, or because the request has ended.
    withheld,
    /// The connection ended before any byte of the reply.
    broken,
    /// The reply was malformed or incomplete.
    malformed,
    /// No reply arrived before the timeout.
    timed_out,
    cancelled,
};

using call_result = tl::expected<leaf_reply, call_failure>;

/// Call to a leaf or to another daemon.
struct leaf_call {
    call_number number { 0 };
    std::uint32_t leaf { 0 };
    std::string leafId;
    model::endpoint endpoint;
    /// Time at which the leaf stops working on the call.
    std::optional<kernel::time_point> deadline;
    /// Time at which the call is abandoned.
    kernel::time_point abandonAt;
    bool isRepeatable { false };
    std::shared_ptr<caller_request const> request;
    /// Set when the call asks another daemon for some shards.
    std::optional<relayed_request> relayed;
    /// Set when the call passes the complete request on to another daemon.
    std::optional<detoured_request> detoured;
    /// True for a status request that shows whether the leaf can be reached over a new connection.
    bool isProbe { false };
};

/// Answer to a caller: a leaf's reply, a merged answer, or an error.
struct final_answer {
    int status { 0 };
    std::vector<header> headers;
    std::string body;
    std::string seal;
    /// True for answers merged from the replies of several shards.
    bool isMerged { false };
    std::vector<std::string> partSeals;
    /// Shard indices of the merged parts, in the order of `partSeals`.
    std::vector<std::size_t> partShards;
    /// Ids of leafs whose replies to this request said that they are leaving.
    std::vector<std::string> leavingLeafIds;
    /// Limits that leafs named in their replies to this request.
    std::vector<leaf_limit_notice> leafLimits;
    /// Leafs that were lost under the request; told to the daemon that relayed it.
    std::vector<quarantine::loss_notice> losses;
    std::string attemptId;
    std::size_t missingParts { 0 };
    /// Version of the configuration under which the request was handled.
    std::uint64_t version { 0 };
    /// True when the answer goes to a daemon that has passed on the complete request.
    bool isForDetour { false };
    /// Error that the caller gets when no leaf's reply is passed on.
    std::optional<errors::error> error;
    /// Reason for the outcome, for the logs.
    std::string reason;
};

}
