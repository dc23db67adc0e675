#pragma once

#include "Libraries/zinnialedge/access/tenant_counts.h"
#include "Libraries/zinnialedge/forwarding/engine_interface.h"
#include "Libraries/zinnialedge/forwarding/engine_state.h"
#include "Libraries/zinnialedge/forwarding/fleet_share.h"
#include "Libraries/zinnialedge/forwarding/leaf_roster.h"
#include "Libraries/zinnialedge/forwarding/relay_plan.h"
#include "Libraries/zinnialedge/limits/admission_counts.h"
#include "Libraries/zinnialedge/limits/early_returns.h"
#include "Libraries/zinnialedge/limits/held_maximum.h"
#include "Libraries/zinnialedge/limits/weak_shards.h"
#include "Libraries/zinnialedge/quarantine/quarantine_table.h"
#include "Libraries/zinnialedge/reachability/link_monitor.h"
#include <functional>
#include <map>
#include <queue>

namespace zinnialedge::forwarding {

/// Decides for each request which leafs are called, when a hedge is sent, and which answer the caller gets. The engine performs
/// no I/O: events are passed in together with the current time, and actions are executed through hooks.
class request_engine {
public:
    request_engine(engine_settings, engine_hooks, kernel::random_hook, kernel::time_point startedAt);

    void setRoutes(route_table_pointer, kernel::time_point now);
    void setLeafs(std::vector<leaf_registration> const&, kernel::time_point now);
    /// Sets the data centres to whose leafs nothing may be sent. Calls and probes that are not sent yet are withheld.
    void setEvacuations(std::set<std::string> dataCentres, kernel::time_point now);
    void setFleetShare(fleet_share, kernel::time_point now);
    void setExtraCalls(extra_call_limits, kernel::time_point now);
    /// Takes what other daemons know of requests under which leafs were lost.
    void mergeSuspects(std::vector<quarantine::suspect> const&, kernel::time_point now);
    /// Sets whether the leafs that were passed in are up to date. While they are not, replies do not show that a leaf has not ended.
    void setRegistrationsCurrent(bool areCurrent) { m_quarantine.setRegistrationsCurrent(areCurrent); }

    /// Takes that another daemon has lost its links; all `daemonCount` daemons hear of it at about the same time.
    void handleLinkLossNews(std::size_t daemonCount, kernel::time_point now);

    void setQuotaTolerance(allowances::quota_tolerance);
    /// Takes that the daemon is about to stop. Requests that can't be expected to be served until `answersDueAt` are rejected, and those that
    /// are open then are answered.
    void setLeaving(kernel::time_point answersDueAt, kernel::time_point now);
    /// Rejects all further requests.
    void rejectNewRequests() { m_stop.rejectAll(); }
    /// Takes another daemon's report of requests that count towards quotas.
    void mergeUsage(allowances::usage_report const&, kernel::time_point now);

    void handleRequest(request_token, caller_request, kernel::time_point now);
    /// Explains what would become of the request now, if a caller sent it. Its tenant is given by name. Changes nothing. Errors: not_configured,
    /// unknown_route, malformed_request (unknown tenant).
    errors::error_or<request_explanation> explain(caller_request, kernel::time_point now) const;
    void handleCallerDisconnect(request_token, kernel::time_point now);
    void handleCallEnd(call_number, call_result, kernel::time_point now);
    /// Takes that the connection of a call is open, so that the call is being sent. May be called from within the hook that sends it.
    void handleCallConnected(call_number, kernel::time_point now);
    /// Takes what a leaf says about itself in a reply that answers no open call.
    void handleUnmatchedReply(leaf_handle, leaf_reply const&, kernel::time_point now);
    /// Returns whether a call whose connection has just been opened may still be sent. A call that may not must end with
    /// call_failure::withheld.
    bool isCallWanted(call_number, kernel::time_point now) const;
    void runTimers(kernel::time_point now);
    std::optional<kernel::time_point> nextTimerTime() const;

    /// Returns what this daemon heard lately from those with which it keeps quotas, if there are any.
    std::optional<quota_report> quotaState() const;
    engine_counters const& counters() const { return m_counters; }
    access::tenant_counts const& tenantCounts() const { return m_tenantCounts; }
    limits::admission_counts const& admissionCounts() const { return m_admissionCounts; }
    std::size_t requestsInFlight() const { return m_requests.size(); }
    std::vector<open_request> openRequests(kernel::time_point now) const;
    std::size_t callsInFlight() const { return m_calls.size(); }
    leaf_roster const& leafs() const { return m_leafs; }
    route_table_pointer const& routes() const { return m_routes; }
    quarantine::quarantine_table const& quarantined() const { return m_quarantine; }
    reachability::link_state linkState() const { return m_links.state(); }

private:
    friend class request_explainer;

