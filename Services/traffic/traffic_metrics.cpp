// State and metrics of the traffic service, and explanations of requests.

#include "Services/traffic/traffic_implementation.h"

#include "Kernel/event_log.h"
#include "Kernel/metrics_text.h"
#include "Kernel/try.h"
#include "Services/traffic/explanation_codec.h"
#include "Services/traffic/tenant_metrics.h"
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace zinnialedge::services::traffic {

std::string traffic_service::implementation::describeState() const
{
    boost::json::object const state {
        { "requests_in_flight", m_engine.requestsInFlight() },
        { "calls_in_flight", m_engine.callsInFlight() },
        { "caller_connections", m_callerConnections.size() },
        { "leaf_connections", m_leafConnections.connectionCount() },
        { "leafs", m_engine.leafs().size() },
        { "configuration_version", m_engine.routes() ? m_engine.routes()->version() : 0 },
        { "leaf_links", reachability::toString(m_engine.linkState()) },
        { "is_leaving", m_isLeaving },
    };
    return boost::json::serialize(state);
}

errors::error_or<std::string> traffic_service::implementation::explain(std::map<std::string, std::string> const& parameters) const
{
    auto request = TRY(parseExplainedRequest(parameters));
    return formatExplanation(TRY(m_engine.explain(std::move(request), now())));
}

std::string traffic_service::implementation::describeMetrics() const
{
    auto const& counters = m_engine.counters();
    kernel::metrics_text metrics;
    metrics.counter("requests_total", counters.requests);
    metrics.counter("answers_total", counters.answers);
    metrics.counter("partial_answers_total", counters.partialAnswers);
    metrics.counter("refusals_total", counters.rejections);
    metrics.counter("failures_total", counters.failures);
    metrics.counter("caller_connections_given_up_total", m_connectionsGivenUp);
    metrics.counter("caller_connections_refused_total", m_connectionsRefused);
    metrics.counter("caller_buffers_given_up_total", m_buffersGivenUp);
    metrics.counter("callers_left_total", counters.callersDisconnected);
    metrics.counter("leaf_calls_total", counters.calls);
    metrics.counter("leaf_call_copies_total", counters.hedges);
    metrics.counter("leaf_call_retries_total", counters.retries);
    metrics.counter("leaf_calls_denied_by_budget_total", counters.extraCallsDenied);
    metrics.counter("shards_left_out_total", counters.shardsSkipped);
    metrics.counter("relayed_calls_total", counters.relays);
    metrics.counter("relayed_parts_replaced_total", counters.relayedPartsReplaced);
    metrics.counter("late_replies_total", counters.lateReplies);
    metrics.counter("leaf_calls_broken_total", counters.brokenCalls);
    metrics.counter("leaf_calls_broken_among_others_total", counters.brokenCallsAmongOthers);
    metrics.counter("leafs_leaving_total", counters.leafsLeaving);
    metrics.counter("leaf_pauses_total", counters.leafPauses);
    metrics.counter("leaf_pauses_ignored_total", counters.leafPausesIgnored);
    metrics.counter("leaf_limits_total", counters.leafLimits);
    metrics.counter("leaf_limits_ended_total", counters.leafLimitsEnded);
    metrics.counter("leaf_limits_ignored_total", counters.leafLimitsIgnored);
    metrics.counter("leafs_became_cold_total", counters.leafsBecameCold);
    metrics.counter("leaf_calls_held_back_for_cold_total", m_engine.leafs().heldBackCount());
    metrics.counter("leaf_pace_raised_total", counters.leafPaceRaised);
    metrics.counter("leaf_pace_lowered_total", counters.leafPaceLowered);
    metrics.gauge("leafs_cold", m_engine.leafs().coldCount(now()));
    metrics.gauge("leafs_starting", m_engine.leafs().startingCount());
    metrics.counter("leaf_calls_withheld_total", counters.callsWithheld);
    metrics.counter("refusals_for_paused_leafs_total", counters.rejectionsForPauses);
    metrics.counter("refusals_for_leaf_limits_total", counters.rejectionsForLimits);
    metrics.counter("requests_quarantined_total", counters.requestsQuarantined);
    metrics.counter("refusals_for_quarantine_total", counters.rejectionsForQuarantine);
    metrics.counter("quarantine_trials_total", counters.quarantineTrials);
    metrics.counter("quarantine_trials_passed_on_total", counters.quarantineTrialsPassedOn);
    metrics.counter("quarantine_loss_probes_total", counters.lossProbes);
    metrics.counter("parts_held_total", counters.partsHeld);
    metrics.counter("leaf_link_losses_total", counters.linkLosses);
    metrics.counter("leaf_probes_total", counters.probes);
    metrics.counter("leaf_check_probes_total", counters.checkProbes);
    metrics.counter("daemons_marked_without_leafs_total", counters.daemonsMarked);
    metrics.counter("detours_total", counters.detours);
    metrics.counter("detours_failed_total", counters.detoursFailed);
    metrics.counter("detoured_requests_total", counters.detouredRequests);
    metrics.counter("refusals_for_lost_links_total", counters.rejectionsForLostLinks);
    metrics.counter("requests_rejected_for_key_total", counters.rejectionsForKey);
    describeTenants(m_engine.tenantCounts(), metrics);
    describeAdmissions(m_engine.admissionCounts(), metrics);
    metrics.counter("early_returns_total", counters.earlyReturns);
    metrics.counter("evacuations_total", counters.evacuations);
    metrics.counter("refusals_for_evacuations_total", counters.rejectionsForEvacuations);
    metrics.gauge("evacuated_data_centres", m_engine.leafs().evacuatedDataCentres().size());
    metrics.gauge("leafs_evacuated", m_engine.leafs().evacuatedCount());
    metrics.counter("refusals_over_quota_total", counters.rejectionsForQuotas);
    metrics.counter("quota_refunds_total", counters.quotaRefunds);
    metrics.counter("refusals_while_stopping_total", counters.rejectionsForStop);
    metrics.counter("requests_ended_by_stop_total", counters.requestsEndedByStop);
    metrics.counter("usage_reports_sent_total", counters.usageReportsSent);
    metrics.counter("usage_reports_received_total", counters.usageReportsReceived);
    auto const quotas = m_engine.quotaState().value_or(forwarding::quota_report {});
    metrics.gauge("quota_members", quotas.memberCount);
    metrics.gauge("quota_members_silent", quotas.silentMemberCount);
    metrics.gauge("quotas_uninformed", quotas.isInformed ? 0 : 1);
    metrics.gauge("leaf_links_lost", m_engine.linkState() == reachability::link_state::lost ? 1 : 0);
    metrics.gauge("suspect_requests", m_engine.quarantined().size());
    metrics.gauge("quarantined_requests", m_engine.quarantined().quarantinedCount());
    metrics.counter("leaf_connections_opened_total", m_leafConnections.counters().openedCount);
    metrics.counter("leaf_connections_reused_total", m_leafConnections.counters().reusedCount);
    std::vector<std::pair<std::string_view, std::uint64_t>> connectFailures;
    for (auto const& [reason, count] : m_leafConnections.counters().failedCounts)
        connectFailures.emplace_back(toString(reason), count);
    metrics.counter("leaf_connections_failed_total", "reason", connectFailures);
    metrics.gauge("leafs_replied_lately", m_engine.leafs().repliedSince(now() - recentReplyTime));
    metrics.counter("log_lines_dropped_total", kernel::droppedLogLineCount());
    metrics.gauge("requests_in_flight", m_engine.requestsInFlight());
    metrics.gauge("leaf_calls_in_flight", m_engine.callsInFlight());
    metrics.gauge("caller_connections", m_callerConnections.size());
    metrics.gauge("leafs", m_engine.leafs().size());
    metrics.gauge("configuration_version", m_engine.routes() ? m_engine.routes()->version() : 0);
    return metrics.text() + m_latencies.describe();
}

}
