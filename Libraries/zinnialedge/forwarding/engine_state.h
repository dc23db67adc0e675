#pragma once

#include "Libraries/zinnialedge/forwarding/active_request.h"
#include "Libraries/zinnialedge/forwarding/extra_call_budget.h"
#include "Libraries/zinnialedge/forwarding/fleet_share.h"
#include "Libraries/zinnialedge/forwarding/stop_admission.h"
#include "Libraries/zinnialedge/limits/admission_queue.h"
#include "Libraries/zinnialedge/limits/moving_quantile.h"
#include "Libraries/zinnialedge/limits/return_schedule.h"
#include "Libraries/zinnialedge/limits/typical_time_limit.h"
#include <deque>

// State of the request engine that is not part of one request: timers, open calls, and what is kept for routes, services and daemons.

namespace zinnialedge::forwarding {

enum class timer_kind {
    hedge,
    objective,
    accept_minimum_coverage,
    end,
    abandon,
    abandon_call,
    relay_timeout,
    /// Queued requests over one set of shards can be admitted or have expired.
    admit,
    /// The request limit of a leaf allows the call of a queued part.
    dispatch,
    /// Other daemons have not been told yet of requests under which leafs were lost.
    share_suspects,
    /// Leafs that were lost under quarantined requests have to be probed.
    check_losses,
    /// Probes are due, or show the state of the links to the leafs.
    check_links,
    /// The answer of a daemon to a detoured request is late.
    detour_timeout,
    /// Other daemons have to be told of requests that count towards quotas.
    share_usage,
    /// A call to a leaf of an evacuated data centre must have been delivered by now.
    end_undelivered_call,
};

struct timer {
    kernel::time_point dueAt;
    timer_kind kind { timer_kind::end };
    /// Request token, call number, or admission number, depending on `kind`.
    std::uint64_t subject { 0 };

    bool operator>(timer const& other) const { return dueAt > other.dueAt; }
};

struct call_context {
    request_token requestToken { 0 };
    std::size_t partIndex { 0 };
    leaf_handle leaf { 0 };
    kernel::time_point sentAt;
    /// False while the call waits for its connection to open.
    bool isConnected { false };
    /// The call may end after its request.
    std::shared_ptr<caller_request const> request;
    std::shared_ptr<quarantine::request_evidence> evidence;
};

/// Context of a call to another daemon.
struct relay_call_context {
    request_token requestToken { 0 };
    std::vector<std::size_t> partIndices;
    relay remoteDaemon;
    kernel::time_point sentAt;
    std::shared_ptr<quarantine::request_evidence> evidence;
};

/// Context of a complete request that was passed on to another daemon.
struct detour_call_context {
    request_token requestToken { 0 };
    relay remoteDaemon;
    kernel::time_point sentAt;
};

struct probe_context {
    leaf_handle leaf { 0 };
    kernel::time_point sentAt;
    /// True for a probe that was sent without own doubt about the links.
    bool isCheck { false };
};

struct relay_state {
    kernel::time_point backoffUntil;
    kernel::time_point lastAnswerAt;
    /// Until then the daemon is taken to reach no leafs, since it has refused a request for that.
    kernel::time_point withoutLeafsUntil;
    std::size_t inFlight { 0 };
};

struct queued_part {
    request_token requestToken { 0 };
    std::size_t partIndex { 0 };
    std::uint32_t priority { 0 };
    kernel::time_point queuedAt;
};

/// Returns the typical duration of a call before any has ended.
std::chrono::microseconds initialCallDuration(route const&);
/// Returns the time without a reply after which calls that are slow together are hedged.
kernel::duration longestHedgeHold(route const&);

/// State of a route that is kept across configuration versions.
struct route_state {
    limits::moving_quantile callDurationQuantile;
    /// Time from the arrival to the answer of nearly all requests that were served.
    limits::moving_quantile servingTimeQuantile;
    /// Tells how old requests are when they arrive.
    limits::typical_time_limit timeLimit {};
};

struct service_state {
    extra_call_budget extraCallBudget;
    std::deque<queued_part> queuedParts;
    /// Times of return of requests that were rejected because no leaf of the service accepted calls in time.
    limits::return_schedule returnSchedule;
};

/// Service for whose leafs a request has to wait.
struct service_wait {
    std::string const* service { nullptr };
    kernel::time_point endsAt;
};

/// Admission queue for one set of shards, which is identified by its first shard.
struct shard_set_admission {
    std::uint64_t number { 0 };
    limits::admission_queue queue;
};

/// What admission would decide on a request now.
struct admission_preview {
    std::size_t inFlight { 0 };
    std::uint32_t limit { 0 };
    std::size_t queuedCount { 0 };
    /// True for a short time after a request was rejected; no hedges are sent then.
    bool isOverloaded { false };
    limits::admission_queue::verdict verdict { limits::admission_queue::verdict::admit };
    std::optional<std::chrono::milliseconds> retryAfter;

    bool operator==(admission_preview const&) const = default;
};

}