    // Arrival.
    /// Rejects a request that has not been created yet. `to` is null when no route is known.
    void reject(request_token, caller_request const&, final_answer, route const* to = nullptr, std::optional<stop_conflict> const& stop = std::nullopt);
    /// Sets the tenant of a request by its access key and removes the key. Returns whether the request may go on; otherwise the request
    /// has been rejected.
    bool resolveAccess(request_token, caller_request&, route const& to);
    final_answer makeRejection(errors::error_kind, std::string reason, kernel::duration retryAfter);
    final_answer makeStopRejection();
    route const* findRoute(caller_request const&) const;
    /// Fills in everything but the token and the parts.
    void describeRequest(active_request&, caller_request, route const&, kernel::time_point now) const;
    std::string const& chooseService(route const&);
    void makeParts(active_request&, kernel::time_point now);
    limits::shard_skip_input describeSlowShards(active_request const&, kernel::time_point now) const;
    /// Skips slow shards, up to the number of shards that may be missing from the answer.
    void skipSlowShards(active_request&, kernel::time_point now);
    /// Queries skipped shards until the minimum coverage can be reached again.
    void callSkippedShards(active_request&, kernel::time_point now);
    /// Marks the parts as missing whose services have no leaf that accepts calls. Rejects the request and returns false when it can't be
    /// served without them.
    bool skipPartsWithoutLeafs(active_request&, kernel::time_point now);
    /// Leaves out the shards whose leafs' request limits allow no call in time, up to the number of shards that may be missing from
    /// the answer. Rejects the request and returns false when more shards would be missing.
    bool skipLimitedShards(active_request&, kernel::time_point now);
    /// Marks parts as the functions above do. Returns whether the request can be served without them, or the wait that prevents it.
    bool leaveOutPartsWithoutLeafs(active_request&, kernel::time_point now) const;
    std::optional<service_wait> leaveOutLimitedShards(active_request&, kernel::time_point now) const;
    /// Serves a request that may call leafs: here, or by a detour.
    void startRequest(active_request&, kernel::time_point now);
    /// Sends the first calls of a request.
    void startCalls(active_request&, kernel::time_point now);
    /// Returns the share of the leafs' capacity that remains for the request while leafs are paused or evacuated, from 0 to 1.
    double acceptingCapacityShare(active_request const&, kernel::time_point now) const;
    /// Admits, enqueues or rejects a request over shards. Returns true when the request is admitted.
    bool admitOrEnqueue(active_request&, kernel::time_point now);
    /// Returns what admitOrEnqueue() would decide.
    admission_preview previewAdmission(active_request const&, kernel::time_point now) const;
    /// Releases the slot or the queue entry of a request that ends or whose caller has disconnected.
    void releaseAdmission(active_request&, kernel::time_point now);
    void admitQueued(std::uint64_t number, kernel::time_point now);
    shard_set_admission& admissionOf(route const&);
    /// Returns for whom the request asks for a slot, and takes note of its return if it was rejected before.
    limits::slot_claim claimOf(active_request const&, kernel::time_point now);
    std::uint64_t fingerprintOf(active_request const&) const;
    void countAdmission(active_request const&);
    /// Sets the weight of tenants without a quota to the mean of the others.
    void setShareWeights();
    /// Returns the time that had passed at the caller before it sent the request, as far as its time limit tells.
    kernel::duration ageOf(caller_request const&, route const&) const;
    active_request* createRequest(request_token, caller_request, route const&, kernel::time_point now);

    /// Counts the request for the budget of extra calls of its services, unless another daemon has counted it.
    void countRequest(active_request const&, kernel::time_point now);

    // Planned stops.
    /// Returns the time within which a request on the route can be expected to be served.
    serving_estimate estimateServingTime(caller_request const&, route const&, kernel::time_point now) const;
    /// Answers a request that is open when all answers are due.
    void settleAtStop(active_request&, kernel::time_point now);

