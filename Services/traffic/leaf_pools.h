#pragma once

#include "Services/traffic/leaf_connection.h"
#include <map>
#include <unordered_map>
#include <vector>

namespace zinnialedge::services::traffic {

struct leaf_connection_counters {
    std::uint64_t openedCount { 0 };
    std::uint64_t reusedCount { 0 };
    /// Connections that were not opened, by the reason.
    std::map<connect_failure, std::uint64_t> failedCounts;
};

struct leaf_pool_hooks {
    std::function<void(forwarding::call_number, forwarding::call_result)> handleCallEnd;
    /// Returns whether a call that waited for its connection may still be sent; empty when every call may.
    std::function<bool(forwarding::call_number)> isCallWanted {};
    /// Called with a leaf's reply that answers no open call. May be empty.
    std::function<void(std::uint32_t leaf, forwarding::leaf_reply const&)> handleUnmatchedReply {};
    /// Called when the connection of a call is open, before the call is sent. May be empty.
    std::function<void(forwarding::call_number)> callConnected {};
    /// Called when a connection to a leaf could not be opened. May be empty.
    std::function<void(std::uint32_t leaf, connect_failure)> connectFailed {};
};

/// Connection pools of all leafs. A call reuses an idle connection to its leaf or opens a new connection.
class leaf_connection_pools {
public:
    /// `unfinishedReplies` is the memory of replies that are not complete. `source` is the local address of new connections; empty when the
    /// system chooses it.
    leaf_connection_pools(boost::asio::io_context&, forwarding::edge_protocol const&, std::shared_ptr<limits::memory_budget> unfinishedReplies, leaf_pool_hooks, std::string source = {});

    void send(std::uint32_t leaf, model::endpoint const&, serialized_call, kernel::time_point now);
    /// Sends a call over a new connection.
    void sendOverNewConnection(std::uint32_t leaf, model::endpoint const&, serialized_call);
    /// Fails a call and closes its connection.
    void cancel(forwarding::call_number, forwarding::call_failure);
    /// Fails a call as timed out if the leaf's machine has not confirmed all of its bytes.
    void cancelUndelivered(forwarding::call_number);
    /// Closes connections that were not established in time or have been idle for too long.
    void closeExpiredConnections(kernel::time_point now);

    /// Closes all connections that carry no call.
    void closeIdleConnections();

    std::size_t connectionCount() const { return m_connections.size(); }
    leaf_connection_counters const& counters() const { return m_counters; }

private:
    using connection = std::shared_ptr<leaf_connection>;

    connection takeIdleConnection(std::uint32_t leaf, bool isRepeatable, kernel::time_point now);
    connection makeConnection(std::uint32_t leaf);

    boost::asio::io_context& m_context;
    forwarding::edge_protocol const& m_protocol;
    leaf_pool_hooks m_hooks;
    std::string m_source;
    std::shared_ptr<limits::memory_budget> m_unfinishedReplies;
    std::unordered_map<std::uint32_t, std::vector<connection>> m_idleConnections;
    std::unordered_map<leaf_connection*, connection> m_connections;
    std::unordered_map<forwarding::call_number, std::weak_ptr<leaf_connection>> m_busyConnections;
    leaf_connection_counters m_counters;
};

}
