// Explanations take the engine's own decisions. Where a decision consumes something, it is taken on a copy of the state that it would change;
// the random numbers of such copies are zeros, which gives the shortest retry-after.

#include "Libraries/zinnialedge/forwarding/request_explanation.h"

#include "Libraries/zinnialedge/forwarding/retry_after.h"
#include <algorithm>

namespace zinnialedge::forwarding {

using errors::error_kind;
using kernel::time_point;
using quarantine::verdict;

/// Stands in for the engine's random numbers. One is no multiple of the number of calls after which a slow shard is probed.
static std::uint64_t fixedNumber()
{
    return 1;
}

static std::uint64_t zero()
{
    return 0;
}

static kernel::duration timeUntil(time_point end, time_point now)
{
    return std::max(end - now, kernel::duration::zero());
}

static std::optional<kernel::duration> ageOf(time_point at, time_point now)
{
    return at == time_point {} ? std::nullopt : std::optional { now - at };
}

static refusal_explanation makeRefusal(error_kind kind, std::string reason, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt)
{
    return { std::move(reason), errors::propertiesOf(kind).httpStatus, retryAfter };
}

class request_explainer {
public:
    request_explainer(request_engine const& engine, time_point now)
        : m_engine(engine)
        , m_now(now)
    {
    }

    request_explanation explain(caller_request request, route const& to);

private:
    void explainTenant(caller_request const&, route const& to);
    void explainQuarantine();
    /// Returns whether another daemon gets the request, or none can.
    bool explainLinks();
    void explainServices();
    void explainShards();
    void explainHedges();
    /// Marks the parts that are left out. Returns the refusal if too many are.
    std::optional<refusal_explanation> leaveOutParts();
    refusal_explanation explainWait(service_wait const&, std::string reason, kernel::duration interval) const;
    part_explanation explainPart(std::size_t partIndex) const;
    leaf_explanation explainLeaf(leaf_handle) const;
    /// Keeps the first refusal: the one that the engine comes to first.
    void refuse(refusal_explanation refusal) { m_made.refusal = m_made.refusal.value_or(std::move(refusal)); }

