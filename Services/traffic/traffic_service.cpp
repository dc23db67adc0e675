#include "Services/traffic/traffic_service.h"

#include "Kernel/event_log.h"
#include "Kernel/metrics_text.h"
#include "Libraries/zinnialedge/forwarding/relay_protocol.h"
#include "Libraries/zinnialedge/wire/tcp_listener.h"
#include "Services/callers/latency_metrics.h"
#include "Services/traffic/caller_connection.h"
#include "Services/traffic/leaf_pools.h"
#include "Services/traffic/request_log.h"
#include "Services/traffic/tenant_metrics.h"
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <map>

namespace zinnialedge::services::traffic {

namespace asio = boost::asio;
using asio::ip::tcp;
using forwarding::request_token;
using kernel::log_level;
using kernel::logEvent;

static constexpr std::size_t inboxCapacity = 256;
/// Interval between checks of the connections' time limits.
static constexpr std::chrono::milliseconds sweepInterval { 200 };
/// Time within which a reply counts as recent in the metrics.
static constexpr std::chrono::seconds recentReplyTime { 1 };
/// A status reply has a few hundred bytes.
static constexpr std::size_t maximumProbeReplyBytes = 65'536;
/// Delay before the next accept after a failed accept.
static constexpr std::chrono::milliseconds acceptRetryDelay { 50 };
/// Time in which the first request of a new connection arrives.
static constexpr std::chrono::milliseconds firstRequestTime { 100 };
/// Longer than the keep-alive timeout that the relay protocol announces.
static constexpr std::chrono::milliseconds relayIdleTimeout { 60'000 };

class traffic_service::implementation {
public:
    implementation(asio::io_context& context, traffic_settings settings, forwarding::edge_protocol protocol, kernel::random_hook random, std::atomic<std::size_t>& inFlight)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_edgeProtocol(std::move(protocol))
        , m_requestsInFlight(inFlight)
        , m_relayProtocol(forwarding::makeRelayProtocol(m_edgeProtocol.parseAccessHeader))
        , m_callerAcceptor(context)
        , m_relayAcceptor(context)
        , m_engineTimer(context)
        , m_sweepTimer(context)
        , m_leafConnections(context, m_edgeProtocol, makeLeafPoolHooks(), m_settings.leafCallSource)
        , m_relayConnections(context, m_relayProtocol, { .handleCallEnd = [this](forwarding::call_number number, forwarding::call_result result) { endCall(number, std::move(result)); } })
        , m_requestLog(kernel::makeSteadyClock())
        , m_engine(m_settings.engine, makeHooks(), std::move(random), now())
    {
    }

    errors::error_or<void> listen()
    {
        if (auto opened = wire::startListening(m_callerAcceptor, m_settings.callers); !opened)
            return opened;
        if (auto opened = wire::startListening(m_relayAcceptor, m_settings.relays); !opened)
            return opened;
        acceptNext(m_callerAcceptor, m_edgeProtocol);
        acceptNext(m_relayAcceptor, m_relayProtocol);
        scheduleSweep();
        return {};
    }

    std::uint16_t port() const
    {
        boost::system::error_code ignored;
        return m_callerAcceptor.local_endpoint(ignored).port();
    }

    void setSuspectsReceiver(std::function<void(std::vector<quarantine::suspect>)> receiver) { m_suspectsReceiver = std::move(receiver); }

    void setUsageReceiver(std::function<void(std::vector<allowances::addressed_report>)> receiver) { m_usageReceiver = std::move(receiver); }

    void setLeafReachReceiver(std::function<void(bool)> receiver) { m_leafReachReceiver = std::move(receiver); }
    void setDaemonWithoutLeafsReceiver(std::function<void(model::endpoint const&)> receiver) { m_daemonWithoutLeafsReceiver = std::move(receiver); }

    void handleEvent(traffic_event&& event)
    {
        std::visit([this](auto& each) { apply(std::move(each)); }, event);
        armTimer();
    }

    std::size_t drainConnections()
    {
        stopAccepting(m_callerAcceptor, m_edgeProtocol);
        stopAccepting(m_relayAcceptor, m_relayProtocol);
        auto const at = now();
        std::size_t remaining = 0;
        for (auto const& each : callerConnections()) {
            each->closeIfIdle(firstRequestTime, at);
            remaining += each->isDrained() ? 0 : 1;
        }
        return remaining;
    }

    std::string describeState() const
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

    std::string describeMetrics() const
    {
        auto const& counters = m_engine.counters();
        kernel::metrics_text metrics;
        metrics.counter("requests_total", counters.requests);
        metrics.counter("answers_total", counters.answers);
        metrics.counter("partial_answers_total", counters.partialAnswers);
        metrics.counter("refusals_total", counters.rejections);
        metrics.counter("failures_total", counters.failures);
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
        metrics.counter("parts_held_total", counters.partsHeld);
        metrics.counter("leaf_link_losses_total", counters.linkLosses);
        metrics.counter("leaf_probes_total", counters.probes);
        metrics.counter("detours_total", counters.detours);
        metrics.counter("detours_failed_total", counters.detoursFailed);
        metrics.counter("detoured_requests_total", counters.detouredRequests);
        metrics.counter("leaf_check_probes_total", counters.checkProbes);
        metrics.counter("daemons_marked_without_leafs_total", counters.daemonsMarked);
        metrics.counter("refusals_for_lost_links_total", counters.rejectionsForLostLinks);
        metrics.counter("requests_rejected_for_key_total", counters.rejectionsForKey);
        describeTenants(m_engine.tenantCounts(), metrics);
        metrics.counter("evacuations_total", counters.evacuations);
        metrics.counter("refusals_for_evacuations_total", counters.rejectionsForEvacuations);
        metrics.gauge("evacuated_data_centres", m_engine.leafs().evacuatedDataCentres().size());
        metrics.gauge("leafs_evacuated", m_engine.leafs().evacuatedCount());
        metrics.counter("refusals_over_quota_total", counters.rejectionsForQuotas);
        metrics.counter("quota_refunds_total", counters.quotaRefunds);
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

private:
    static kernel::time_point now() { return std::chrono::steady_clock::now(); }

    forwarding::engine_hooks makeHooks()
    {
        forwarding::engine_hooks hooks;
        hooks.sendCall = [this](forwarding::leaf_call const& call) { sendCall(call); };
        hooks.cancelCall = [this](forwarding::call_number number, forwarding::call_failure failure) {
            // The cancelled call is reported to the engine in a separate turn of the event loop.
            asio::post(m_context, [this, number, failure] {
                m_leafConnections.cancel(number, failure);
                m_relayConnections.cancel(number, failure);
            });
        };
        hooks.cancelUndeliveredCall = [this](forwarding::call_number number) {
            asio::post(m_context, [this, number] { m_leafConnections.cancelUndelivered(number); });
        };
        hooks.sendAnswer = [this](request_token token, forwarding::final_answer const& answer) { deliverAnswer(token, answer); };
        hooks.reportRequest = [this](forwarding::request_report const& report) {
            m_requestLog.logRequest(report);
            m_latencies.add(report.route, report.isCallerDisconnected ? "caller_left" : report.reason, std::chrono::duration_cast<std::chrono::microseconds>(report.elapsed));
        };
        hooks.logLeafEvent = [this](std::string const& id, std::string const& leaf, std::string_view event, kernel::duration age) { m_requestLog.logLeafEvent(id, leaf, event, age); };
        hooks.logBrokenCall = [this](forwarding::broken_call_report const& report) { m_requestLog.logBrokenCall(report); };
        hooks.logQuarantine = [this](forwarding::quarantine_report const& report) { m_requestLog.logQuarantine(report); };
        hooks.shareSuspects = [this](std::vector<quarantine::suspect> suspects) {
            if (m_suspectsReceiver)
                m_suspectsReceiver(std::move(suspects));
        };
        hooks.shareUsage = [this](std::vector<allowances::addressed_report> reports) {
            if (m_usageReceiver)
                m_usageReceiver(std::move(reports));
        };
        hooks.logQuotas = [this](forwarding::quota_report const& report) { m_requestLog.logQuotas(report); };
        hooks.logLinks = [this](forwarding::link_report const& report) { m_requestLog.logLinks(report, m_engine.leafs().size()); };
        hooks.closeIdleConnections = [this] { m_leafConnections.closeIdleConnections(); };
        hooks.shareLeafReach = [this](bool reachesLeafs) {
            if (m_leafReachReceiver)
                m_leafReachReceiver(reachesLeafs);
        };
        hooks.reportDaemonWithoutLeafs = [this](model::endpoint const& relayEndpoint) {
            if (m_daemonWithoutLeafsReceiver)
                m_daemonWithoutLeafsReceiver(relayEndpoint);
        };
        hooks.logLeafLimit = [this](std::string const& leaf, std::string_view event, forwarding::leaf_rate_limit const& limit) { m_requestLog.logLeafLimit(leaf, event, limit); };
        hooks.logEvacuation = [this](forwarding::evacuation_report const& report) { m_requestLog.logEvacuation(report); };
        hooks.logLeafPhase = [this](forwarding::leaf_phase_report const& report) { m_requestLog.logLeafPhase(report); };
        return hooks;
    }

    leaf_pool_hooks makeLeafPoolHooks()
    {
        leaf_pool_hooks hooks;
        hooks.handleCallEnd = [this](forwarding::call_number number, forwarding::call_result result) { endCall(number, std::move(result)); };
        hooks.isCallWanted = [this](forwarding::call_number number) { return m_engine.isCallWanted(number, now()); };
        hooks.callConnected = [this](forwarding::call_number number) { m_engine.handleCallConnected(number, now()); };
        hooks.connectFailed = [this](std::uint32_t leaf, connect_failure failure) {
            auto const& leafs = m_engine.leafs();
            if (leafs.contains(leaf))
                m_requestLog.logConnectFailure(leafs.at(leaf).registration().id, toString(failure), leafs.repliedSince(now() - recentReplyTime));
        };
        hooks.handleUnmatchedReply = [this](std::uint32_t leaf, forwarding::leaf_reply const& reply) {
            m_engine.handleUnmatchedReply(leaf, reply, now());
            armTimer();
        };
        return hooks;
    }

    void acceptNext(tcp::acceptor& acceptor, forwarding::edge_protocol const& protocol)
    {
        acceptor.async_accept([this, &acceptor, &protocol](boost::system::error_code failure, tcp::socket accepted) {
            if (failure == asio::error::operation_aborted)
                return;
            if (failure) {
                // The process is out of file descriptors, for example; open connections will release theirs.
                logEvent(log_level::warn, "accept_failed", { { "reason", failure.message() } });
                auto const pause = std::make_shared<asio::steady_timer>(m_context, acceptRetryDelay);
                pause->async_wait([this, pause, &acceptor, &protocol](boost::system::error_code) { acceptNext(acceptor, protocol); });
                return;
            }
            addConnection(std::move(accepted), protocol);
            acceptNext(acceptor, protocol);
        });
    }

    /// Accepts the connections that callers have already opened, and closes the acceptor.
    void stopAccepting(tcp::acceptor& acceptor, forwarding::edge_protocol const& protocol)
    {
        boost::system::error_code failure;
        if (!acceptor.is_open())
            return;
        acceptor.non_blocking(true, failure);
        while (!failure) {
            tcp::socket accepted { m_context };
            acceptor.accept(accepted, failure);
            if (!failure)
                addConnection(std::move(accepted), protocol);
        }
        acceptor.close(failure);
    }

    std::vector<std::shared_ptr<caller_connection>> callerConnections() const
    {
        std::vector<std::shared_ptr<caller_connection>> connections;
        connections.reserve(m_callerConnections.size());
        for (auto const& [pointer, each] : m_callerConnections)
            connections.push_back(each);
        return connections;
    }

    /// Peers relay requests within the callers' limits, plus the headers of the relay protocol.
    static forwarding::caller_limits relayLimits(forwarding::caller_limits limits)
    {
        limits.headerBytes *= 2;
        limits.idleTimeout = relayIdleTimeout;
        return limits;
    }

    void addConnection(tcp::socket accepted, forwarding::edge_protocol const& protocol)
    {
        if (m_callerConnections.size() >= m_settings.maximumCallerConnections) {
            logEvent(log_level::warn, "caller_connection_refused", { { "open", m_callerConnections.size() } });
            return;
        }
        boost::system::error_code ignored;
        accepted.set_option(tcp::no_delay(true), ignored);
        accepted.non_blocking(true, ignored);
        caller_connection_hooks hooks;
        hooks.protocol = &protocol;
        hooks.limits = [this, isRelay = &protocol == &m_relayProtocol] {
            auto const limits = m_engine.routes() ? m_engine.routes()->limits() : forwarding::caller_limits {};
            return isRelay ? relayLimits(limits) : limits;
        };
        hooks.requestReceived = [this](std::shared_ptr<caller_connection> const& origin, forwarding::caller_request request) { handleRequest(origin, std::move(request)); };
        hooks.callerDisconnected = [this](request_token token) {
            m_connectionsByRequest.erase(token);
            m_requestsInFlight = m_connectionsByRequest.size();
            m_engine.handleCallerDisconnect(token, now());
            armTimer();
        };
        hooks.connectionClosed = [this](caller_connection* closed) { m_callerConnections.erase(closed); };
        hooks.isLeaving = [this] { return m_isLeaving; };
        hooks.requestRejected = [](errors::error const& error) { logEvent(log_level::info, "request_rejected", { { "reason", errors::propertiesOf(error.kind).name } }); };
        auto const created = std::make_shared<caller_connection>(std::move(accepted), std::move(hooks));
        m_callerConnections[created.get()] = created;
        created->start();
    }

    void handleRequest(std::shared_ptr<caller_connection> const& origin, forwarding::caller_request request)
    {
        auto const token = ++m_lastRequestToken;
        origin->setRequestToken(token);
        m_connectionsByRequest[token] = origin;
        m_requestsInFlight = m_connectionsByRequest.size();
        m_engine.handleRequest(token, std::move(request), now());
        armTimer();
    }

    void deliverAnswer(request_token token, forwarding::final_answer const& answer)
    {
        auto const found = m_connectionsByRequest.find(token);
        if (found == m_connectionsByRequest.end())
            return;
        auto const origin = found->second;
        m_connectionsByRequest.erase(found);
        origin->sendAnswer(answer);
        m_requestsInFlight = m_connectionsByRequest.size();
    }

    void sendCall(forwarding::leaf_call const& call)
    {
        auto const at = now();
        serialized_call message { call.number, call.request->attemptId, call.request->method == "HEAD", call.isRepeatable, {} };
        if (call.isProbe)
            message.replyLimit = maximumProbeReplyBytes;
        auto& bytes = message.bytes;
        bytes.reserve(512 + call.request->body.size());
        bytes += call.request->method + " " + call.request->target + " HTTP/1.1\r\n";
        bool const isToDaemon = call.relayed || call.detoured;
        for (auto const& each : call.request->headers) {
            if (!isToDaemon || !forwarding::isRelayHeader(each.name))
                bytes += each.name + ": " + each.value + "\r\n";
        }
        std::optional<std::chrono::milliseconds> remaining;
        if (call.deadline)
            remaining = std::max(std::chrono::duration_cast<std::chrono::milliseconds>(*call.deadline - at), std::chrono::milliseconds { 1 });
        auto const& protocol = isToDaemon ? m_relayProtocol : m_edgeProtocol;
        protocol.writeCallHeaders(call, remaining, bytes);
        bool const hasBody = !call.request->body.empty() || call.request->method == "POST" || call.request->method == "PUT" || call.request->method == "PATCH";
        if (hasBody)
            bytes += "Content-Length: " + std::to_string(call.request->body.size()) + "\r\n";
        bytes += "\r\n";
        bytes += call.request->body;
        if (call.isProbe)
            m_leafConnections.sendOverNewConnection(call.leaf, call.endpoint, std::move(message));
        else if (isToDaemon)
            m_relayConnections.send(relayPoolKey(call.endpoint), call.endpoint, std::move(message), at);
        else
            m_leafConnections.send(call.leaf, call.endpoint, std::move(message), at);
    }

    std::uint32_t relayPoolKey(model::endpoint const& endpoint)
    {
        return m_relayPoolKeys.try_emplace(endpoint, static_cast<std::uint32_t>(m_relayPoolKeys.size())).first->second;
    }

    void endCall(forwarding::call_number number, forwarding::call_result result)
    {
        m_engine.handleCallEnd(number, std::move(result), now());
        armTimer();
    }

    void armTimer()
    {
        auto const next = m_engine.nextTimerTime();
        if (!next || (m_engineTimerDue && *m_engineTimerDue <= *next))
            return;
        m_engineTimerDue = next;
        m_engineTimer.expires_at(*next);
        m_engineTimer.async_wait([this](boost::system::error_code failure) {
            if (failure)
                return;
            m_engineTimerDue.reset();
            m_engine.runTimers(now());
            armTimer();
        });
    }

    void scheduleSweep()
    {
        m_sweepTimer.expires_after(sweepInterval);
        m_sweepTimer.async_wait([this](boost::system::error_code failure) {
            if (failure)
                return;
            auto const at = now();
            m_leafConnections.closeExpiredConnections(at);
            m_relayConnections.closeExpiredConnections(at);
            for (auto const& each : callerConnections())
                each->enforceTimeLimits(at);
            scheduleSweep();
        });
    }

    void apply(forwarding::route_table_pointer&& routes)
    {
        auto const before = m_engine.routes() ? m_engine.routes()->version() : 0;
        m_engine.setRoutes(std::move(routes), now());
        auto const after = m_engine.routes()->version();
        if (after != before)
            logEvent(log_level::info, "configuration_in_force", { { "version", after }, { "before", before }, { "routes", m_engine.routes()->routes().size() }, { "tenants", m_engine.routes()->tenants().size() } });
    }

    void apply(leafs_changed&& changed) { m_engine.setLeafs(changed.leafs, now()); }
    void apply(evacuations_changed&& changed) { m_engine.setEvacuations(std::move(changed.dataCentres), now()); }
    void apply(fleet_share_changed&& changed)
    {
        logEvent(log_level::info, "fleet_share_changed", { { "connection_holders", changed.share.daemonsSharingConnections }, { "slack_holders", changed.share.daemonsSharingSlack }, { "limit_shares", changed.share.daemonsSharingLeafLimits }, { "limit_phase", changed.share.limitPhase }, { "relays", changed.share.relays.size() }, { "detours", changed.share.detours.size() } });
        m_engine.setFleetShare(std::move(changed.share), now());
    }
    void apply(extra_calls_changed&& changed) { m_engine.setExtraCalls(changed.limits, now()); }
    void apply(suspects_told&& told)
    {
        m_engine.mergeSuspects(told.suspects, now());
        armTimer();
    }
    void apply(quota_tolerance_changed&& changed) { m_engine.setQuotaTolerance(changed.tolerance); }
    void apply(usage_told&& told) { m_engine.mergeUsage(told.report, now()); }
    void apply(link_loss_told&& told)
    {
        m_engine.handleLinkLossNews(told.daemonCount, now());
        armTimer();
    }
    void apply(leaving_started&&)
    {
        m_isLeaving = true;
        m_engine.setLeaving();
    }

    asio::io_context& m_context;
    traffic_settings m_settings;
    forwarding::edge_protocol m_edgeProtocol;
    std::atomic<std::size_t>& m_requestsInFlight;
    /// Header protocol of calls between daemons.
    forwarding::edge_protocol m_relayProtocol;
    tcp::acceptor m_callerAcceptor;
    tcp::acceptor m_relayAcceptor;
    asio::steady_timer m_engineTimer;
    asio::steady_timer m_sweepTimer;
    std::unordered_map<caller_connection*, std::shared_ptr<caller_connection>> m_callerConnections;
    std::unordered_map<request_token, std::shared_ptr<caller_connection>> m_connectionsByRequest;
    std::optional<kernel::time_point> m_engineTimerDue;
    request_token m_lastRequestToken { 0 };
    bool m_isLeaving { false };
    leaf_connection_pools m_leafConnections;
    leaf_connection_pools m_relayConnections;
    std::map<model::endpoint, std::uint32_t> m_relayPoolKeys;
    request_log m_requestLog;
    callers::latency_metrics m_latencies;
    std::function<void(std::vector<quarantine::suspect>)> m_suspectsReceiver;
    std::function<void(bool)> m_leafReachReceiver;
    std::function<void(model::endpoint const&)> m_daemonWithoutLeafsReceiver;
    std::function<void(std::vector<allowances::addressed_report>)> m_usageReceiver;
    forwarding::request_engine m_engine;
};

errors::error_or<std::shared_ptr<traffic_service>> traffic_service::create(traffic_settings settings, forwarding::edge_protocol protocol, kernel::random_hook random)
{
    std::shared_ptr<traffic_service> created { new traffic_service(std::move(settings), std::move(protocol), std::move(random)) };
    if (auto listening = created->m_implementation->listen(); !listening)
        return tl::unexpected(listening.error());
    return created;
}

traffic_service::traffic_service(traffic_settings settings, forwarding::edge_protocol protocol, kernel::random_hook random)
    : m_workerThread(serviceName)
    , m_implementation(std::make_unique<implementation>(m_workerThread.context(), std::move(settings), std::move(protocol), std::move(random), m_requestsInFlight))
    , m_inbox(m_workerThread.createInbox<traffic_event>(inboxCapacity, [this](traffic_event&& event) { m_implementation->handleEvent(std::move(event)); }))
{
}

traffic_service::~traffic_service() = default;

void traffic_service::setSuspectsReceiver(std::function<void(std::vector<quarantine::suspect>)> receiver)
{
    m_implementation->setSuspectsReceiver(std::move(receiver));
}

void traffic_service::setUsageReceiver(std::function<void(std::vector<allowances::addressed_report>)> receiver)
{
    m_implementation->setUsageReceiver(std::move(receiver));
}

void traffic_service::setDaemonWithoutLeafsReceiver(std::function<void(model::endpoint const&)> receiver)
{
    m_implementation->setDaemonWithoutLeafsReceiver(std::move(receiver));
}

void traffic_service::setLeafReachReceiver(std::function<void(bool)> receiver)
{
    m_implementation->setLeafReachReceiver(std::move(receiver));
}

std::uint16_t traffic_service::port() const
{
    return m_implementation->port();
}

bool traffic_service::drainConnections(std::function<void(std::size_t)> receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] { receiver(m_implementation->drainConnections()); });
}

bool traffic_service::requestState(kernel::text_receiver receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] { receiver(m_implementation->describeState()); });
}

bool traffic_service::requestMetrics(kernel::text_receiver receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] { receiver(m_implementation->describeMetrics()); });
}

}
