#include "Services/traffic/request_log.h"

#include "Kernel/event_log.h"
#include <array>

namespace zinnialedge::services::traffic {

using kernel::log_level;
using kernel::logEvent;

/// Maximum number of log lines per second for ended requests and for leaf calls; suppressed lines are only counted. Calls have a
/// separate limit: a single request over many shards can produce a hundred failed calls, and the lines of ended requests are more
/// informative.
static constexpr unsigned requestLinesPerSecond = 40;
static constexpr unsigned callLinesPerSecond = 20;
static constexpr unsigned quarantineLinesPerSecond = 20;
/// One in this many requests with a complete answer within the objective is logged.
static constexpr std::uint64_t ordinarySampleInterval = 200;

request_log::request_log(kernel::clock_hook clock)
    : m_clock(std::move(clock))
{
}

bool request_log::tryCountLine(unsigned& lineCount, unsigned limit)
{
    auto const now = m_clock();
    if (now - m_currentSecondStart >= std::chrono::seconds { 1 }) {
        if (m_suppressedLineCount > 0)
            logEvent(log_level::info, "request_lines_left_out", { { "count", m_suppressedLineCount } });
        m_currentSecondStart = now;
        m_requestLineCount = 0;
        m_callLineCount = 0;
        m_quarantineLineCount = 0;
        m_suppressedLineCount = 0;
    }
    if (lineCount >= limit) {
        ++m_suppressedLineCount;
        return false;
    }
    ++lineCount;
    return true;
}

static auto toMilliseconds(kernel::duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

void request_log::logRequest(forwarding::request_report const& report)
{
    bool const isOrdinary = report.status >= 200 && report.status < 300 && report.missingPartCount == 0 && report.elapsed <= report.objective;
    if (isOrdinary && m_ordinaryRequestCount++ % ordinarySampleInterval != 0)
        return;
    if (!tryCountLine(m_requestLineCount, requestLinesPerSecond))
        return;
    logEvent(log_level::info, report.isCallerDisconnected ? "caller_left" : "request_ended",
        { { "id", report.attemptId }, { "route", report.route }, { "tenant", report.tenant }, { "version", report.version }, { "status", report.status }, { "reason", report.reason },
            { "parts", report.parts }, { "missing", report.missingPartCount }, { "left_out", report.skippedPartCount }, { "copies", report.hedgeCount }, { "retries", report.retryCount }, { "denied", report.deniedExtraCallCount },
            { "missing_shards", report.missingShards }, { "elapsed_ms", toMilliseconds(report.elapsed) }, { "objective_ms", report.objective.count() },
            { "retry_after_ms", report.retryAfter.value_or(std::chrono::milliseconds { 0 }).count() }, { "in_flight", report.admittedInFlight }, { "limit", report.admissionLimit }, { "detour", report.detour }, { "for_daemon", report.isForOtherDaemon ? 1 : 0 } });
    if (report.stop)
        logEvent(log_level::info, "request_too_late", { { "id", report.attemptId }, { "expected_ms", toMilliseconds(report.stop->estimate.expected) }, { "source", report.stop->estimate.source }, { "time_left_ms", toMilliseconds(report.stop->timeLeft) } });
}

void request_log::logInterrupted(forwarding::open_request const& request)
{
    logEvent(log_level::warn, "request_interrupted", { { "id", request.attemptId }, { "age_ms", toMilliseconds(request.age) }, { "may_have_run", request.mayHaveRun ? 1 : 0 }, { "repeatable", request.isRepeatable ? 1 : 0 } });
}

void request_log::logLeafEvent(std::string const& attemptId, std::string const& leafId, std::string_view event, kernel::duration age)
{
    if (tryCountLine(m_callLineCount, callLinesPerSecond))
        logEvent(log_level::info, event, { { "id", attemptId }, { "leaf", leafId }, { "age_ms", toMilliseconds(age) } });
}

void request_log::logConnectFailure(std::string const& leafId, std::string_view reason, std::size_t leafsRepliedLately)
{
    if (tryCountLine(m_callLineCount, callLinesPerSecond))
        logEvent(log_level::info, "leaf_not_connected", { { "leaf", leafId }, { "reason", reason }, { "leafs_replied_lately", leafsRepliedLately } });
}

void request_log::logBrokenCall(forwarding::broken_call_report const& report)
{
    if (tryCountLine(m_callLineCount, callLinesPerSecond))
        logEvent(log_level::info, "call_broken", { { "id", report.attemptId }, { "leaf", report.leafId }, { "age_ms", toMilliseconds(report.age) }, { "request", quarantine::toString(report.request) }, { "other_calls", report.otherCallCount } });
}

void request_log::logQuarantine(forwarding::quarantine_report const& report)
{
    if (tryCountLine(m_quarantineLineCount, quarantineLinesPerSecond))
        logEvent(log_level::info, report.event, { { "request", quarantine::toString(report.request) }, { "leaf", report.leafId }, { "losses", report.lossCount }, { "consecutive", report.consecutiveLossCount }, { "next_trial_ms", toMilliseconds(report.nextTrial) } });
}

void request_log::logLinks(forwarding::link_report const& report, std::size_t leafCount)
{
    static constexpr std::array events { "leaf_links_intact", "leaf_links_suspected", "leaf_links_lost" };
    auto const level = report.state == reachability::link_state::lost ? log_level::warn : log_level::info;
    logEvent(level, events.at(static_cast<std::size_t>(report.state)), { { "leafs", leafCount }, { "silent", report.evidence.silentLeafs }, { "failed", report.evidence.failedLeafs }, { "since_reply_ms", toMilliseconds(report.evidence.sinceLastReply) }, { "requests_detoured", report.detouredRequestCount } });
}

void request_log::logEvacuation(forwarding::evacuation_report const& report)
{
    logEvent(log_level::warn, report.hasBegun ? "evacuation_began" : "evacuation_ended", { { "data_centre", report.dataCentre }, { "leafs", report.leafCount }, { "calls_in_flight", report.callsInFlight }, { "evacuated_data_centres", report.evacuatedDataCentreCount } });
}

void request_log::logQuotas(forwarding::quota_report const& report)
{
    logEvent(report.isInformed ? log_level::info : log_level::warn, report.isInformed ? "quotas_informed" : "quotas_uninformed", { { "members", report.memberCount }, { "silent", report.silentMemberCount } });
}

void request_log::logLeafLimit(std::string const& leafId, std::string_view event, forwarding::leaf_rate_limit const& limit)
{
    if (!tryCountLine(m_callLineCount, callLinesPerSecond))
        return;
    auto const age = limit.inForceSince() == kernel::time_point {} ? kernel::duration::zero() : m_clock() - limit.inForceSince();
    logEvent(log_level::info, event, { { "leaf", leafId }, { "limit", limit.requestsPerSecond() }, { "age_ms", toMilliseconds(age) }, { "first_calls", limit.calls().first }, { "extra_calls", limit.calls().extra }, { "relayed_calls", limit.calls().relayed } });
}

void request_log::logLeafPhase(forwarding::leaf_phase_report const& report)
{
    static constexpr std::array events { "leaf_cold", "leaf_warm", "leaf_start", "leaf_start_ended" };
    if (tryCountLine(m_callLineCount, callLinesPerSecond))
        logEvent(log_level::info, events.at(static_cast<std::size_t>(report.event)), { { "leaf", report.leafId }, { "warmup_left_ms", toMilliseconds(report.warmupLeft) }, { "start_age_ms", toMilliseconds(report.sinceStart) }, { "calls", report.callsInFlight } });
}

}
