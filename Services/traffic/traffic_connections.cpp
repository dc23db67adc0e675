// Connections of callers and of daemons that relay calls: accepting, requests, answers, draining.

#include "Services/traffic/traffic_implementation.h"

#include "Kernel/event_log.h"
#include "Libraries/zinnialedge/wire/tcp_listener.h"
#include <algorithm>

namespace zinnialedge::services::traffic {

namespace asio = boost::asio;
using asio::ip::tcp;
using forwarding::request_token;
using kernel::log_level;
using kernel::logEvent;

/// Delay before the next accept after a failed accept.
static constexpr std::chrono::milliseconds acceptRetryDelay { 50 };
/// Time in which the first request of a new connection arrives.
static constexpr std::chrono::milliseconds firstRequestTime { 100 };
/// Connections with less are not given up for lack of memory, since their number is limited.
static constexpr std::size_t smallBufferBytes = 8192;
/// Longer than the keep-alive timeout that the relay protocol announces.
static constexpr std::chrono::milliseconds relayIdleTimeout { 60'000 };

errors::error_or<void> traffic_service::implementation::listen()
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

std::size_t traffic_service::implementation::drainConnections()
{
    auto const at = now();
    std::size_t remaining = 0;
    for (auto const& each : callerConnections()) {
        each->closeIfIdle(firstRequestTime, at);
        remaining += each->hasOpenRequest() ? 1 : 0;
    }
    return remaining;
}

void traffic_service::implementation::stopAccepting()
{
    closeAcceptor(m_callerAcceptor, m_edgeProtocol);
    closeAcceptor(m_relayAcceptor, m_relayProtocol);
}

std::size_t traffic_service::implementation::reportInterruptedRequests() const
{
    for (auto const& each : m_engine.openRequests(now()))
        request_log::logInterrupted(each);
    // An answer that is being written belongs to no request of the engine any more.
    return static_cast<std::size_t>(std::count_if(m_callerConnections.begin(), m_callerConnections.end(), [](auto const& each) { return each.second->isAnswering(); }));
}

void traffic_service::implementation::acceptNext(tcp::acceptor& acceptor, forwarding::edge_protocol const& protocol)
{
    acceptor.async_accept([this, &acceptor, &protocol](boost::system::error_code failure, tcp::socket accepted) {
        if (failure == asio::error::operation_aborted)
            return;
        // A connection may have been accepted just before the acceptor was closed.
        if (!acceptor.is_open()) {
            if (!failure)
                addConnection(std::move(accepted), protocol);
            return;
        }
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

void traffic_service::implementation::closeAcceptor(tcp::acceptor& acceptor, forwarding::edge_protocol const& protocol)
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

std::vector<std::shared_ptr<caller_connection>> traffic_service::implementation::callerConnections() const
{
    std::vector<std::shared_ptr<caller_connection>> connections;
    connections.reserve(m_callerConnections.size());
    for (auto const& [pointer, each] : m_callerConnections)
        connections.push_back(each);
    return connections;
}

forwarding::caller_limits traffic_service::implementation::relayLimits(forwarding::caller_limits limits)
{
    limits.headerBytes *= 2;
    limits.idleTimeout = relayIdleTimeout;
    return limits;
}

void traffic_service::implementation::addConnection(tcp::socket accepted, forwarding::edge_protocol const& protocol)
{
    auto const limit = &protocol == &m_relayProtocol ? m_settings.connections.relays : m_settings.connections.callers;
    auto& count = m_connectionCounts[&protocol];
    if (count >= limit && !closeExpendableConnection(protocol)) {
        ++m_connectionsRefused;
        logEvent(log_level::warn, "caller_connection_refused", { { "open", count } });
        return;
    }
    ++count;
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
    hooks.connectionClosed = [this, &count](caller_connection* closed) { count -= m_callerConnections.erase(closed); };
    hooks.buffers = m_callerBuffers;
    hooks.openRequests = m_openRequestMemory;
    hooks.buffersExceeded = [this] { relieveBuffers(); };
    hooks.isLeaving = [this] { return m_isLeaving; };
    hooks.requestRejected = [](errors::error const& error) { logEvent(log_level::info, "request_rejected", { { "reason", errors::propertiesOf(error.kind).name } }); };
    auto const created = std::make_shared<caller_connection>(std::move(accepted), std::move(hooks));
    m_callerConnections[created.get()] = created;
    created->start();
}

bool traffic_service::implementation::closeExpendableConnection(forwarding::edge_protocol const& protocol)
{
    std::shared_ptr<caller_connection> chosen;
    std::optional<expendable_state> best;
    auto const at = now();
    for (auto const& [pointer, each] : m_callerConnections) {
        auto const state = each->isOf(protocol) ? each->expendability(at) : std::nullopt;
        if (state && (!best || *state > *best)) {
            best = state;
            chosen = each;
        }
    }
    if (!chosen)
        return false;
    ++m_connectionsGivenUp;
    logEvent(log_level::debug, "caller_connection_given_up", { { "age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(best->age).count() } });
    chosen->close();
    return true;
}

void traffic_service::implementation::relieveBuffers()
{
    if (std::exchange(m_isRelievingBuffers, true))
        return;
    auto connections = callerConnections();
    // A connection that has been in its state for long sends or reads more slowly than the others.
    auto const at = now();
    std::erase_if(connections, [](auto const& each) { return each->bufferedBytes() <= smallBufferBytes; });
    std::sort(connections.begin(), connections.end(), [at](auto const& left, auto const& right) { return left->phaseAge(at) > right->phaseAge(at); });
    for (auto const& each : connections) {
        if (!m_callerBuffers->isExceeded())
            break;
        auto const bytes = each->bufferedBytes();
        if (!each->releaseBuffers())
            continue;
        ++m_buffersGivenUp;
        logEvent(log_level::info, "caller_buffers_given_up", { { "bytes", bytes }, { "limit", m_callerBuffers->limit } });
    }
    m_isRelievingBuffers = false;
}

void traffic_service::implementation::handleRequest(std::shared_ptr<caller_connection> const& origin, forwarding::caller_request request)
{
    auto const token = ++m_lastRequestToken;
    origin->setRequestToken(token);
    m_connectionsByRequest[token] = origin;
    m_requestsInFlight = m_connectionsByRequest.size();
    m_engine.handleRequest(token, std::move(request), now());
    armTimer();
}

void traffic_service::implementation::deliverAnswer(request_token token, forwarding::final_answer const& answer)
{
    auto const found = m_connectionsByRequest.find(token);
    if (found == m_connectionsByRequest.end())
        return;
    auto const origin = found->second;
    m_connectionsByRequest.erase(found);
    origin->sendAnswer(answer);
    m_requestsInFlight = m_connectionsByRequest.size();
}

}