    // Evacuations.
    /// Withholds calls and probes to leafs of evacuated data centres whose connections have not opened.
    void withholdUnsentCalls();
    /// Schedules the end of calls that were sent to the leafs of the data centre and may not have been delivered.
    void limitDelivery(std::string const& dataCentre, kernel::time_point now);
    /// Returns whether the request could be served if no data centre were evacuated.
    bool isPreventedByEvacuation(active_request const&, kernel::time_point now) const;
    void settleEvacuated(active_request&, kernel::time_point now);
    bool isEvacuated(leaf_handle leaf) const { return m_leafs.contains(leaf) && m_leafs.at(leaf).isEvacuated(); }
    // Quotas of tenants.
    /// Returns whether this daemon counts the request for a quota: it comes from a caller, and its tenant has one.
    bool hasQuota(caller_request const&) const;
    /// Counts a request for the quota of its tenant. Rejects the request and returns false when the quota is exhausted.
    bool consumeQuota(request_token, caller_request const&, route const&, kernel::time_point now);
    /// Takes back the count of a request that ends without having reached a leaf.
    void refundQuota(active_request const&, kernel::time_point now);
    void setTenantQuotas(kernel::time_point now);
    void shareUsage(kernel::time_point now);
    void scheduleUsageReport();
    void reportQuotaState(kernel::time_point now);

    // Links to the leafs.
    bool areLinksLost() const { return m_links.state() == reachability::link_state::lost; }
    /// Records what the end of a call tells about the links.
    void recordLinkSign(leaf_handle, call_result const&, kernel::time_point now);
    void scheduleLinkCheck(kernel::time_point now);
    /// Sends due probes and acts on a change of the links' state.
    void checkLinks(kernel::time_point now);
    void handleLinkStateChange(reachability::link_state before, kernel::time_point now);
    /// Lets a detoured request wait while it is not known whether the links are lost. Returns whether it waits.
    bool holdForLinkCheck(active_request&, kernel::time_point now);
    /// Checks the links at once when no leaf has replied for seconds.
    void checkQuietLinks(kernel::time_point now);
    void releaseFromLinkCheck(kernel::time_point now);
    void sendProbes(std::size_t count, kernel::time_point now);
    void handleProbeEnd(probe_context const&, call_result const&, kernel::time_point now);

    // Detours: complete requests that other daemons handle while this daemon reaches no leafs.
    /// Handles a request that arrives while the links are lost. Returns false when the request is to be tried directly.
    bool handleWithoutLinks(active_request&, kernel::time_point now);
    /// Takes that the daemon reaches no leafs, for some seconds or until membership offers the daemon anew.
    void markWithoutLeafs(relay const&, kernel::time_point now);
    void clearMarksOfReturned(std::vector<relay> const& detours);
    std::optional<relay> chooseDetour(active_request const&, kernel::time_point now);
    /// Daemons that are equal are taken in their order from `offset` on.
    std::optional<relay> chooseDetour(active_request const&, std::size_t offset, kernel::time_point now) const;
    /// Passes the request on to a daemon that has not had it yet. Returns false when there is none.
    bool sendDetour(active_request&, bool isCounted, kernel::time_point now);
    void sendDetourTo(relay const&, active_request&, bool isCounted, kernel::time_point now);
    /// Passes on a request whose calls can't be answered any more, if nothing can run twice by that. Returns whether it did.
    bool switchToDetour(active_request&, kernel::time_point now);
    /// Ends the calls and queue entries of a request that goes on through another daemon.
    void withdrawCalls(active_request&, kernel::time_point now);
    /// Returns whether a leaf may have got a call for the part.
    bool mayHaveReachedLeaf(request_part const&) const;
    /// Consumes an extra call for each part that leafs may have got already. Returns false when the budget does not allow them.
    bool consumeExtraCalls(active_request&, kernel::time_point now);
    void switchAllToDetours(kernel::time_point now);
    void handleDetourEnd(detour_call_context const&, call_result, kernel::time_point now);
    void handleLateDetour(call_number, kernel::time_point now);
    /// Sends the other daemon's answer to the caller.
    void settleDetour(active_request&, leaf_reply, kernel::time_point now);
    /// Ends a request that no daemon has answered.
    void settleWithoutLinks(active_request&, kernel::time_point now);

