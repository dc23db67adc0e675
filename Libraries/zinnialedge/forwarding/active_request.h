#pragma once

#include "Libraries/zinnialedge/forwarding/leaf_roster.h"
#include "Libraries/zinnialedge/forwarding/messages.h"

namespace zinnialedge::forwarding {

/// One call in flight for a part.
struct part_call {
    call_number number { 0 };
    leaf_handle leaf { 0 };
    kernel::time_point sentAt;
};

/// What one service contributes to an answer: one shard of a gather, or the whole request.
struct request_part {
    std::string const* service { nullptr };
    std::vector<leaf_handle> asked;
    std::vector<part_call> calls;
    std::optional<leaf_reply> reply;
    /// The leaf's own error answer, passed on when no other leaf does better.
    std::optional<leaf_reply> errorReply;
    /// The call to another daemon that covers it, or zero.
    call_number relayCall { 0 };
    /// Another daemon has asked a leaf of its data centre; that is one of the attempts.
    std::optional<std::string> relayedTo;
    /// Set when it came with another daemon's answer, whose body holds its records.
    std::string relayedSeal;
    /// Its place in the route's list.
    std::size_t shard { 0 };
    /// No more leafs will be tried.
    bool isMissing { false };
    /// Missing because it would have been late; it is asked after all when another part fails.
    bool isLeftOut { false };
    bool isWaiting { false };
    bool hasCopy { false };
    /// Calls that were sent, less those that certainly have not run.
    std::size_t unaccountedCalls { 0 };

    bool mayHaveRun() const { return unaccountedCalls > 0; }
    bool isAnswered() const { return reply.has_value() || !relayedSeal.empty(); }
    bool isSettled() const { return isMissing || isAnswered(); }
    std::size_t attemptsMade() const { return asked.size() + (relayedTo ? 1 : 0); }
};

/// How far a request over shards is with the admission to its leafs.
enum class admission_state {
    /// Not subject to it.
    free,
    waiting,
    entered,
};

/// One request in flight.
struct active_request {
    request_token token { 0 };
    std::shared_ptr<caller_request const> request;
    /// Keeps the route alive.
    route_table_pointer table;
    route const* to { nullptr };
    kernel::time_point arrivedAt;
    /// When its leafs were called first; later than its arrival when it had to wait.
    kernel::time_point beganAt;
    kernel::time_point objectiveAt;
    kernel::time_point endAt;
    std::optional<kernel::time_point> callerDeadline;
    std::vector<request_part> parts;
    /// Answers of other daemons: the greatest records of their parts.
    std::vector<std::string> relayedBodies;
    std::size_t answered { 0 };
    std::size_t missing { 0 };
    std::size_t leftOut { 0 };
    std::size_t copies { 0 };
    std::size_t retries { 0 };
    std::size_t denied { 0 };
    admission_state admission { admission_state::free };
    bool hasCallerLeft { false };
    /// The objective has passed; the least share is enough from now on.
    bool isLate { false };
    /// Many shards had not answered by the objective: their leafs do not keep up.
    bool wasCongested { false };

    bool isRelayed() const { return request->relayed.has_value(); }
    std::size_t settled() const { return answered + missing; }
    bool mayHaveRun() const;
    bool hasLeastShare() const;
    bool canReachLeastShare() const;
    /// Many of its shards have not answered.
    bool lacksManyParts() const;
    /// How many more parts an answer may lack.
    std::size_t spareParts() const;
};

}
