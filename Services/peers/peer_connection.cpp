#include "Services/peers/peer_connection.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace zinnialedge::services::peers {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// Greatest number of bytes that are read of a message at a time.
static constexpr std::size_t readChunkBytes = 65'536;

peer_connection::peer_connection(tcp::socket socket, peer_connection_hooks hooks)
    : m_socket(std::move(socket))
    , m_hooks(std::move(hooks))
    , m_incompleteMessageCharge(m_hooks.incompleteMessages)
{
}

void peer_connection::connect(model::endpoint const& endpoint)
{
    error_code failure;
    auto const address = asio::ip::make_address(endpoint.address, failure);
    m_socket.async_connect(tcp::endpoint { address, endpoint.port }, [self = shared_from_this()](error_code result) {
        if (result) {
            self->close();
            return;
        }
        self->startReading();
        self->writeNext();
    });
}

void peer_connection::startReading()
{
    error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_isOpen = true;
    readLength();
}

void peer_connection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    error_code ignored;
    m_socket.close(ignored);
    m_incompleteMessageCharge.set(0);
    m_bodyBuffer.clear();
    m_bodyBuffer.shrink_to_fit();
    m_hooks.connectionClosed();
}

void peer_connection::send(wire::peer_message const& message)
{
    if (m_isClosed)
        return;
    m_sendQueue.push_back(wire::encodePeerMessage(message));
    writeNext();
}

void peer_connection::writeNext()
{
    if (!m_isOpen || m_isWriting || m_sendQueue.empty())
        return;
    m_isWriting = true;
    asio::async_write(m_socket, asio::buffer(m_sendQueue.front()), [self = shared_from_this()](error_code failure, std::size_t) {
        self->m_isWriting = false;
        self->m_sendQueue.pop_front();
        if (failure)
            self->close();
        else
            self->writeNext();
    });
}

void peer_connection::readLength()
{
    asio::async_read(m_socket, asio::buffer(m_lengthBuffer), [self = shared_from_this()](error_code failure, std::size_t) {
        auto const length = failure ? 0 : wire::decodePeerMessageLength({ self->m_lengthBuffer.data(), self->m_lengthBuffer.size() });
        if (failure || length > wire::maximumPeerMessageBytes)
            self->close();
        else
            self->readBody(length);
    });
}

void peer_connection::readBody(std::size_t length)
{
    auto const receivedBytes = m_bodyBuffer.size();
    if (receivedBytes == length) {
        handleBody();
        return;
    }
    m_bodyBuffer.resize(receivedBytes + std::min(length - receivedBytes, readChunkBytes));
    m_incompleteMessageCharge.set(m_bodyBuffer.capacity());
    if (m_incompleteMessageCharge.isBudgetExceeded() && m_hooks.memoryExceeded)
        m_hooks.memoryExceeded();
    if (m_isClosed)
        return;
    asio::async_read(m_socket, asio::buffer(m_bodyBuffer) + receivedBytes, [self = shared_from_this(), length](error_code failure, std::size_t) {
        if (failure || self->m_isClosed)
            self->close();
        else
            self->readBody(length);
    });
}

void peer_connection::handleBody()
{
    auto message = wire::decodePeerMessage(m_bodyBuffer);
    m_bodyBuffer.clear();
    m_bodyBuffer.shrink_to_fit();
    m_incompleteMessageCharge.set(0);
    m_idleSince = std::chrono::steady_clock::now();
    if (!message) {
        close();
        return;
    }
    m_hooks.messageReceived(std::move(*message));
    readLength();
}

}