    // Calls.
    void callPart(active_request&, std::size_t partIndex, kernel::time_point now);
    void sendCall(active_request&, std::size_t partIndex, leaf_handle, kernel::time_point now);
    void enqueuePart(active_request&, std::size_t partIndex, kernel::time_point now);
    void dispatchQueuedParts(std::string const& service, kernel::time_point now);
    void dispatchAllQueuedParts(kernel::time_point now);
    /// Schedules the dispatch of queued parts of the service for the time at which request limits allow the next call.
    void scheduleDispatch(std::string const& service, std::span<leaf_handle const> excluded, kernel::time_point now);
    /// Sends a hedge for each call that exceeds the hedge delay, and schedules the next check. `dueAt` is the time for which this
    /// check was scheduled.
    void sendDueHedges(active_request&, kernel::time_point dueAt, kernel::time_point now);
    bool sendHedge(active_request&, std::size_t partIndex, kernel::time_point now);
    /// Sends a hedge to the given leaf. Returns false when the extra-call budget is exhausted.
    bool sendHedgeTo(active_request&, std::size_t partIndex, leaf_handle, kernel::time_point now);
    /// Consumes an extra call from the budget of the part's service. Returns false when the budget is exhausted.
    [[nodiscard]] bool consumeExtraCall(active_request&, std::size_t partIndex, kernel::time_point now);
    /// Returns the number of daemons that share the slack of extra calls; zero when this daemon has no slack.
    std::size_t slackSharers(kernel::time_point now) const;
    /// Returns the time after which a call is hedged and an unresponsive leaf is suspect.
    kernel::duration hedgeDelayOf(route const&) const;

    // Quarantine.
    quarantine::verdict judge(quarantine::request_evidence&, kernel::time_point now) const;
    /// Returns the other daemon that alone tries the quarantined request again; empty when this daemon does.
    std::optional<relay> trialDaemonOf(quarantine::request_evidence&) const;
    /// Returns the index of the daemon among the detours that tries requests with this digest again; empty when this daemon does.
    std::optional<std::size_t> chooseTrialDaemon(quarantine::request_digest const&) const;
    /// Passes a request that is due for a trial on to the daemon that tries it again. Returns whether it did.
    bool passTrialOn(active_request&, kernel::time_point now);
    /// Returns whether a call for the part may be sent now. A part that may not waits for the outcome of the request's open calls.
    bool mayCallLeaf(active_request&, std::size_t partIndex, kernel::time_point now) const;
    void recordLoss(call_context const&, kernel::time_point now);
    /// Records that a call ended with neither a reply nor a sign of the leaf's end.
    void recordUnanswered(call_context const&, kernel::time_point now);
    /// Records that the leaf has replied to a call, so that only connections to it were lost, of this daemon or of others.
    void recordLife(leaf_handle, kernel::time_point sentAt, kernel::time_point now);
    /// Records that a leaf ran the request and replied.
    void recordRun(quarantine::request_evidence&, kernel::time_point now);
    /// Records a call that tries a quarantined request again.
    void recordQuarantineCall(quarantine::request_evidence&, std::string const& leafId, kernel::time_point now);
    void logQuarantine(std::string_view event, quarantine::request_digests const&, std::string const& leafId, kernel::time_point now);
    /// Lets a part wait until a leaf has run its request or no call of it is open any more.
    void holdPart(active_request&, std::size_t partIndex);
    /// Calls leafs for the parts of a request that waited, now that a leaf has run the request.
    void releaseHeldParts(request_token, kernel::time_point now);
    /// Calls a leaf, first or again, for a part that waited.
    void resumePart(active_request&, std::size_t partIndex, kernel::time_point now);
    /// Calls a leaf for one of the parts that wait, if it may be called. Returns whether there was one.
    bool tryHeldPart(active_request&, kernel::time_point now);
    void settleQuarantined(active_request&, kernel::time_point now);
    /// Takes what the daemon that passed the request on knows of it.
    void mergeDetouredKnowledge(active_request const&, kernel::time_point now);
    void shareSuspects(kernel::time_point now);
    /// Schedules probes of lost leafs while any request is quarantined.
    void scheduleLossCheck(kernel::time_point now);
    /// Probes the leafs that were lost under quarantined requests, whose replies show that only connections were lost.
    void checkLosses(kernel::time_point now);
    void sendLossProbe(leaf_handle, kernel::time_point now);
    void handleLossProbeEnd(probe_context const&, call_result const&, kernel::time_point now);

