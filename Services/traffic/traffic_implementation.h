#pragma once

#include "Libraries/zinnialedge/forwarding/relay_protocol.h"
#include "Services/callers/latency_metrics.h"
#include "Services/traffic/caller_connection.h"
#include "Services/traffic/leaf_pools.h"
#include "Services/traffic/request_log.h"
#include "Services/traffic/traffic_service.h"
#include <boost/asio/steady_timer.hpp>
#include <map>

namespace zinnialedge::services::traffic {

/// Time within which a reply counts as recent in the metrics and in the log.
inline constexpr std::chrono::seconds recentReplyTime { 1 };

/// The event loop's side of the traffic service. Its sources are traffic_service.cpp (events and timers) and traffic_*.cpp.
class traffic_service::implementation {
public:
    implementation(boost::asio::io_context& context, traffic_settings settings, forwarding::edge_protocol protocol, kernel::random_hook random, std::atomic<std::size_t>& inFlight)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_edgeProtocol(std::move(protocol))
        , m_requestsInFlight(inFlight)
        , m_relayProtocol(forwarding::makeRelayProtocol(m_edgeProtocol.parseAccessHeader))
        , m_callerAcceptor(context)
        , m_relayAcceptor(context)
        , m_engineTimer(context)
        , m_sweepTimer(context)
        , m_callerBuffers(std::make_shared<limits::memory_budget>(limits::memory_budget { .limit = m_settings.memory.callerBuffers }))
        , m_openRequestMemory(std::make_shared<limits::memory_budget>(limits::memory_budget { .limit = m_settings.memory.openRequests }))
        , m_leafReplies(std::make_shared<limits::memory_budget>(limits::memory_budget { .limit = m_settings.memory.leafReplies }))
        , m_leafConnections(context, m_edgeProtocol, m_leafReplies, makeLeafPoolHooks(), m_settings.leafCallSource)
        , m_relayConnections(context, m_relayProtocol, m_leafReplies, { .handleCallEnd = [this](forwarding::call_number number, forwarding::call_result result) { endCall(number, std::move(result)); } })
        , m_requestLog(kernel::makeSteadyClock())
        , m_engine(m_settings.engine, makeHooks(), std::move(random), now())
    {
    }

    errors::error_or<void> listen();

    std::uint16_t port() const
    {
        boost::system::error_code ignored;
        return m_callerAcceptor.local_endpoint(ignored).port();
    }

    void setSuspectsReceiver(std::function<void(std::vector<quarantine::suspect>)> receiver) { m_suspectsReceiver = std::move(receiver); }
    void setUsageReceiver(std::function<void(std::vector<allowances::addressed_report>)> receiver) { m_usageReceiver = std::move(receiver); }
    void setLeafReachReceiver(std::function<void(bool)> receiver) { m_leafReachReceiver = std::move(receiver); }
    void setDaemonWithoutLeafsReceiver(std::function<void(model::endpoint const&)> receiver) { m_daemonWithoutLeafsReceiver = std::move(receiver); }

    void handleEvent(traffic_event&& event);
    void announceLeaving(kernel::time_point answersDueAt);
    void rejectNewRequests() { m_engine.rejectNewRequests(); }
    std::size_t drainConnections();
    void stopAccepting();
    /// Logs the requests that wait for their answers. Returns the number of requests whose answers are not written completely.
    std::size_t reportInterruptedRequests() const;
    std::string describeState() const;
    std::string describeMetrics() const;
    errors::error_or<std::string> explain(std::map<std::string, std::string> const& parameters) const;

private:
    static kernel::time_point now() { return std::chrono::steady_clock::now(); }

    forwarding::engine_hooks makeHooks();
    leaf_pool_hooks makeLeafPoolHooks();
    void acceptNext(boost::asio::ip::tcp::acceptor& acceptor, forwarding::edge_protocol const& protocol);
    /// Accepts the connections that callers have already opened, and closes the acceptor.
    void closeAcceptor(boost::asio::ip::tcp::acceptor& acceptor, forwarding::edge_protocol const& protocol);
    std::vector<std::shared_ptr<caller_connection>> callerConnections() const;
    /// Peers relay requests within the callers' limits, plus the headers of the relay protocol.
    static forwarding::caller_limits relayLimits(forwarding::caller_limits limits);
    void addConnection(boost::asio::ip::tcp::socket accepted, forwarding::edge_protocol const& protocol);
    /// Closes a connection of the same port for a new one. Returns false when leafs work for all of them.
    bool closeExpendableConnection(forwarding::edge_protocol const& protocol);
    /// Gives up incomplete requests and unread answers, the oldest first, until the others fit into their memory.
    void relieveBuffers();
    void handleRequest(std::shared_ptr<caller_connection> const& origin, forwarding::caller_request request);
    void deliverAnswer(forwarding::request_token token, forwarding::final_answer const& answer);
    void sendCall(forwarding::leaf_call const& call);
    std::uint32_t relayPoolKey(model::endpoint const& endpoint);
    void endCall(forwarding::call_number number, forwarding::call_result result);
    void armTimer();
    void scheduleSweep();

    void apply(forwarding::route_table_pointer&& routes);
    void apply(leafs_changed&& changed);
    void apply(evacuations_changed&& changed);
    void apply(fleet_share_changed&& changed);
    void apply(extra_calls_changed&& changed);
    void apply(suspects_told&& told);
    void apply(quota_tolerance_changed&& changed);
    void apply(usage_told&& told);
    void apply(link_loss_told&& told);
    void apply(registrations_delivered&& changed) { m_engine.setRegistrationsCurrent(changed.areDelivered); }

    boost::asio::io_context& m_context;
    traffic_settings m_settings;
    forwarding::edge_protocol m_edgeProtocol;
    std::atomic<std::size_t>& m_requestsInFlight;
    /// Header protocol of calls between daemons.
    forwarding::edge_protocol m_relayProtocol;
    boost::asio::ip::tcp::acceptor m_callerAcceptor;
    boost::asio::ip::tcp::acceptor m_relayAcceptor;
    boost::asio::steady_timer m_engineTimer;
    boost::asio::steady_timer m_sweepTimer;
    std::unordered_map<caller_connection*, std::shared_ptr<caller_connection>> m_callerConnections;
    /// Number of connections by their protocol.
    std::map<forwarding::edge_protocol const*, std::size_t> m_connectionCounts;
    std::shared_ptr<limits::memory_budget> m_callerBuffers;
    std::shared_ptr<limits::memory_budget> m_openRequestMemory;
    bool m_isRelievingBuffers { false };
    std::uint64_t m_connectionsGivenUp { 0 };
    std::uint64_t m_connectionsRefused { 0 };
    std::uint64_t m_buffersGivenUp { 0 };
    std::unordered_map<forwarding::request_token, std::shared_ptr<caller_connection>> m_connectionsByRequest;
    std::optional<kernel::time_point> m_engineTimerDue;
    forwarding::request_token m_lastRequestToken { 0 };
    bool m_isLeaving { false };
    /// Memory of the replies of leafs and of other daemons that are not complete.
    std::shared_ptr<limits::memory_budget> m_leafReplies;
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

}
