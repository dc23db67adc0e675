// Calls to leafs and to other daemons, and the timers of the service.

#include "Services/traffic/traffic_implementation.h"

namespace zinnialedge::services::traffic {

namespace asio = boost::asio;

/// Interval between checks of the connections' time limits.
static constexpr std::chrono::milliseconds sweepInterval { 200 };
/// A body up to this size is copied, since one buffer is written faster than two.
static constexpr std::size_t maximumCopiedBodyBytes = 16'384;
/// A status reply has a few hundred bytes.
static constexpr std::size_t maximumProbeReplyBytes = 65'536;

void traffic_service::implementation::sendCall(forwarding::leaf_call const& call)
{
    auto const at = now();
    serialized_call message { call.number, call.request->attemptId, call.request->method == "HEAD", call.isRepeatable, {} };
    if (call.isProbe)
        message.replyLimit = maximumProbeReplyBytes;
    auto& bytes = message.bytes;
    bytes.reserve(512);
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
    // A large body is shared by the calls of all shards.
    if (call.request->body.size() <= maximumCopiedBodyBytes)
        bytes += call.request->body;
    else
        message.request = call.request;
    if (call.isProbe)
        m_leafConnections.sendOverNewConnection(call.leaf, call.endpoint, std::move(message));
    else if (isToDaemon)
        m_relayConnections.send(relayPoolKey(call.endpoint), call.endpoint, std::move(message), at);
    else
        m_leafConnections.send(call.leaf, call.endpoint, std::move(message), at);
}

std::uint32_t traffic_service::implementation::relayPoolKey(model::endpoint const& endpoint)
{
    return m_relayPoolKeys.try_emplace(endpoint, static_cast<std::uint32_t>(m_relayPoolKeys.size())).first->second;
}

void traffic_service::implementation::endCall(forwarding::call_number number, forwarding::call_result result)
{
    m_engine.handleCallEnd(number, std::move(result), now());
    armTimer();
}

void traffic_service::implementation::armTimer()
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

void traffic_service::implementation::scheduleSweep()
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

}
