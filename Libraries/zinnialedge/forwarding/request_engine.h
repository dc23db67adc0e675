#pragma once

#include "Libraries/zinnialedge/forwarding/active_request.h"
#include "Libraries/zinnialedge/forwarding/extra_call_budget.h"
#include "Libraries/zinnialedge/forwarding/fleet_share.h"
#include "Libraries/zinnialedge/forwarding/leaf_roster.h"
#include "Libraries/zinnialedge/limits/admission_queue.h"
#include "Libraries/zinnialedge/limits/moving_quantile.h"
#include <deque>
#include <functional>
#include <map>
#include <queue>

namespace zinnialedge::forwarding {

struct engine_settings {
    std::string dataCentre;
    /// The most requests in flight at once.
    std::size_t capacity { 2000 };
    extra_call_limits extraCalls;
    /// The way from a caller and back, when it is not known.
    std::chrono::milliseconds usualTransit { 6 };
};

/// How one request went, for logs and metrics.
struct request_report {
    std::string const& attemptId;
    std::string const& route;
    std::uint64_t version { 0 };
    int status { 0 };
    std::size_t parts { 0 };
    std::size_t missing { 0 };
    /// Of the missing ones, those that were not asked because they would have been late.
    std::size_t leftOut { 0 };
    std::size_t copies { 0 };
    std::size_t retries { 0 };
    /// Copies and retries that the budget did not allow.
    std::size_t denied { 0 };
    kernel::duration elapsed {};
    std::chrono::milliseconds objective { 0 };
    std::string const& reason;
    bool hasCallerLeft { false };
    /// The services of the first missing shards, separated by commas.
    std::string missingShards;
    /// What a refusal tells its caller.
    std::optional<std::chrono::milliseconds> retryAfter;
    /// Requests over the same shards, and how many may be in flight; zero for requests to single leafs.
    std::size_t admittedInFlight { 0 };
    std::uint32_t admissionLimit { 0 };
};

/// Why a call was sent beyond the first of its shard.
enum class extra_call_reason {
    slow,
    refused,
    failed,
};

struct engine_hooks {
    /// Sends a call; its end is reported later, never from within.
    std::function<void(leaf_call)> send;
    /// Ends a call with that failure; its end is reported like any other.
    std::function<void(call_number, call_failure)> cancel;
    std::function<void(request_token, final_answer)> answer;
    std::function<void(request_report const&)> report;
    /// A leaf's answer to a call that is worth a line: anything but a success.
    std::function<void(std::string const& attemptId, std::string const& leafId, std::string_view event, kernel::duration age)> note;
};

/// Counts since the process started.
struct engine_counters {
    std::uint64_t requests { 0 };
    std::uint64_t answers { 0 };
    std::uint64_t partialAnswers { 0 };
    std::uint64_t refusals { 0 };
    std::uint64_t failures { 0 };
    std::uint64_t callersLeft { 0 };
    std::uint64_t calls { 0 };
    std::uint64_t copies { 0 };
    std::uint64_t retries { 0 };
    std::uint64_t relays { 0 };
    std::uint64_t relaysReplaced { 0 };
    std::uint64_t extraCallsDenied { 0 };
    std::uint64_t shardsLeftOut { 0 };
    std::uint64_t lateReplies { 0 };
};

/// Decides for each request which leafs are called, when a copy is sent, and what the caller gets. No I/O: what happens
/// is told to it together with the time, and it acts through hooks.
class request_engine {
public:
    request_engine(engine_settings, engine_hooks, kernel::random_hook, kernel::time_point startedAt);

    void setRoutes(route_table_pointer, kernel::time_point now);
    void setLeafs(std::vector<leaf_registration> const&, kernel::time_point now);
    void setFleetShare(fleet_share);
    void setExtraCalls(extra_call_limits, kernel::time_point now);

    void arrive(request_token, caller_request, kernel::time_point now);
    void callerLeft(request_token, kernel::time_point now);
    void callEnded(call_number, call_result, kernel::time_point now);
    void runTimers(kernel::time_point now);
    std::optional<kernel::time_point> nextTimer() const;

    engine_counters const& counters() const { return m_counters; }
    std::size_t requestsInFlight() const { return m_requests.size(); }
    std::size_t callsInFlight() const { return m_calls.size(); }
    leaf_roster const& leafs() const { return m_leafs; }
    route_table_pointer const& routes() const { return m_routes; }

private:
    enum class timer_kind {
        copy,
        objective,
        late,
        end,
        abandon,
        call_given_up,
        relay_late,
        /// Requests wait for admission to an index.
        admit,
    };

    struct timer {
        kernel::time_point at;
        timer_kind kind { timer_kind::end };
        /// A request, a call, or an index.
        std::uint64_t subject { 0 };

        bool operator>(timer const& other) const { return at > other.at; }
    };

    struct call_owner {
        request_token request { 0 };
        std::size_t place { 0 };
        leaf_handle leaf { 0 };
        kernel::time_point sentAt;
    };

    /// A call to another daemon.
    struct relay_owner {
        request_token request { 0 };
        std::vector<std::size_t> places;
        relay to;
        kernel::time_point sentAt;
    };

    struct relay_state {
        kernel::time_point avoidedUntil;
        kernel::time_point lastAnswerAt;
        std::size_t inFlight { 0 };
    };

    struct waiting_part {
        request_token request { 0 };
        std::size_t place { 0 };
        std::uint32_t priority { 0 };
    };

    /// What is kept of a route over its versions.
    struct route_history {
        limits::moving_quantile callTime;
    };

    struct service_history {
        extra_call_budget budget;
        std::deque<waiting_part> waiting;
    };

    /// The admission to the shards of one index, which is known by its first shard.
    struct index_admission {
        std::uint64_t number { 0 };
        limits::admission_queue queue;
    };

