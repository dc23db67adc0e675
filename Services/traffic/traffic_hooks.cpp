// Hooks by which the request engine and the connections to leafs act.

#include "Services/traffic/traffic_implementation.h"

namespace zinnialedge::services::traffic {

namespace asio = boost::asio;
using forwarding::request_token;

forwarding::engine_hooks traffic_service::implementation::makeHooks()
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

leaf_pool_hooks traffic_service::implementation::makeLeafPoolHooks()
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

}