    request_engine const& m_engine;
    time_point m_now;
    active_request m_request;
    request_explanation m_made;
};

request_explanation request_explainer::explain(caller_request request, route const& to)
{
    m_made.matchedRoute = to;
    m_made.version = m_engine.m_routes->version();
    explainTenant(request, to);
    m_request.table = m_engine.m_routes;
    m_engine.describeRequest(m_request, std::move(request), to, m_now);
    explainQuarantine();
    bool const isTriedHere = !explainLinks();
    m_made.hedgeDelay = m_engine.hedgeDelayOf(to);
    if (to.isGather())
        explainShards();
    else
        explainServices();
    if (to.isGather()) {
        m_made.admission = m_engine.previewAdmission(m_request, m_now);
        if (isTriedHere && m_made.admission->verdict == limits::admission_queue::verdict::reject)
            refuse(makeRefusal(error_kind::overloaded, "overloaded", m_made.admission->retryAfter));
    }
    explainHedges();
    return std::move(m_made);
}

void request_explainer::explainTenant(caller_request const& request, route const& to)
{
    if (m_engine.m_routes->hasTenants() && !to.isPublic && request.tenant.empty())
        refuse(makeRefusal(error_kind::unknown_access_key, "no_key"));
    if (!to.hasService())
        refuse(makeRefusal(error_kind::no_live_target, "no_service", noLeafRetryAfter));
    if (m_engine.m_requests.size() >= m_engine.m_settings.capacity)
        refuse(makeRefusal(error_kind::overloaded, "at_capacity", atCapacityRetryAfter));
    auto const* const tenant = request.tenant.empty() ? nullptr : m_engine.m_routes->tenantNamed(request.tenant);
    if (!tenant)
        return;
    m_made.tenant = tenant->name;
    m_made.tenantPriority = tenant->priority;
    if (!m_engine.hasQuota(request))
        return;
    auto quotas = m_engine.m_quotas;
    auto& quota = m_made.quota.emplace();
    quota.level = quotas.level(tenant->name, m_now);
    quota.requestsPerSecond = tenant->requestsPerSecond;
    quota.burst = tenant->burst;
    quota.isInformed = quotas.isInformed(m_now);
    quota.memberCount = quotas.memberCount();
    quota.silentMemberCount = quotas.silentMemberCount();
    quota.isAllowed = quotas.tryConsume(tenant->name, m_now);
    if (quota.isAllowed)
        return;
    auto const known = m_engine.m_quotaReturns.find(tenant->name);
    auto returns = known == m_engine.m_quotaReturns.end() ? limits::return_schedule {} : known->second;
    auto const retryAfter = returns.nextRetryAfter(m_now + quotas.retryAfter(tenant->name, m_now), quotas.requestInterval(tenant->name), zero, m_now);
    refuse(makeRefusal(error_kind::over_quota, "over_quota", std::chrono::ceil<std::chrono::milliseconds>(retryAfter)));
}

void request_explainer::explainQuarantine()
{
    auto table = m_engine.m_quarantine;
    table.removeExpired(m_now);
    auto& made = m_made.quarantine;
    auto const ownVerdict = table.judge(*m_request.evidence, m_now);
    made.verdict = ownVerdict == verdict::innocent ? ownVerdict : m_engine.judge(*m_request.evidence, m_now);
    for (auto const& digest : m_request.evidence->digests()) {
        auto const* const known = table.find(digest);
        if (!known || quarantine::lossCount(*known) == 0)
            continue;
        made.lossCount = std::max(made.lossCount, quarantine::lossCount(*known));
        if (quarantine::lossCount(*known) >= quarantine::quarantineLossCount)
            made.untilTrial = std::max(made.untilTrial.value_or(kernel::duration::zero()), timeUntil(table.nextTrialTime(*known), m_now));
    }
    if (made.verdict != verdict::quarantined)
        return;
    // The table alone would allow the trial, which another daemon makes for all.
    if (ownVerdict == verdict::trial)
        made.trialDaemon = m_engine.trialDaemonOf(*m_request.evidence);
    if (!made.trialDaemon)
        refuse(makeRefusal(error_kind::request_quarantined, "request_quarantined"));
}

bool request_explainer::explainLinks()
{
    m_made.links = m_engine.m_links.state();
    if (m_made.refusal || m_made.quarantine.trialDaemon)
        return true;
    if (!m_engine.areLinksLost())
        return false;
    m_made.detour = m_engine.chooseDetour(m_request, 0, m_now);
    if (m_made.detour)
        return true;
    if (!m_engine.m_links.isSurelyLost(m_now) && m_made.quarantine.verdict != verdict::trial)
        return false;
    refuse(makeRefusal(error_kind::no_live_target, std::string { linksLostReason }, linksLostRetryAfter));
    return true;
}

refusal_explanation request_explainer::explainWait(service_wait const& wait, std::string reason, kernel::duration interval) const
{
    auto const known = m_engine.m_serviceStates.find(*wait.service);
    auto returns = known == m_engine.m_serviceStates.end() ? limits::return_schedule {} : known->second.returnSchedule;
    return makeRefusal(error_kind::overloaded, std::move(reason), std::chrono::ceil<std::chrono::milliseconds>(returns.nextRetryAfter(wait.endsAt, interval, zero, m_now)));
}

std::optional<refusal_explanation> request_explainer::leaveOutParts()
{
    if (!m_engine.leaveOutPartsWithoutLeafs(m_request, m_now)) {
        if (auto const wait = m_engine.findPauseWait(m_request, m_now))
            return explainWait(*wait, "leafs_paused", m_engine.pausedCallInterval(*wait->service));
        if (m_engine.isPreventedByEvacuation(m_request, m_now))
            return makeRefusal(error_kind::no_live_target, "leafs_evacuated", evacuationRetryAfter);
        return makeRefusal(error_kind::no_live_target, "no_leaf", noLeafRetryAfter);
    }
    if (auto const wait = m_engine.leaveOutLimitedShards(m_request, m_now))
        return explainWait(*wait, "leafs_limited", m_engine.m_leafs.limitedCallInterval(*wait->service, m_now));
    return std::nullopt;
}

void request_explainer::explainServices()
{
    double total = 0;
    for (auto const& each : m_made.matchedRoute.services)
        total += each.weight;
    bool areAllRefused = true;
    for (auto const& each : m_made.matchedRoute.services) {
        m_request.missingPartCount = 0;
        m_request.parts.assign(1, { .service = &each.service });
        auto const refusal = leaveOutParts();
        auto part = explainPart(0);
        part.share = total > 0 ? each.weight / total : 0;
        part.refusal = refusal;
        areAllRefused = areAllRefused && refusal;
        m_made.parts.push_back(std::move(part));
    }
    bool const isTriedHere = !m_made.quarantine.trialDaemon && !m_made.detour;
    if (isTriedHere && areAllRefused && !m_made.parts.empty())
        refuse(*m_made.parts.front().refusal);
}

void request_explainer::explainShards()
{
    m_request.addAllShards();
    auto const refusal = leaveOutParts();
    if (refusal && !m_made.quarantine.trialDaemon && !m_made.detour)
        refuse(*refusal);
    for (std::size_t partIndex = 0; partIndex < m_request.parts.size(); ++partIndex)
        m_made.parts.push_back(explainPart(partIndex));
    auto slow = m_engine.describeSlowShards(m_request, m_now);
    if (slow.allowedMissingShards > 0) {
        // All shards among which the engine would choose at random.
        slow.allowedMissingShards = m_request.parts.size();
        for (auto const partIndex : limits::chooseSkippedShards(slow, fixedNumber))
            m_made.parts[partIndex].leftOut = "slow";
    }
    if (m_made.quarantine.verdict == verdict::trial)
        return;
    for (auto const& each : m_engine.planShardRelays(m_request, [&](auto const& dataCentre) { return m_engine.chooseRelay(dataCentre, 0, m_now).has_value(); }, m_now)) {
        for (auto const partIndex : each.shardIndices)
            m_made.parts[partIndex].relayedTo = each.dataCentre;
    }
}

void request_explainer::explainHedges()
{
    auto const& to = m_made.matchedRoute;
    if (!to.isRepeatable)
        m_made.noHedges = "not_repeatable";
    else if (to.maximumAttempts < 2)
        m_made.noHedges = "one_attempt";
    else if (m_made.quarantine.verdict != verdict::innocent)
        m_made.noHedges = "suspected";
    else if (m_made.admission && m_made.admission->isOverloaded)
        m_made.noHedges = "overloaded";
    for (auto& part : m_made.parts) {
        if (auto const state = m_engine.m_serviceStates.find(part.service); state != m_engine.m_serviceStates.end()) {
            auto budget = state->second.extraCallBudget;
            part.isHedgeAffordable = budget.tryConsume(m_now, m_engine.slackSharers(m_now));
        }
        if (m_made.noHedges.empty() && part.leafs.size() > 1 && part.leafs[1].position == 2 && !part.leafs[1].isSuspect)
            part.hedge = part.leafs[1].id;
    }
}

part_explanation request_explainer::explainPart(std::size_t partIndex) const
{
    auto const& part = m_request.parts[partIndex];
    auto const& leafs = m_engine.m_leafs;
    part_explanation made { .service = *part.service };
    if (part.isMissing)
        made.leftOut = part.isSkipped ? "limited" : "no_leaf";
    std::vector<leaf_handle> called;
    while (true) {
        bool const mayTryIdleLeaf = called.empty() && m_engine.mayTryIdleLeaf(m_request, partIndex, m_now);
        auto const next = leafs.chooseLeaf(*part.service, called, m_engine.hedgeDelayOf(*m_request.matchedRoute), 0, m_now, mayTryIdleLeaf).pick;
        if (!next)
            break;
        called.push_back(next->leaf);
        made.leafs.push_back(explainLeaf(next->leaf));
        made.leafs.back().position = called.size();
    }
    for (auto const handle : leafs.leafsOf(*part.service)) {
        if (std::find(called.begin(), called.end(), handle) == called.end())
            made.leafs.push_back(explainLeaf(handle));
    }
    return made;
}

leaf_explanation request_explainer::explainLeaf(leaf_handle handle) const
{
    auto const& record = m_engine.m_leafs.at(handle);
    leaf_explanation made;
    made.id = record.registration().id;
    made.dataCentre = record.registration().dataCentre;
    made.score = m_engine.m_leafs.expectedDelay(record, m_now);
    made.isSuspect = record.isSuspect(m_now, m_engine.hedgeDelayOf(*m_request.matchedRoute));
    made.latencyMicroseconds = record.averageLatency();
    made.sinceReply = ageOf(record.lastReplyAt(), m_now);
    made.inFlight = record.inFlight();
    made.inFlightLimit = record.inFlightLimit(m_now);
    made.load = record.load();
    made.loadAge = ageOf(record.loadReadAt(), m_now);
    made.errorRate = record.recentErrorRate(m_now);
    made.backoffLeft = timeUntil(record.backoffEnd(), m_now);
    made.pauseLeft = timeUntil(record.currentPause().endsAt(), m_now);
    made.warmupLeft = timeUntil(record.warmupEnd(), m_now);
    made.untilNextCall = timeUntil(record.nextCallAt(m_now), m_now);
    if (record.rateLimit().isInForce())
        made.namedLimit = record.rateLimit().requestsPerSecond();
    made.isStarting = record.isStarting();
    made.isEvacuated = record.isEvacuated();
    made.isDraining = record.registration().isDraining;
    made.isLeaving = record.isLeaving();
    made.isMisdirected = record.isMisdirected();
    return made;
}

errors::error_or<request_explanation> request_engine::explain(caller_request request, time_point now) const
{
    if (!m_routes)
        return errors::makeError(error_kind::not_configured, "this daemon has no configuration");
    auto const* const to = findRoute(request);
    if (!to)
        return errors::makeError(error_kind::unknown_route, "no route of version " + std::to_string(m_routes->version()) + " matches the host " + request.host + " and the target " + request.target);
    if (!request.tenant.empty() && !m_routes->tenantNamed(request.tenant))
        return errors::makeError(error_kind::malformed_request, "version " + std::to_string(m_routes->version()) + " declares no tenant " + request.tenant);
    // A public route does not read the key of its requests.
    if (to->isPublic)
        request.tenant.clear();
    return request_explainer { *this, now }.explain(std::move(request), *to);
}

}