    // Calls through other daemons.
    /// Relays shards without a healthy leaf in the local data centre to daemons of other data centres.
    void sendRelays(active_request&, kernel::time_point now);
    std::optional<relay> chooseRelay(std::string const& dataCentre, kernel::time_point now);
    std::optional<relay> chooseRelay(std::string const& dataCentre, std::size_t offset, kernel::time_point now) const;
    /// Returns the shards to relay by data centre. `hasRelay` tells whether a daemon of a data centre can be asked.
    std::vector<relayed_shards> planShardRelays(active_request const&, std::function<bool(std::string const&)> const& hasRelay, kernel::time_point now) const;
    /// Returns the time limit that a relay call gives to the other daemon.
    std::chrono::milliseconds relayTimeLimit(active_request const&, kernel::time_point now);
    /// Returns the time after which a relay call is late. The time follows the typical duration of relay calls, which is longer
    /// on VMs with little processor time.
    kernel::duration relayLateTime(std::chrono::milliseconds answerTimeLimit, std::chrono::milliseconds latestAnswerTimeLimit) const;
    /// Answers a request of another daemon at its time limit, or later while most of its shards are slow together.
    void settleRelayedAtLimit(active_request&, kernel::time_point dueAt, kernel::time_point now);
    void sendRelay(active_request&, relay const&, std::vector<std::size_t> partIndices, kernel::time_point now);
    /// Applies what leafs have told another daemon, as its reply says: that they are leaving, or their limits.
    void applyForwardedNotices(leaf_reply const&, kernel::time_point now);
    void handleRelayEnd(call_number, relay_call_context const&, call_result, kernel::time_point now);
    void acceptRelayedAnswer(active_request&, relay_call_context const&, leaf_reply, kernel::time_point now);
    /// Calls leafs directly for the shards that are missing from another daemon's answer.
    void replaceUnansweredParts(active_request&, relay_call_context const&, bool hasReachedLeafs, kernel::time_point now);
    /// Calls a leaf of another data centre for one relayed shard whose leaf is slow or has failed. Returns false when no further
    /// leaf may be called.
    bool hedgeRelayedPart(active_request&, std::size_t partIndex, kernel::time_point now);
    void handleLateRelay(call_number, kernel::time_point now);

    // Replies.
    void recordLeafResult(call_context const&, call_result const&, kernel::time_point now);
    void reportBrokenCall(call_context const&, kernel::time_point now);
    /// Applies what the leaf says about itself in a reply: that it is leaving, or that it wants no calls for a time.
    void applyLeafNotices(leaf_handle, leaf_reply const&, std::string const& attemptId, kernel::time_point now);
    /// Applies the limit that the leaf names in a reply, or the end of the limit when a sealed reply names none.
    void applyLeafLimit(leaf_handle, leaf_reply const&, kernel::time_point sentAt, kernel::time_point now);
    /// Applies the remaining warm-up time that the leaf tells in a reply.
    void applyLeafWarmup(leaf_handle, leaf_reply const&, kernel::time_point sentAt, kernel::time_point now);
    /// Adapts the pace of a leaf that starts to the end of a call.
    void adaptPace(call_context const&, call_result const&, kernel::time_point now);
    /// Returns whether the request may try an idle leaf in its start phase: another leaf can still answer the request in time.
    bool mayTryIdleLeaf(active_request const&, std::size_t partIndex, kernel::time_point now) const;
    /// Logs changes of leafs' phases, at intervals.
    void reviewLeafs(kernel::time_point now);
    void setLeafLimit(leaf_handle, double requestsPerSecond, kernel::time_point now);
    void logLeafEvent(active_request const&, call_context const&, std::string_view event, kernel::time_point now);
    void handleReply(active_request&, call_context const&, leaf_reply, kernel::time_point now);
    void handleFailure(active_request&, call_context const&, call_failure, kernel::time_point now);
    /// Retries with another leaf, or marks the part as missing.
    void retryOrMarkMissing(active_request&, std::size_t partIndex, bool hasReachedLeaf, kernel::time_point now);
    bool canRetry(active_request const&, std::size_t partIndex, kernel::time_point now) const;
    void markMissing(active_request&, std::size_t partIndex, kernel::time_point now);

