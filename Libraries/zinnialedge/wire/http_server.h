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

/// Sends the answer; call it once, on the event loop's thread. The connection may be gone by then.
using http_responder = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, http_responder)>;

struct http_server_limits {
    std::size_t bodyBytes { 1 << 20 };
    std::size_t connections { 4096 };
    /// How long a connection may take to deliver one whole request once it has begun to.
    std::chrono::milliseconds readTimeout { 10'000 };
    /// How long a connection may stay open with no request.
    std::chrono::milliseconds idleTimeout { 300'000 };
    /// How long a new connection waits before its first request is read.
    std::chrono::microseconds openingDelay { 0 };
    /// Called when a connection is opened; false closes it at once.
    std::function<bool()> admitConnection;
    /// Called with the number of a request whose client closed the connection before the answer. It may cross the answer.
    std::function<void(std::uint64_t)> abandoned;
    /// Writes the body of an error that the server itself answers.
    std::function<std::string(errors::error const&)> describeError;
};

/// An HTTP/1.1 server on one event loop.
class http_server {
public:
    static errors::error_or<std::unique_ptr<http_server>> listen(boost::asio::io_context&, model::endpoint const&, http_server_limits, http_handler);
    ~http_server();

    /// The port it listens on, also when the settings said 0.
    std::uint16_t port() const;
    std::size_t connectionCount() const;
    /// Stops accepting connections; open ones go on.
    void stopAccepting();
    /// Cuts every open connection.
    void cutConnections();

    class implementation;

private:
    explicit http_server(std::shared_ptr<implementation>);
    std::shared_ptr<implementation> m_implementation;
};

}
