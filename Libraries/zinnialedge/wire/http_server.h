#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/wire/http_message.h"
#include <chrono>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace zinnialedge::wire {

/// Sends the response to a request. Must be called once, on the thread of the event loop. The connection may already be
/// closed by then.
using http_responder = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, http_responder)>;

struct http_server_options {
    std::size_t bodyBytes { 1 << 20 };
    /// Number of connections above which one without a request is closed for each new one. A new one is closed at once when all have requests.
    std::size_t connections { 4096 };
    /// Memory of all incomplete requests and unwritten responses together, above which the oldest large ones are given up.
    std::size_t memoryBytes { 32U << 20U };
    /// Time limit for receiving a complete request, counted from its first bytes, and for sending the response.
    std::chrono::milliseconds readTimeout { 10'000 };
    /// Time limit for a connection without a request.
    std::chrono::milliseconds idleTimeout { 300'000 };
    /// Delay between accepting a connection and reading its first request. Stand-ins use this delay to simulate the cost of
    /// opening a connection.
    std::chrono::microseconds firstReadDelay { 0 };
    /// Called for each accepted connection. When the callback returns false, the connection is closed immediately.
    std::function<bool()> shouldAcceptConnection;
    /// Called with the request number when the client closes the connection before the response is sent. The handler
    /// may produce the response at the same time.
    std::function<void(std::uint64_t)> abandoned;
    /// Returns the response body for an error that the server itself detects.
    std::function<std::string(errors::error const&)> formatErrorBody;
};

/// An HTTP/1.1 server that runs on one event loop.
class http_server {
public:
    static errors::error_or<std::unique_ptr<http_server>> listen(boost::asio::io_context&, model::endpoint const&, http_server_options, http_handler);
    ~http_server();

    /// Returns the port that the server listens on, also when port 0 was requested.
    std::uint16_t port() const;
    std::size_t connectionCount() const;
    /// Returns the number of connections with a request whose response has not been written completely.
    std::size_t unansweredCount() const;
    /// Stops accepting connections. Open connections are kept.
    void stopAccepting();
    /// Closes every open connection immediately.
    void cutConnections();

    class implementation;

private:
    explicit http_server(std::shared_ptr<implementation>);
    std::shared_ptr<implementation> m_implementation;
};

}