    // Arrival.
    void refuse(request_token, caller_request const&, final_answer);
    final_answer makeRefusal(errors::error_kind, std::string reason, kernel::duration wait);
    std::string const& chooseService(route const&);
    void makeParts(active_request&, kernel::time_point now);
    /// Gives up shards that would be late as far as the answer may lack them.
    void leaveOutWeakShards(active_request&, kernel::time_point now);
    /// Asks them after all as far as the answer can't lack them any more.
    void callLeftOutShards(active_request&, kernel::time_point now);
    /// Calls the leafs of a request.
    void begin(active_request&, kernel::time_point now);
    /// Lets a request over shards in, lets it wait, or refuses it while its leafs are overloaded. True when it may begin.
    bool enter(active_request&, kernel::time_point now);
    /// The request ends, or its caller has left.
    void leaveAdmission(active_request&, kernel::time_point now);
    void admitWaiting(std::uint64_t index, kernel::time_point now);
    index_admission& admissionOf(route const&);
    active_request* admit(request_token, caller_request, route const&, kernel::time_point now);

    // Calls.
    void startPart(active_request&, std::size_t place, kernel::time_point now);
    void send(active_request&, std::size_t place, leaf_handle, kernel::time_point now);
    void wait(active_request&, std::size_t place);
    void dispatchWaiting(std::string const& service, kernel::time_point now);
    void dispatchAllWaiting(kernel::time_point now);
    /// Sends a copy of each call that takes longer than usual.
    void sendCopies(active_request&, kernel::time_point now);
    bool sendCopy(active_request&, std::size_t place, kernel::time_point now);
    /// False when the budget has no room for it.
    bool sendCopyTo(active_request&, std::size_t place, leaf_handle, kernel::time_point now);
    /// Takes an extra call from the budget of the part's service; false when it has none.
    [[nodiscard]] bool takeExtraCall(active_request&, std::size_t place, kernel::time_point now);
    /// After this time a call gets a copy, and a leaf that has been silent for so long is suspect.
    kernel::duration copyDelayOf(route const&);

    // Calls through other daemons.
    /// Asks daemons of other data centres for the shards that have no sound leaf in the own one.
    void sendRelays(active_request&, kernel::time_point now);
    std::optional<relay> chooseRelay(std::string const& dataCentre, kernel::time_point now);
    /// How long the other daemon may take.
    std::chrono::milliseconds relayTime(active_request const&, kernel::time_point now);
    void sendRelay(active_request&, relay const&, std::vector<std::size_t> places, kernel::time_point now);
    void relayEnded(call_number, relay_owner const&, call_result, kernel::time_point now);
    void acceptRelayed(active_request&, relay_owner const&, leaf_reply, kernel::time_point now);
    /// Calls leafs directly for the shards that another daemon did not answer.
    void replaceRelay(active_request&, relay_owner const&, bool hasReachedLeafs, kernel::time_point now);
    /// The same for one shard, whose leaf there is slow or has failed. False when no other leaf may be called.
    bool replaceRelayedPart(active_request&, std::size_t place, kernel::time_point now);
    void endLateRelay(call_number, kernel::time_point now);

    // Replies.
    void noteLeaf(call_owner const&, call_result const&, kernel::time_point now);
    void noteEvent(active_request const&, call_owner const&, std::string_view event, kernel::time_point now);
    void handleReply(active_request&, call_owner const&, leaf_reply, kernel::time_point now);
    void handleFailure(active_request&, call_owner const&, call_failure, kernel::time_point now);
    /// Tries another leaf, or gives the part up.
    void retryOrMiss(active_request&, std::size_t place, bool hasReachedLeaf, kernel::time_point now);
    bool mayRetry(active_request const&, std::size_t place, kernel::time_point now) const;
    void miss(active_request&, std::size_t place, kernel::time_point now);

    // Settling.
    void settleIfDecided(active_request&, kernel::time_point now);
    void settleMerged(active_request&, std::string reason, kernel::time_point now);
    void settleSingle(active_request&, kernel::time_point now);
    void settleAtEnd(active_request&, kernel::time_point now);
    void settleRefused(active_request&, errors::error_kind, std::string reason, kernel::time_point now);
    /// Refuses a request of which nothing was sent, with the time at which there will be room.
    void settleOverloaded(active_request&, kernel::time_point now);
    void settle(active_request&, final_answer, kernel::time_point now);
    void report(active_request const&, int status, std::string const& reason, std::optional<std::chrono::milliseconds> retryAfter, kernel::time_point now);
    void abandon(active_request&, kernel::time_point now);

    route_history& historyOf(route const&);
    service_history& historyOf(std::string const& service);
    active_request* find(request_token);

    engine_settings m_settings;
    engine_hooks m_hooks;
    kernel::random_hook m_random;
    kernel::time_point m_startedAt;
    leaf_roster m_leafs;
    route_table_pointer m_routes;
    fleet_share m_share;
    std::map<relay, relay_state> m_relays;
    std::unordered_map<request_token, active_request> m_requests;
    std::unordered_map<call_number, call_owner> m_calls;
    std::unordered_map<call_number, relay_owner> m_relayCalls;
    std::unordered_map<std::string, route_history> m_routeHistories;
    std::unordered_map<std::string, service_history> m_serviceHistories;
    std::unordered_map<std::string, index_admission> m_admissions;
    std::unordered_map<std::uint64_t, index_admission*> m_admissionsByNumber;
    std::priority_queue<timer, std::vector<timer>, std::greater<>> m_timers;
    call_number m_lastCall { 0 };
    /// Of late, of the extra calls that were wanted.
    double m_deniedShare { 0 };
    engine_counters m_counters;
};

}
