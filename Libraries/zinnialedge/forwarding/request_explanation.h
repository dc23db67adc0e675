#pragma once

#include "Libraries/zinnialedge/forwarding/request_engine.h"

namespace zinnialedge::forwarding {

/// What the engine knows of a leaf that a request could be sent to.
struct leaf_explanation {
    std::string id;
    std::string dataCentre;
    /// Place in the order in which the request would call the leafs, from 1 on; zero for a leaf that gets no call now.
    std::size_t position { 0 };
    /// Score by which leafs are compared, in microseconds.
    double score { 0 };
    bool isSuspect { false };
    /// Average latency of recent replies in microseconds, or zero before the first reply.
    double latencyMicroseconds { 0 };
    std::optional<kernel::duration> sinceReply;
    std::size_t inFlight { 0 };
    std::size_t inFlightLimit { 0 };
    leaf_load load;
    std::optional<kernel::duration> loadAge;
    double errorRate { 0 };
    kernel::duration backoffLeft {};
    kernel::duration pauseLeft {};
    kernel::duration warmupLeft {};
    /// Time until the limits of the leaf allow the next call.
    kernel::duration untilNextCall {};
    /// Limit that the leaf has named, in requests per second of all daemons together.
    std::optional<double> namedLimit;
    bool isStarting { false };
    bool isEvacuated { false };
    bool isDraining { false };
    bool isLeaving { false };
    bool isMisdirected { false };

    bool operator==(leaf_explanation const&) const = default;
};

struct refusal_explanation {
    /// Reason as in the log line of the request.
    std::string reason;
    int status { 0 };
    /// Shortest retry-after that a caller would get, before the random spread.
    std::optional<std::chrono::milliseconds> retryAfter;

    bool operator==(refusal_explanation const&) const = default;
};

/// One shard, or one of the services among which a route distributes its requests.
struct part_explanation {
    std::string service;
    /// Share of the requests that go to the service.
    double share { 1 };
    /// Reason for which the shard is not called: no_leaf, limited; or slow if it may be left out. Empty when it is called.
    std::string leftOut;
    /// Data centre through whose daemons the shard is called; empty for direct calls.
    std::string relayedTo;
    /// In the order of the calls; then those that get no call now.
    std::vector<leaf_explanation> leafs;
    /// Leaf that gets the hedge; empty when none does.
    std::string hedge;
    /// Whether the budget allows a hedge now.
    bool isHedgeAffordable { true };
    /// Refusal of a request that goes to this service, for a route that distributes its requests.
    std::optional<refusal_explanation> refusal;

    bool operator==(part_explanation const&) const = default;
};

struct quota_explanation {
    double level { 0 };
    double requestsPerSecond { 0 };
    double burst { 0 };
    bool isAllowed { true };
    bool isInformed { true };
    std::size_t memberCount { 0 };
    std::size_t silentMemberCount { 0 };

    bool operator==(quota_explanation const&) const = default;
};

struct quarantine_explanation {
    quarantine::verdict verdict { quarantine::verdict::innocent };
    std::size_t lossCount { 0 };
    /// Time until this daemon may try the request again; empty for a request that is not quarantined.
    std::optional<kernel::duration> untilTrial;
    /// Daemon to which the request is passed because it alone tries the request again.
    std::optional<relay> trialDaemon;

    bool operator==(quarantine_explanation const&) const = default;
};

/// What would become of a request at one moment.
struct request_explanation {
    route matchedRoute;
    std::uint64_t version { 0 };
    std::string tenant;
    std::optional<std::uint32_t> tenantPriority;
    std::optional<quota_explanation> quota;
    quarantine_explanation quarantine;
    reachability::link_state links { reachability::link_state::intact };
    /// Daemon that gets the complete request because this one reaches no leafs.
    std::optional<relay> detour;
    /// Empty for routes to single services.
    std::optional<admission_preview> admission;
    kernel::duration hedgeDelay {};
    /// Reason for which no shard gets a hedge: not_repeatable, one_attempt, suspected, overloaded. Empty when hedges are sent.
    std::string noHedges;
    std::vector<part_explanation> parts;
    std::optional<refusal_explanation> refusal;

    bool operator==(request_explanation const&) const = default;
};

}
