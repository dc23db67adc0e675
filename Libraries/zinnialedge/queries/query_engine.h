#pragma once

#include "Libraries/zinnialedge/limits/guaranteed_shares.h"
#include "Libraries/zinnialedge/limits/moving_quantile.h"
#include "Libraries/zinnialedge/limits/shard_admission.h"
#include "Libraries/zinnialedge/limits/token_bucket.h"
#include "Libraries/zinnialedge/quarantine/quarantine_table.h"
#include "Libraries/zinnialedge/queries/query.h"
#include "Libraries/zinnialedge/queries/shard_queue.h"
#include "Libraries/zinnialedge/queries/ticket_table.h"
#include <map>
#include <queue>
#include <unordered_map>

namespace zinnialedge::queries {

/// Selects the mechanisms that are used under load. Benchmarks compare against the baseline with all of them disabled.
struct load_policy {
    /// True to choose leafs by expected delay; false to choose any leaf with free capacity at random.
    bool isComparingDelays { true };
    bool isHedgingEnabled { true };
    /// True to reject queries when the queueing delay of a shard exceeds the deadline; false to admit them.
    bool isShardAdmissionEnabled { true };

    auto operator<=>(load_policy const&) const = default;
};

inline constexpr load_policy naiveLoadPolicy { false, false, false };

struct engine_settings {
    std::string daemon;
    std::uint64_t incarnation { 0 };
    /// Maximum number of queries in flight.
    std::uint32_t queryCapacity { 1024 };
    /// Maximum number of leaf calls in flight; the rings that carry the replies have this size.
    std::size_t leafCallCapacity { 32'768 };
    std::size_t ticketCapacity { 100'000 };
    /// Guaranteed share of the query capacity of each partner, in percent.
    std::map<std::string, std::uint32_t> sharePercentByPartner;
    /// Time before the deadline of a query at which it is answered, so that the answer reaches the caller in time.
    std::chrono::milliseconds returnMargin { 2 };
    load_policy policy;
};

/// Event counts since the process started.
struct engine_counters {
    std::uint64_t queries { 0 };
    std::uint64_t answers { 0 };
    std::uint64_t partialAnswers { 0 };
    std::uint64_t refusals { 0 };
    std::uint64_t abandonedQueries { 0 };
    std::uint64_t relays { 0 };
    std::uint64_t unansweredRelays { 0 };
    std::uint64_t leafCalls { 0 };
    std::uint64_t hedges { 0 };
    std::uint64_t retries { 0 };
    std::uint64_t repins { 0 };
    std::uint64_t lateReplies { 0 };
    std::uint64_t mismatchedReplies { 0 };
    std::uint64_t requestsQuarantined { 0 };
    std::uint64_t rejectionsForQuarantine { 0 };
};

/// Makes all decisions on queries without performing I/O: the same events at the same times, with the same random numbers,
/// give the same actions.
class query_engine {
public:
    query_engine(engine_settings, kernel::random_hook);

    /// Handles an event and returns the actions that the owner must perform.
    actions step(event const&, kernel::time_point now);
    /// Returns the time at which the next timer_due event must be delivered.
    std::optional<kernel::time_point> nextTimerTime() const;

    std::string issueTicketPrefix(kernel::time_point now) const { return m_tickets.issuePrefix(now); }
    engine_counters const& counters() const { return m_counters; }
    routing::leaf_table const& leafs() const { return m_leafs; }
    std::size_t queriesInFlight() const { return m_queries.size(); }
    std::size_t relaysInFlight() const { return m_relayedRequestIds.size(); }
    /// Returns the number of entries in all shard queues.
    std::size_t queuedShardCount() const;
    std::size_t retainedTicketCount() const { return m_tickets.size(); }
    limits::guaranteed_shares const& admission() const { return m_admission; }
    quarantine::quarantine_table const& quarantined() const { return m_quarantine; }

private:
    /// Maximum number of tokens in a budget for hedges or retries.
    static constexpr double maximumBudgetTokens = 20;
    static constexpr std::chrono::milliseconds noLeafRetryAfter { 500 };

    enum class timer_kind {
        deadline,
        soft_deadline,
        caller_deadline,
        relay_deadline,
        hedge,
        /// Other daemons have not been told yet of requests under which leafs were lost.
        share_suspects,
    };

    enum class retry_cost {
        free,
        one_token,
    };

    struct timer {
        kernel::time_point dueAt;
        query_id queryId { 0 };
        std::uint32_t shardIndex { 0 };
        timer_kind kind { timer_kind::deadline };
        /// Caller whose relay is due; used by relay deadlines only.
        caller_token caller { 0 };

        bool operator>(timer const& other) const { return dueAt > other.dueAt; }
    };

    /// Hedge and retry budgets of one service, and the delay before its calls are hedged.
    struct service_call_budgets {
        limits::token_bucket hedgeBudget;
        limits::token_bucket retryBudget;
        limits::moving_quantile hedgeDelay;
    };

    struct call_record {
        query_id queryId { 0 };
        std::uint32_t shardIndex { 0 };
        std::uint32_t shard { 0 };
        routing::leaf_handle leaf { 0 };
        kernel::time_point sentAt;
        model::snapshot pin;
        /// Ticket whose outcome a late reply settles when the query has already ended.
        std::string ticket;
        std::shared_ptr<quarantine::request_evidence> evidence;
    };

    /// Identifies one shard of a service in one partition epoch.
    struct shard_key {
        std::string service;
        std::uint64_t epoch { 0 };
        std::uint32_t shard { 0 };

        auto operator<=>(shard_key const&) const = default;
    };

    void handle(query_arrived const&, kernel::time_point);
    void handle(caller_left const&, kernel::time_point);
    void handle(leaf_call_ended const&, kernel::time_point);
    void handle(leaf_status_received const&, kernel::time_point);
    void handle(service_declared const&, kernel::time_point);
    void handle(service_removed const&, kernel::time_point);
    void handle(relay_ended const&, kernel::time_point);
    void handle(ticket_admission_changed const&, kernel::time_point);
    void handle(suspects_told const&, kernel::time_point);
    void handle(timer_due const&, kernel::time_point);

    // Arrival.
    errors::error_or<void> validateRequest(model::query_request const&, model::service_declaration const*) const;
    /// Answers or relays a request whose ticket was used before or was issued by another process. Returns false when the
    /// request has no valid ticket, or an unused ticket of this process.
    bool answerByTicket(query_arrived const&, kernel::time_point);
    /// Claims the ticket of a request. Returns false when the ticket cannot be used; the caller then has been answered.
    bool tryClaimTicket(query_arrived const&, kernel::time_point);
    /// Adds a caller to the running query with the same ticket.
    void attachCaller(query&, query_arrived const&, kernel::time_point);
    void relayToIssuer(query_arrived const&, std::string const& daemon, kernel::time_point);
    void failRelayAtDeadline(caller_token);
    void admitQuery(query_arrived const&, std::shared_ptr<model::service_declaration const> const&, kernel::time_point);
    limits::admission_decision evaluateAdmission(query const&, kernel::time_point);
    errors::error makeDeadlineTooShortError(limits::admission_decision const&);
    void rejectRequest(caller_token, model::query_request const&, errors::error);
    /// Sends the result of a request to a caller, with the request id that this caller chose.
    void answerCaller(caller_token, std::string const& requestId, model::answer_or_error);
    kernel::time_point computeDeadline(model::query_request const&, kernel::time_point now) const;
    std::optional<model::snapshot> choosePin(model::query_request const&, model::service_declaration const&);
    std::vector<std::uint32_t> listShards(model::query_request const&, model::service_declaration const&, model::snapshot) const;

    // Scattering.
    void scatter(query&, kernel::time_point);
    void sendOrEnqueueShard(query&, std::uint32_t shardIndex, bool isHedge, kernel::time_point);
    void sendCall(query&, std::uint32_t shardIndex, routing::leaf_handle, bool isHedge, kernel::time_point);
    void enqueueShard(query&, std::uint32_t shardIndex, bool isHedge, kernel::time_point);
    void dequeueShard(query&, std::uint32_t shardIndex);
    shard_queue const* findQueue(query const&, std::uint32_t shard) const;
    void dispatchQueue(shard_key const&, kernel::time_point);
    void dispatchAllQueues(kernel::time_point);
    bool dispatchNextEntry(shard_queue&, kernel::time_point);
    /// Sends the call of an entry that was taken from its queue, or lets the shard wait.
    void sendQueuedShard(query&, shard_queue_entry const&, routing::leaf_handle, kernel::time_point);
    /// Returns the query of a queue entry, or null when the entry is stale.
    query* findQueuedQuery(shard_queue_entry const&);
    /// Reviews all queue entries of a service after a change of the calls that its leafs take: entries are sent, kept, or
    /// abandoned when no leaf can take them any more.
    void reviewQueues(std::string const& service, kernel::time_point);
    void reviewEntry(shard_queue_entry const&, kernel::time_point);
    void abandonQueueEntry(query&, std::uint32_t shardIndex, kernel::time_point);
    static std::chrono::microseconds computeHedgeDelay(service_call_budgets const&);
    void hedgeShard(query&, std::uint32_t shardIndex, kernel::time_point);
    /// Sends a hedge to a leaf that is avoided because it is slow, to measure whether the leaf is still slow.
    void probeSlowLeaf(query&, std::uint32_t shardIndex, kernel::time_point);

    // Gathering.
    void acceptReply(query&, std::uint32_t shardIndex, leaf_outcome const&, kernel::time_point);
    void handleRefusal(query&, std::uint32_t shardIndex, leaf_outcome const&, kernel::time_point);
    void handleFailure(query&, std::uint32_t shardIndex, leaf_outcome const&, kernel::time_point);
    void retryOrMarkMissing(query&, std::uint32_t shardIndex, model::missing_reason, retry_cost, kernel::time_point);
    void repinOrMarkMissing(query&, std::uint32_t shardIndex, model::missing_reason, kernel::time_point);
    void markMissing(query&, std::uint32_t shardIndex, model::missing_reason);
    bool tryRepin(query&, kernel::time_point);
    void cancelCalls(shard_progress&);
    /// Records a reported status. Returns true when the status changes which calls the leaf takes.
    bool recordLeafStatus(routing::leaf_handle, leaf_status const&, kernel::time_point);
    void settleLateReply(call_record const&, leaf_outcome const&);

    // Quarantine.
    quarantine::verdict judge(query const&, kernel::time_point now) const;
    /// Returns whether a call for the shard may be sent now. A shard that may not waits for the outcome of the query's open calls.
    bool mayCallLeaf(query const&, std::uint32_t shardIndex, kernel::time_point now) const;
    /// Records what the end of a call shows about its request.
    void recordOutcome(call_record const&, leaf_outcome const&, kernel::time_point now);
    /// Records a call that tries a quarantined request again.
    void recordQuarantineCall(query&, routing::leaf_handle, kernel::time_point now);
    void reportQuarantine(std::string_view event, quarantine::request_digest const&, std::string const& leaf);
    void holdShard(query&, std::uint32_t shardIndex);
    void resumeShard(query&, std::uint32_t shardIndex, kernel::time_point now);
    /// Calls leafs for the shards of a query that waited, now that a leaf has run its request.
    void releaseHeldShards(query_id, kernel::time_point now);
    /// Tries one of the shards that wait, or rejects the query, when no open call is left to wait for. Returns whether it did.
    bool settleHeld(query&, kernel::time_point now);
    void shareSuspects(kernel::time_point now);

    // Settling.
    void settleIfComplete(query&);
    void settleAtDeadline(query&);
    void settleAtSoftDeadline(query&);
    /// Answers the attached callers whose deadline has passed before the deadline of the running query.
    void answerCallersPastDeadline(query&, kernel::time_point);
    bool hasMinimumCoverage(query const&) const;
    model::answer_or_error makeResult(query&);
    void settleQuery(query&, model::answer_or_error);
    void removeQuery(query&);
    /// Ends a repeatable query that has no callers left, without an answer.
    void abandonQuery(query&);

    service_call_budgets& callBudgetsOf(std::string const& service);
    query* findQuery(query_id);

    engine_settings m_settings;
    kernel::random_hook m_random;
    routing::leaf_table m_leafs;
    limits::guaranteed_shares m_admission;
    ticket_table m_tickets;
    std::optional<errors::error> m_newTicketError;
    engine_counters m_counters;
    std::map<std::string, service_call_budgets> m_callBudgets;
    std::map<shard_key, shard_queue> m_shardQueues;
    kernel::time_point m_nextQueueReview;
    std::unordered_map<query_id, query> m_queries;
    std::unordered_map<caller_token, query_id> m_queryByCaller;
    /// Request ids of the queries that were relayed to another daemon, by caller.
    std::unordered_map<caller_token, std::string> m_relayedRequestIds;
    std::unordered_map<call_id, call_record> m_callsInFlight;
    std::unordered_map<std::string, query_id> m_queryByRunningTicket;
    std::priority_queue<timer, std::vector<timer>, std::greater<>> m_timers;
    quarantine::quarantine_table m_quarantine;
    kernel::time_point m_nextSharingAt;
    bool m_isSharingScheduled { false };
    query_id m_lastQueryId { 0 };
    call_id m_lastCallId { 0 };
    actions m_actions;
};

}
