// Leafs that are cold, start or recover: what their replies show of the load that they bear, and which requests may try them.

#include "Libraries/zinnialedge/forwarding/request_engine.h"

namespace zinnialedge::forwarding {

using kernel::time_point;
using pacing::call_outcome;
using pacing::pace_change;

static constexpr int statusServerError = 500;
/// Interval at which changes of leafs' phases are logged and numbers of sharers are brought up to date.
static constexpr std::chrono::milliseconds leafReviewInterval { 500 };
/// Hedge delays that must be left until the end of a request that tries an idle leaf, so that another leaf can still answer.
static constexpr int hedgeDelaysForTrial = 4;
/// Hedge delays that must be left until the objective.
static constexpr int hedgeDelaysUntilObjective = 2;
/// Share of denied extra calls from which on no idle leaf is tried, because the hedge may be denied.
static constexpr double scarceBudgetDeniedShare = 0.6;

static call_outcome outcomeOf(call_result const& result)
{
    if (!result)
        return result.error() == call_failure::cancelled || result.error() == call_failure::withheld ? call_outcome::unknown : call_outcome::refused;
    if (result->isMisdirected)
        return call_outcome::unknown;
    if (result->wasNotRun || (!result->isSuccess() && result->status >= statusServerError))
        return call_outcome::refused;
    return result->isSuccess() ? call_outcome::served : call_outcome::unknown;
}

void request_engine::adaptPace(call_context const& context, call_result const& result, time_point now)
{
    auto& record = m_leafs.at(context.leaf);
    if (!record.isPaced())
        return;
    auto const change = record.recordPace({ outcomeOf(result), context.sentAt, now - context.sentAt, m_leafs.usualLatencyFor(context.leaf, now) }, now);
    m_counters.leafPaceRaised += change == pace_change::raised || change == pace_change::ended ? 1 : 0;
    m_counters.leafPaceLowered += change == pace_change::lowered ? 1 : 0;
}

void request_engine::applyLeafWarmup(leaf_handle leaf, leaf_reply const& reply, time_point sentAt, time_point now)
{
    if (reply.warmupLeft && !reply.isMisdirected)
        m_leafs.at(leaf).recordWarmup(*reply.warmupLeft, sentAt, now);
}

bool request_engine::mayTryIdleLeaf(active_request const& request, std::size_t partIndex, time_point now) const
{
    auto const& part = request.parts[partIndex];
    if (!request.matchedRoute->isRepeatable || request.isRelayed() || request.maximumAttempts() < 2 || part.attemptCount() > 0 || !m_leafs.isPaced(*part.service))
        return false;
    // The request needs time and budget for a second leaf, and the trial must not spread a request that ends leafs.
    auto const hedgeDelay = hedgeDelayOf(*request.matchedRoute);
    bool const hasTime = now + hedgeDelay * hedgeDelaysForTrial <= request.endAt && now + hedgeDelay * hedgeDelaysUntilObjective <= request.objectiveAt;
    return hasTime && m_deniedExtraCallShare < scarceBudgetDeniedShare && judge(*request.evidence, now) == quarantine::verdict::innocent;
}

void request_engine::reviewLeafs(time_point now)
{
    if (now < m_nextLeafReviewAt)
        return;
    m_nextLeafReviewAt = now + leafReviewInterval;
    m_leafs.refreshStartRules(now);
    for (auto const handle : m_leafs.registeredLeafs()) {
        auto& record = m_leafs.at(handle);
        while (auto const event = record.takePhaseEvent(now)) {
            m_counters.leafsBecameCold += *event == leaf_phase_event::cold ? 1 : 0;
            if (m_hooks.logLeafPhase)
                m_hooks.logLeafPhase({ record.registration().id, *event, std::max(record.warmupEnd() - now, kernel::duration::zero()), record.paceStartedAt() == time_point {} ? kernel::duration::zero() : now - record.paceStartedAt(), record.inFlight() });
        }
    }
}

}
