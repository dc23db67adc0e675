#include "Services/targets/leaf_pool.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <utility>

namespace zinnialedge::services::targets {

static constexpr std::chrono::milliseconds connectTimeout { 1000 };
static constexpr std::chrono::milliseconds statusRequestTimeout { 500 };
static constexpr std::chrono::milliseconds cancelRequestTimeout { 200 };
/// Time after the deadline during which a reply is still read. A late reply makes its connection available again, and for a
/// non-repeatable request settles the ticket.
static constexpr std::chrono::milliseconds repeatableReplyGrace { 1000 };
static constexpr std::chrono::milliseconds nonRepeatableReplyGrace { 10'000 };
static constexpr unsigned maximumSkippedRefreshes { 8 };
/// Number of refreshes without a rejected connection after which the pool tries to open an additional connection.
static constexpr unsigned refreshesBeforeGrowth { 10 };
static constexpr int statusOk = 200;

leaf_pool::leaf_pool(boost::asio::io_context& context, routing::leaf_handle handle, model::endpoint leafEndpoint, std::string callPrefix, leaf_pool_hooks hooks)
    : m_context(context)
    , m_handle(handle)
    , m_endpoint(std::move(leafEndpoint))
    , m_callPrefix(std::move(callPrefix))
    , m_hooks(std::move(hooks))
{
}

void leaf_pool::resize(std::size_t connections)
{
    if (connections != m_maximumConnectionCount)
        m_acceptedConnectionCount = connections;
    m_maximumConnectionCount = connections;
    while (!m_idleConnections.empty() && openConnectionCount() > m_maximumConnectionCount)
        m_idleConnections.pop_back();
    if (m_maximumConnectionCount == 0)
        failQueuedCalls("this daemon no longer calls the leaf");
    openMissingConnections();
}

void leaf_pool::openMissingConnections()
{
    while (openConnectionCount() + m_openingCount < usableConnectionCount())
        openConnection();
}

void leaf_pool::openConnection()
{
    ++m_openingCount;
    auto const connection = std::make_shared<wire::http_client>(m_context, m_endpoint, wire::http_client::defaultMaximumResponseBytes, m_hooks.unfinishedReplies);
    connection->connect(connectTimeout, [self = shared_from_this(), connection](bool isConnected) {
        --self->m_openingCount;
        if (isConnected) {
            self->sendStatusRequest(connection, true);
            return;
        }
        ++self->m_failedConnectCount;
        self->handleConnectionFailure();
    });
}

void leaf_pool::handleConnectionFailure()
{
    if (!hasNoConnections()) {
        // Queued calls can still be sent over the remaining connections.
        m_hooks.statusReceived({ m_handle, std::nullopt, std::max<std::uint32_t>(1, reportedConnectionCount()) });
        return;
    }
    ++m_consecutiveFailureCount;
    m_hooks.statusReceived({ m_handle, std::nullopt, 0 });
    failQueuedCalls("no open connection to the leaf");
}

void leaf_pool::failQueuedCalls(std::string const& reason)
{
    for (auto const& call : std::exchange(m_queuedCalls, {}))
        reportUnsent(call.call, reason);
}

void leaf_pool::reduceAcceptedConnections()
{
    // Each daemon of the group keeps its open connections, so the group as a whole stays within the leaf's connection cap.
    m_acceptedConnectionCount = std::max<std::size_t>(1, openConnectionCount());
    m_refreshesSinceRejection = 0;
}

void leaf_pool::raiseAcceptedConnections()
{
    if (m_acceptedConnectionCount >= m_maximumConnectionCount || ++m_refreshesSinceRejection < refreshesBeforeGrowth)
        return;
    m_refreshesSinceRejection = 0;
    ++m_acceptedConnectionCount;
}

void leaf_pool::sendStatusRequest(client_handle const& connection, bool isNewConnection)
{
    ++m_controlRequestCount;
    connection->send({ "GET", "/status", {}, {} }, statusRequestTimeout, [self = shared_from_this(), connection, isNewConnection](wire::http_result const& result) { self->handleStatusReply(connection, isNewConnection, result); });
}

void leaf_pool::handleStatusReply(client_handle const& connection, bool isNewConnection, wire::http_result const& result)
{
    --m_controlRequestCount;
    auto const status = result && result->status == statusOk ? wire::parseLeafStatus(result->body) : std::nullopt;
    if (!status) {
        // A leaf at its connection cap accepts a new connection and closes the connection immediately.
        if (isNewConnection)
            reduceAcceptedConnections();
        handleConnectionFailure();
        return;
    }
    m_consecutiveFailureCount = 0;
    releaseConnection(connection);
    m_hooks.statusReceived({ m_handle, status, std::max<std::uint32_t>(1, reportedConnectionCount()) });
}

void leaf_pool::releaseConnection(client_handle const& connection)
{
    if (!connection->isOpen() || openConnectionCount() >= m_maximumConnectionCount)
        return;
    m_idleConnections.push_back(connection);
    sendQueuedCalls();
}

leaf_pool::client_handle leaf_pool::takeIdleConnection()
{
    while (!m_idleConnections.empty()) {
        auto const connection = m_idleConnections.back();
        m_idleConnections.pop_back();
        if (connection->isUsable())
            return connection;
    }
    return nullptr;
}

void leaf_pool::sendQueuedCalls()
{
    while (!m_queuedCalls.empty()) {
        if (failIfExpired(m_queuedCalls.front())) {
            m_queuedCalls.pop_front();
            continue;
        }
        auto const idle = takeIdleConnection();
        if (!idle)
            return;
        auto const call = m_queuedCalls.front();
        m_queuedCalls.pop_front();
        sendOverConnection(idle, call);
    }
}

void leaf_pool::send(queries::send_leaf_call const& call)
{
    if (auto const idle = takeIdleConnection()) {
        if (!failIfExpired(call))
            sendOverConnection(idle, call);
        else
            releaseConnection(idle);
        return;
    }
    openMissingConnections();
    // Calls are not queued while the pool tries to reconnect to a leaf that was dead.
    if (hasNoConnections() || (openConnectionCount() == 0 && m_consecutiveFailureCount > 0)) {
        reportUnsent(call.call, "no open connection to the leaf");
        return;
    }
    m_queuedCalls.push_back(call);
}

bool leaf_pool::failIfExpired(queries::send_leaf_call const& call)
{
    if (m_hooks.clock() < call.deadline)
        return false;
    reportUnsent(call.call, "the deadline passed before the call was sent");
    return true;
}

void leaf_pool::reportUnsent(queries::call_id call, std::string reason)
{
    queries::leaf_outcome outcome;
    outcome.mayHaveBeenSent = false;
    outcome.reason = std::move(reason);
    m_hooks.handleCallEnd({ call, std::move(outcome) });
}

void leaf_pool::sendOverConnection(client_handle const& connection, queries::send_leaf_call const& call)
{
    auto const remaining = std::chrono::duration_cast<std::chrono::microseconds>(call.deadline - m_hooks.clock());
    wire::leaf_call const message {
        .call = m_callPrefix + std::to_string(call.call),
        .requestKind = call.request->requestKind,
        .key = call.request->key,
        .body = call.request->body,
        .ticket = call.request->ticket,
        .shard = call.shard,
        .pin = call.pin,
        .deadline = remaining,
        .isUrgent = call.isUrgent,
    };
    m_busyConnections.emplace(call.call, connection);
    auto const timeout = std::chrono::ceil<std::chrono::milliseconds>(remaining) + (call.isRepeatable ? repeatableReplyGrace : nonRepeatableReplyGrace);
    connection->send(wire::formatLeafCall(message), timeout, [self = shared_from_this(), connection, id = call.call](wire::http_result const& result) { self->handleReply(connection, id, result); });
}

void leaf_pool::handleReply(client_handle const& connection, queries::call_id call, wire::http_result const& result)
{
    m_busyConnections.erase(call);
    queries::leaf_outcome outcome;
    if (result) {
        outcome = wire::parseLeafReply(*result, m_callPrefix + std::to_string(call));
    } else {
        outcome.mayHaveBeenSent = result.error().mayHaveBeenSent;
        outcome.isConnectionLost = result.error().isConnectionLost;
        outcome.reason = result.error().reason;
    }
    m_hasReceivedStatus = m_hasReceivedStatus || outcome.status;
    m_hooks.handleCallEnd({ call, std::move(outcome) });
    releaseConnection(connection);
}

void leaf_pool::cancel(queries::call_id call)
{
    auto const queued = std::find_if(m_queuedCalls.begin(), m_queuedCalls.end(), [&](auto const& each) { return each.call == call; });
    if (queued != m_queuedCalls.end()) {
        m_queuedCalls.erase(queued);
        reportUnsent(call, "the call was cancelled before it was sent");
        return;
    }
    if (!m_busyConnections.contains(call))
        return;
    auto const idle = takeIdleConnection();
    if (!idle)
        return;
    ++m_controlRequestCount;
    wire::http_request const request { "POST", "/cancel?call=" + m_callPrefix + std::to_string(call), {}, {} };
    idle->send(request, cancelRequestTimeout, [self = shared_from_this(), idle](wire::http_result const&) {
        --self->m_controlRequestCount;
        self->releaseConnection(idle);
    });
}

void leaf_pool::refresh()
{
    if (m_refreshesToSkip > 0) {
        --m_refreshesToSkip;
        return;
    }
    // Refreshes of an unresponsive leaf back off.
    m_refreshesToSkip = std::min(m_consecutiveFailureCount, maximumSkippedRefreshes);
    std::erase_if(m_idleConnections, [](client_handle const& each) { return !each->isUsable(); });
    raiseAcceptedConnections();
    openMissingConnections();
    // Every reply carries the leaf's status, so a leaf that has replied since the last refresh needs no status request.
    if (std::exchange(m_hasReceivedStatus, false))
        return;
    if (auto const idle = takeIdleConnection())
        sendStatusRequest(idle, false);
}

}
