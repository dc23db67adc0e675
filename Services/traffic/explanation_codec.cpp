#include "Services/traffic/explanation_codec.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/json.hpp>

namespace zinnialedge::services::traffic {

namespace json = boost::json;

errors::error_or<forwarding::caller_request> parseExplainedRequest(std::map<std::string, std::string> const& parameters)
{
    forwarding::caller_request request;
    std::vector<std::string> faults;
    for (auto const& [name, value] : parameters) {
        if (name == "method")
            request.method = value;
        else if (name == "host")
            request.host = value;
        else if (name == "path")
            request.target = value;
        else if (name == "tenant")
            request.tenant = value;
        else
            faults.push_back("unknown parameter " + name + ": expected method, host, path and tenant (by name; keys are not accepted)");
    }
    if (request.method.empty())
        faults.emplace_back("method is missing");
    if (request.host.empty())
        faults.emplace_back("host is missing");
    if (!request.target.starts_with('/'))
        faults.emplace_back("path: expected a path that begins with /");
    if (!faults.empty())
        return errors::makeError(errors::error_kind::malformed_request, boost::algorithm::join(faults, "; "));
    return request;
}

static double milliseconds(kernel::duration time)
{
    return std::chrono::duration<double, std::milli> { time }.count();
}

template <typename time>
static json::value optionalMilliseconds(std::optional<time> const& value)
{
    return value ? json::value { milliseconds(*value) } : json::value {};
}

template <typename number>
static json::value optionalNumber(std::optional<number> const& value)
{
    return value ? json::value(*value) : json::value {};
}

static json::value formatDaemon(std::optional<forwarding::relay> const& daemon)
{
    return daemon ? json::value { { "data_centre", daemon->dataCentre }, { "endpoint", toString(daemon->endpoint) } } : json::value {};
}

static json::value formatRefusal(std::optional<forwarding::refusal_explanation> const& refusal)
{
    return refusal ? json::value { { "reason", refusal->reason }, { "status", refusal->status }, { "retry_after_ms", optionalMilliseconds(refusal->retryAfter) } } : json::value {};
}

static char const* toString(quarantine::verdict verdict)
{
    switch (verdict) {
    case quarantine::verdict::innocent:
        return "innocent";
    case quarantine::verdict::suspected:
        return "suspected";
    case quarantine::verdict::trial:
        return "trial";
    case quarantine::verdict::quarantined:
        break;
    }
    return "quarantined";
}

static char const* toString(limits::admission_queue::verdict verdict)
{
    switch (verdict) {
    case limits::admission_queue::verdict::admit:
        return "admit";
    case limits::admission_queue::verdict::enqueue:
        return "enqueue";
    case limits::admission_queue::verdict::reject:
        break;
    }
    return "reject";
}

static json::object formatLeaf(forwarding::leaf_explanation const& leaf)
{
    json::object load;
    if (leaf.loadAge)
        load = { { "running", leaf.load.running }, { "waiting", leaf.load.waiting }, { "slots", leaf.load.slots }, { "machine_time_percent", optionalNumber(leaf.load.machineTime) }, { "age_ms", milliseconds(*leaf.loadAge) } };
    return {
        { "leaf", leaf.id },
        { "data_centre", leaf.dataCentre },
        { "position", leaf.position == 0 ? json::value {} : json::value(leaf.position) },
        { "score_ms", leaf.score / 1000 },
        { "suspect", leaf.isSuspect },
        { "latency_ms", leaf.latencyMicroseconds == 0 ? json::value {} : json::value(leaf.latencyMicroseconds / 1000) },
        { "since_reply_ms", optionalMilliseconds(leaf.sinceReply) },
        { "in_flight", leaf.inFlight },
        { "in_flight_limit", leaf.inFlightLimit },
        { "load", leaf.loadAge ? json::value(std::move(load)) : json::value {} },
        { "error_rate", leaf.errorRate },
        { "backoff_ms", milliseconds(leaf.backoffLeft) },
        { "pause_ms", milliseconds(leaf.pauseLeft) },
        { "warmup_ms", milliseconds(leaf.warmupLeft) },
        { "next_call_ms", milliseconds(leaf.untilNextCall) },
        { "limit_per_s", optionalNumber(leaf.namedLimit) },
        { "starting", leaf.isStarting },
        { "evacuated", leaf.isEvacuated },
        { "draining", leaf.isDraining },
        { "leaving", leaf.isLeaving },
        { "misdirected", leaf.isMisdirected },
    };
}

static json::object formatPart(forwarding::part_explanation const& part)
{
    json::array leafs;
    for (auto const& leaf : part.leafs)
        leafs.push_back(formatLeaf(leaf));
    return {
        { "service", part.service },
        { "share", part.share },
        { "left_out", part.leftOut },
        { "relayed_to", part.relayedTo },
        { "hedge", part.hedge },
        { "hedge_affordable", part.isHedgeAffordable },
        { "refusal", formatRefusal(part.refusal) },
        { "leafs", std::move(leafs) },
    };
}

std::string formatExplanation(forwarding::request_explanation const& explanation)
{
    auto const& to = explanation.matchedRoute;
    auto const& quarantine = explanation.quarantine;
    json::value quota;
    if (auto const& each = explanation.quota)
        quota = { { "level", each->level }, { "requests_per_s", each->requestsPerSecond }, { "burst", each->burst }, { "allowed", each->isAllowed }, { "informed", each->isInformed }, { "members", each->memberCount }, { "members_silent", each->silentMemberCount } };
    json::value admission;
    if (auto const& each = explanation.admission)
        admission = { { "verdict", toString(each->verdict) }, { "in_flight", each->inFlight }, { "limit", each->limit }, { "queued", each->queuedCount } };
    json::array parts;
    for (auto const& part : explanation.parts)
        parts.push_back(formatPart(part));
    return json::serialize(json::object {
        { "route", to.name },
        { "version", explanation.version },
        { "repeatable", to.isRepeatable },
        { "gather", to.isGather() },
        { "attempts", to.maximumAttempts },
        { "objective_ms", to.objective.count() },
        { "tenant", explanation.tenant },
        { "priority", { { "tenant", optionalNumber(explanation.tenantPriority) }, { "route", to.priority } } },
        { "quota", std::move(quota) },
        { "quarantine", { { "verdict", toString(quarantine.verdict) }, { "losses", quarantine.lossCount }, { "next_trial_ms", optionalMilliseconds(quarantine.untilTrial) }, { "trial_daemon", formatDaemon(quarantine.trialDaemon) } } },
        { "links", reachability::toString(explanation.links) },
        { "detour", formatDaemon(explanation.detour) },
        { "admission", std::move(admission) },
        { "hedge_delay_ms", milliseconds(explanation.hedgeDelay) },
        { "no_hedges", explanation.noHedges },
        { "refusal", formatRefusal(explanation.refusal) },
        { "parts", std::move(parts) },
    });
}

}
