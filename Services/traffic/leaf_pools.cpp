#include "Services/traffic/leaf_pools.h"

#include <algorithm>
#include <utility>

namespace zinnialedge::services::traffic {

/// Connecting takes a few milliseconds; a partitioned leaf never answers the handshake.
static constexpr std::chrono::milliseconds connectTimeout { 400 };

leaf_connection_pools::leaf_connection_pools(boost::asio::io_context& context, forwarding::edge_protocol const& protocol, std::shared_ptr<limits::memory_budget> unfinishedReplies, leaf_pool_hooks hooks, std::string source)
    : m_context(context)
    , m_protocol(protocol)
    , m_hooks(std::move(hooks))
    , m_source(std::move(source))
    , m_unfinishedReplies(std::move(unfinishedReplies))
{
}

leaf_connection_pools::connection leaf_connection_pools::takeIdleConnection(std::uint32_t leaf, bool isRepeatable, kernel::time_point now)
{
    auto const found = m_idleConnections.find(leaf);
    if (found == m_idleConnections.end())
        return nullptr;
    auto& idle = found->second;
    // The most recently used connection is the freshest. Surplus connections expire by their idle limit.
    if (idle.empty() || !idle.back()->isLikelyOpen(now, isRepeatable))
        return nullptr;
    auto taken = std::move(idle.back());
    idle.pop_back();
    return taken;
}

leaf_connection_pools::connection leaf_connection_pools::makeConnection(std::uint32_t leaf)
{
    auto const self = std::make_shared<std::weak_ptr<leaf_connection>>();
    leaf_connection_hooks hooks;
    hooks.protocol = &m_protocol;
    hooks.unfinishedReplies = m_unfinishedReplies;
    hooks.handleCallEnd = [this](forwarding::call_number number, forwarding::call_result result) {
        m_busyConnections.erase(number);
        m_hooks.handleCallEnd(number, std::move(result));
    };
    hooks.isCallWanted = m_hooks.isCallWanted;
    hooks.callConnected = m_hooks.callConnected;
    if (m_hooks.handleUnmatchedReply)
        hooks.handleUnmatchedReply = [this, leaf](forwarding::leaf_reply const& reply) { m_hooks.handleUnmatchedReply(leaf, reply); };
    hooks.connectFailed = [this, leaf](connect_failure failure) {
        ++m_counters.failedCounts[failure];
        if (m_hooks.connectFailed)
            m_hooks.connectFailed(leaf, failure);
    };
    hooks.becameIdle = [this, self, leaf] {
        if (auto created = self->lock())
            m_idleConnections[leaf].push_back(std::move(created));
    };
    hooks.connectionClosed = [this, self, leaf] {
        auto const created = self->lock();
        if (!created)
            return;
        std::erase(m_idleConnections[leaf], created);
        m_connections.erase(created.get());
    };
    auto created = std::make_shared<leaf_connection>(m_context, std::move(hooks));
    *self = created;
    m_connections[created.get()] = created;
    return created;
}

void leaf_connection_pools::send(std::uint32_t leaf, model::endpoint const& endpoint, serialized_call call, kernel::time_point now)
{
    auto const number = call.number;
    if (auto const idle = takeIdleConnection(leaf, call.isRepeatable, now)) {
        ++m_counters.reusedCount;
        m_busyConnections[number] = idle;
        if (m_hooks.callConnected)
            m_hooks.callConnected(number);
        idle->send(std::move(call));
        return;
    }
    sendOverNewConnection(leaf, endpoint, std::move(call));
}

void leaf_connection_pools::sendOverNewConnection(std::uint32_t leaf, model::endpoint const& endpoint, serialized_call call)
{
    auto const number = call.number;
    ++m_counters.openedCount;
    auto const created = makeConnection(leaf);
    m_busyConnections[number] = created;
    created->connectAndSend(endpoint, m_source, std::move(call));
}

void leaf_connection_pools::cancel(forwarding::call_number number, forwarding::call_failure failure)
{
    auto const found = m_busyConnections.find(number);
    if (found == m_busyConnections.end())
        return;
    if (auto const busyConnection = found->second.lock())
        busyConnection->abort(failure);
}

void leaf_connection_pools::cancelUndelivered(forwarding::call_number number)
{
    auto const found = m_busyConnections.find(number);
    if (found == m_busyConnections.end())
        return;
    if (auto const busyConnection = found->second.lock())
        busyConnection->abortIfUndelivered();
}

void leaf_connection_pools::closeIdleConnections()
{
    for (auto const& [leaf, idle] : std::exchange(m_idleConnections, {})) {
        for (auto const& each : idle)
            each->abort(forwarding::call_failure::not_sent);
    }
}

void leaf_connection_pools::closeExpiredConnections(kernel::time_point now)
{
    std::vector<connection> unopened;
    std::vector<connection> expired;
    for (auto const& [pointer, each] : m_connections) {
        if (each->isConnecting() && now - each->connectStartedAt() > connectTimeout)
            unopened.push_back(each);
        else if (each->isIdle() && !each->isLikelyOpen(now, true))
            expired.push_back(each);
    }
    for (auto const& each : unopened)
        each->abandonConnect(connect_failure::timed_out);
    for (auto const& each : expired)
        each->abort(forwarding::call_failure::not_sent);
    std::erase_if(m_idleConnections, [](auto const& entry) { return entry.second.empty(); });
}

}