    // Settling.
    void settleIfDecided(active_request&, kernel::time_point now);
    void settleMerged(active_request&, std::string reason, kernel::time_point now);
    void settleSingle(active_request&, kernel::time_point now);
    void settleAtEnd(active_request&, kernel::time_point now);
    void settleWithError(active_request&, errors::error_kind, std::string reason, kernel::time_point now);
    /// Returns the pause that must end before the request can be served, if only pauses prevent it.
    std::optional<service_wait> findPauseWait(active_request const&, kernel::time_point now) const;
    /// Rejects a request of which nothing has run. If only pauses prevent the request, its retry-after is a time at which a paused
    /// leaf has room for it.
    void settleUnavailable(active_request&, errors::error_kind, std::string reason, kernel::time_point now);
    /// Returns the time between two requests that this daemon can serve when the pause of the service's leafs ends.
    kernel::duration pausedCallInterval(std::string const& service) const;
    /// Rejects a request for which no call was sent, with a retry-after from the admission queue.
    void settleOverloaded(active_request&, kernel::time_point now);
    /// Rejects a request that can be served when the wait ends. `interval` is the time between two requests that this daemon can
    /// serve then.
    void settleUntil(active_request&, service_wait const&, std::string reason, kernel::duration interval, kernel::time_point now);
    void settle(active_request&, final_answer, kernel::time_point now);
    void reportOutcome(active_request const&, int status, std::string const& reason, std::optional<std::chrono::milliseconds> retryAfter, kernel::time_point now);
    void abandon(active_request&, kernel::time_point now);

    route_state& stateOf(route const&);
    relay_state stateOf(relay const&) const;
    service_state& stateOf(std::string const& service);
    active_request* findRequest(request_token);

    engine_settings m_settings;
    engine_hooks m_hooks;
    kernel::random_hook m_random;
    kernel::time_point m_startedAt;
    leaf_roster m_leafs;
    route_table_pointer m_routes;
    fleet_share m_fleetShare;
    /// Number of daemons that share the slack of extra calls, without zeros.
    limits::held_maximum m_slackSharers;
    std::map<relay, relay_state> m_relayStates;
    /// Moving average of the durations of answered relay calls.
    kernel::duration m_typicalRelayDuration;
    std::unordered_map<request_token, active_request> m_requests;
    std::unordered_map<call_number, call_context> m_calls;
    std::unordered_map<call_number, relay_call_context> m_relayCalls;
    std::unordered_map<call_number, detour_call_context> m_detourCalls;
    std::unordered_map<call_number, probe_context> m_probes;
    /// Probes of leafs that were lost under quarantined requests.
    std::unordered_map<call_number, probe_context> m_lossProbes;
    std::optional<kernel::time_point> m_nextLossCheckAt;
    reachability::link_monitor m_links;
    /// State of the links on which the engine has acted.
    reachability::link_state m_knownLinkState { reachability::link_state::intact };
    std::optional<kernel::time_point> m_nextLinkCheckAt;
    /// Detoured requests that wait for a check of the links.
    std::vector<request_token> m_requestsAwaitingLinks;
    /// Highest configuration version under which another daemon has handled a request of this daemon's callers.
    std::uint64_t m_detourVersion { 0 };
    std::unordered_map<std::string, route_state> m_routeStates;
    std::unordered_map<std::string, service_state> m_serviceStates;
    std::unordered_map<std::string, shard_set_admission> m_admissions;
    std::unordered_map<std::uint64_t, shard_set_admission*> m_admissionsByNumber;
    limits::early_returns m_earlyReturns;
    limits::admission_counts m_admissionCounts;
    double m_usualShareWeight { 1 };
    std::priority_queue<timer, std::vector<timer>, std::greater<>> m_timers;
    /// Due time of the earliest dispatch timer.
    std::optional<kernel::time_point> m_nextDispatchAt;
    stop_admission m_stop;
    quarantine::quarantine_table m_quarantine;
    kernel::time_point m_nextSharingAt;
    kernel::time_point m_nextLeafReviewAt;
    bool m_isSharingScheduled { false };
    allowances::tenant_quotas m_quotas;
    std::unordered_map<std::string, limits::return_schedule> m_quotaReturns;
    std::optional<kernel::time_point> m_nextUsageReportAt;
    std::optional<kernel::time_point> m_uninformedSince;
    bool m_isUninformedLogged { false };
    call_number m_lastCallNumber { 0 };
    /// Moving average of the share of extra calls that the budget denied.
    double m_deniedExtraCallShare { 0 };
    engine_counters m_counters;
    access::tenant_counts m_tenantCounts;
};

}
