#pragma once

#include "Libraries/zinnialedge/limits/memory_budget.h"
#include "Libraries/zinnialedge/model/endpoint.h"
#include "Libraries/zinnialedge/wire/peer_codec.h"
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>

namespace zinnialedge::services::peers {

struct peer_connection_hooks {
    std::function<void(wire::peer_message)> messageReceived;
    /// Called once, when the connection is closed.
    std::function<void()> connectionClosed;
    /// Memory of the incomplete messages of several connections; may be null.
    std::shared_ptr<limits::memory_budget> incompleteMessages {};
    /// Called when `incompleteMessages` has been exceeded. The hook may close connections, this one included. May be empty.
    std::function<void()> memoryExceeded {};
};

/// TCP connection to another daemon that carries messages in both directions.
class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
    peer_connection(boost::asio::ip::tcp::socket, peer_connection_hooks);

    /// Opens the connection; messages sent before the connection is open are queued.
    void connect(model::endpoint const&);
    /// Starts reading from an open connection.
    void startReading();
    void send(wire::peer_message const&);
    void close();
    /// Returns the time at which the last message was complete, or the connection was opened.
    std::chrono::steady_clock::time_point idleSince() const { return m_idleSince; }
    /// Returns the memory of the incomplete message, in bytes.
    std::size_t incompleteBytes() const { return m_incompleteMessageCharge.bytes(); }

private:
    void readLength();
    /// Reads the rest of a message. Its memory grows with the bytes that have come, not with its announced length.
    void readBody(std::size_t length);
    void handleBody();
    void writeNext();

    boost::asio::ip::tcp::socket m_socket;
    peer_connection_hooks m_hooks;
    std::array<char, wire::peerLengthPrefixBytes> m_lengthBuffer {};
    std::string m_bodyBuffer;
    limits::memory_charge m_incompleteMessageCharge;
    std::chrono::steady_clock::time_point m_idleSince { std::chrono::steady_clock::now() };
    std::deque<std::string> m_sendQueue;
    bool m_isOpen { false };
    bool m_isClosed { false };
    bool m_isWriting { false };
};

}
