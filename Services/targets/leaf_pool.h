#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/queries/events.h"
#include "Libraries/zinnialedge/wire/http_client.h"
#include "Libraries/zinnialedge/wire/leaf_codec.h"
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace zinnialedge::services::targets {

struct leaf_pool_hooks {
    kernel::clock_hook clock;
    std::function<void(queries::leaf_call_ended)> handleCallEnd;
    std::function<void(queries::leaf_status_received)> statusReceived;
    /// Memory for the unfinished replies of all leafs together.
    std::shared_ptr<limits::memory_budget> unfinishedReplies {};
};

/// Connections to one leaf. Each new connection is verified with a status request before the connection carries calls.
class leaf_pool : public std::enable_shared_from_this<leaf_pool> {
public:
    leaf_pool(boost::asio::io_context&, routing::leaf_handle, model::endpoint, std::string callPrefix, leaf_pool_hooks);

    /// Sets the maximum number of connections; zero closes the pool once all calls in flight have ended.
    void resize(std::size_t connections);
    void send(queries::send_leaf_call const&);
    void cancel(queries::call_id);
    /// Opens missing connections. Sends a status request if a connection is idle and no reply has carried the leaf's status since
    /// the last refresh.
    void refresh();

    model::endpoint const& endpoint() const { return m_endpoint; }
    bool isClosed() const { return m_maximumConnectionCount == 0 && m_busyConnections.empty() && m_openingCount == 0; }
    std::size_t openConnectionCount() const { return m_idleConnections.size() + m_busyConnections.size() + m_controlRequestCount; }
    std::size_t busyConnectionCount() const { return m_busyConnections.size(); }
    std::size_t maximumConnectionCount() const { return m_maximumConnectionCount; }
    /// Returns the number of connections that the leaf accepts, as inferred from rejected connections.
    std::size_t usableConnectionCount() const { return std::min(m_maximumConnectionCount, m_acceptedConnectionCount); }
    std::uint64_t failedConnectCount() const { return m_failedConnectCount; }

private:
    using client_handle = std::shared_ptr<wire::http_client>;

    void openMissingConnections();
    void openConnection();
    void sendStatusRequest(client_handle const&, bool isNewConnection);
    void handleStatusReply(client_handle const&, bool isNewConnection, wire::http_result const&);
    /// Handles a failed connection attempt or a failed status request.
    void handleConnectionFailure();
    void reduceAcceptedConnections();
    void raiseAcceptedConnections();
    bool hasNoConnections() const { return openConnectionCount() + m_openingCount == 0; }
    std::uint32_t reportedConnectionCount() const { return static_cast<std::uint32_t>(openConnectionCount()); }
    void sendOverConnection(client_handle const&, queries::send_leaf_call const&);
    void handleReply(client_handle const&, queries::call_id, wire::http_result const&);
    void releaseConnection(client_handle const&);
    void sendQueuedCalls();
    /// Returns true, and reports the call as not sent, if the deadline of the call has passed.
    bool failIfExpired(queries::send_leaf_call const&);
    void reportUnsent(queries::call_id, std::string reason);
    /// Reports every call in the queue as not sent.
    void failQueuedCalls(std::string const& reason);
    client_handle takeIdleConnection();

    boost::asio::io_context& m_context;
    routing::leaf_handle m_handle;
    model::endpoint m_endpoint;
    std::string m_callPrefix;
    leaf_pool_hooks m_hooks;
    std::size_t m_maximumConnectionCount { 0 };
    std::size_t m_acceptedConnectionCount { 0 };
    unsigned m_refreshesSinceRejection { 0 };
    std::size_t m_openingCount { 0 };
    std::size_t m_controlRequestCount { 0 };
    std::uint64_t m_failedConnectCount { 0 };
    unsigned m_refreshesToSkip { 0 };
    unsigned m_consecutiveFailureCount { 0 };
    /// True if a reply has carried the leaf's status since the last refresh.
    bool m_hasReceivedStatus { false };
    std::vector<client_handle> m_idleConnections;
    std::map<queries::call_id, client_handle> m_busyConnections;
    std::deque<queries::send_leaf_call> m_queuedCalls;
};

}
