#pragma once

#include "Libraries/zinnialedge/forwarding/leaf_roster.h"
#include "Libraries/zinnialedge/forwarding/messages.h"
#include "Libraries/zinnialedge/limits/hedge_hold.h"
#include "Libraries/zinnialedge/quarantine/request_evidence.h"
#include <algorithm>

namespace zinnialedge::forwarding {

/// A leaf call in flight for one part.
struct part_call {
    call_number number { 0 };
    leaf_handle leaf { 0 };
    kernel::time_point sentAt;
};

/// Contribution of one service to an answer: one shard of a gather request, or a complete request to a single service.
struct request_part {
    std::string const* service { nullptr };
    std::vector<leaf_handle> calledLeafs;
    std::vector<part_call> calls;
    std::optional<leaf_reply> reply;
    /// Error reply of a leaf, passed on to the caller when no other leaf replies with a success.
    std::optional<leaf_reply> errorReply;
    /// Number of the relay call that covers this part, or zero.
    call_number relayCallNumber { 0 };
    /// Data centre of the daemon to which this part was relayed. The leaf call of that daemon counts as an attempt.
    std::optional<std::string> relayDataCentre;
    /// Seal of a leaf whose records arrived in the answer of another daemon; empty when this part was not relayed.
    std::string relayedSeal;
    /// Index of the shard in the route's list of shards.
    std::size_t shardIndex { 0 };
    /// True when no further leaf will be called for this part.
    bool isMissing { false };
    /// True when the shard was skipped because its reply would be late. A skipped shard is queried when another part fails.
    bool isSkipped { false };
    bool isQueued { false };
    bool isHedged { false };
    /// True while the part waits for a sign that its request does not end the leafs that run it.
    bool isHeld { false };
    /// Number of calls sent, without the calls that are known not to have run.
    std::size_t callsThatMayHaveRun { 0 };

    bool mayHaveRun() const { return callsThatMayHaveRun > 0; }
    bool isAnswered() const { return reply.has_value() || !relayedSeal.empty(); }
    bool isSettled() const { return isMissing || isAnswered(); }
    std::size_t attemptCount() const { return calledLeafs.size() + (relayDataCentre ? 1 : 0); }
};

/// Admission state of a request over shards.
enum class admission_state {
    /// The request occupies neither a slot nor a queue entry: admission does not apply, has not begun, or has ended.
    none,
    queued,
    admitted,
};

/// Passing on of a complete request to another daemon.
struct request_detour {
    /// Open call to the other daemon, or zero.
    call_number callNumber { 0 };
    /// Daemons that got the request, the last one included.
    std::vector<model::endpoint> calledDaemons;
    /// True when a leaf may have run the request before the last daemon got it.
    bool mayHaveRunBefore { false };
    /// True when a leaf may have run the request, be it before or through the last daemon.
    bool mayHaveRun { false };
    /// Number of leafs of each shard that were called before the last daemon got the request, as far as they count as attempts.
    std::uint32_t attemptsUsed { 0 };
    /// True when this daemon has counted the request for the budget of extra calls.
    bool isCounted { false };
    /// True when the daemon was asked because only it tries the quarantined request again.
    bool isTrial { false };
};

/// A request in flight.
struct active_request {
    request_token token { 0 };
    std::shared_ptr<caller_request const> request;
    std::shared_ptr<quarantine::request_evidence> evidence;
    /// Route table under which the request arrived; owns the route that `matchedRoute` points to.
    route_table_pointer table;
    route const* matchedRoute { nullptr };
    /// Tenant of the request in `table`, which owns it; null when the request has none or the table does not declare it.
    tenant const* matchedTenant { nullptr };
    kernel::time_point arrivedAt;
    /// Time at which the first leaf call was sent; later than the arrival when the request was queued.
    kernel::time_point startedAt;
    /// Time of the last reply to a leaf call, or of the first call when no reply has arrived.
    kernel::time_point lastReplyAt;
    kernel::time_point objectiveAt;
    kernel::time_point endAt;
    std::optional<kernel::time_point> callerDeadline;
    std::vector<request_part> parts;
    /// Set once the request has been passed on to another daemon; its parts count no more then.
    std::optional<request_detour> detour;
    /// Bodies of relayed answers, each with the greatest records of the relayed parts.
    std::vector<std::string> relayedBodies;
    /// Ids of leafs that said in their replies that they are leaving.
    std::vector<std::string> leavingLeafIds;
    /// Limits that leafs named in their replies.
    std::vector<leaf_limit_notice> leafLimits;
    std::size_t answeredPartCount { 0 };
    std::size_t missingPartCount { 0 };
    std::size_t skippedPartCount { 0 };
    std::size_t heldPartCount { 0 };
    std::size_t hedgeCount { 0 };
    std::size_t retryCount { 0 };
    std::size_t deniedExtraCallCount { 0 };
    admission_state admission { admission_state::none };
    bool isCallerDisconnected { false };
    /// True while a detoured request waits for a check of this daemon's links, before any call.
    bool awaitsLinkCheck { false };
    /// True when the request was counted for the quota of its tenant.
    bool isCountedForQuota { false };
    /// True after two objectives, from when on an answer with the minimum coverage is sent at once.
    bool acceptsMinimumCoverage { false };
    /// True while further hedges wait for the first reply of any leaf.
    bool doHedgesAwaitReply { false };
    /// True when many shards had not replied by the objective, which means that their leafs do not keep up.
    bool wasCongested { false };

    /// Returns the tenant's priority, or the route's if the tenant has none, in the upper 16 bits and the route's in the lower 16 bits;
    /// 0 is the most urgent.
    std::uint32_t priority() const;
    bool isRelayed() const { return request->relayed.has_value(); }
    /// Returns whether another daemon has sent the request, for some shards or as a whole.
    bool isFromDaemon() const { return isRelayed() || request->detoured; }
    /// Returns the tenant whose share the request uses; empty for requests without a declared tenant.
    std::string const& shareHolder() const;
    void addAllShards();
    /// Returns the number of leafs that may be called for each part.
    std::size_t maximumAttempts() const { return matchedRoute->maximumAttempts - std::min(matchedRoute->maximumAttempts, request->detoured ? request->detoured->attemptsUsed : 0); }
    std::size_t settledPartCount() const { return answeredPartCount + missingPartCount; }
    bool mayHaveRun() const;
    /// Returns whether a part other than `partIndex` has a call in flight, waits in a queue, or was relayed and not answered yet.
    bool hasOpenCalls(std::size_t partIndex) const;
    /// Returns whether parts wait although no open call can tell any more whether the request ends leafs.
    bool isHeldForNothing() const;
    /// Returns whether a daemon of another data centre was asked for parts, or parts have replies already.
    bool hasUsedAttempts() const;
    /// Returns whether any call was sent.
    bool hasSentCalls() const;
    bool hasMinimumCoverage() const;
    bool canReachMinimumCoverage() const;
    /// Returns the smallest number of parts with which an answer to a gather request is valid.
    std::size_t minimumPartCount() const;
    /// Returns true when more than a seventh of the shards were queried and have not replied.
    bool lacksManyReplies() const;
    /// Returns the progress of the calls that this daemon itself sent to leafs.
    limits::call_progress callProgress(kernel::duration ownDelay, kernel::time_point now) const;
    /// Returns the number of further parts that may be missing from the answer.
    std::size_t allowedMissingParts() const;
};

}
