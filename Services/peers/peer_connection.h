#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include "Libraries/zinnialedge/wire/peer_codec.h"
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>

namespace zinnialedge::services::peers {

struct peer_connection_hooks {
    std::function<void(wire::peer_message)> messageReceived;
    /// Called once, when the connection is closed.
    std::function<void()> connectionClosed;
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

private:
    void readLength();
    void readBody(std::size_t length);
    void writeNext();

    boost::asio::ip::tcp::socket m_socket;
    peer_connection_hooks m_hooks;
    std::array<char, wire::peerLengthPrefixBytes> m_lengthBuffer {};
    std::string m_bodyBuffer;
    std::deque<std::string> m_sendQueue;
    bool m_isOpen { false };
    bool m_isClosed { false };
    bool m_isWriting { false };
};

}
