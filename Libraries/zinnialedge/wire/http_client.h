#pragma once

#include "Libraries/zinnialedge/limits/memory_budget.h"
#include "Libraries/zinnialedge/wire/http_message.h"
#include <chrono>
#include <functional>
#include <memory>
#include <tl/expected.hpp>

namespace boost::asio {
class io_context;
}

namespace zinnialedge::wire {

/// Describes why a request got no response.
struct http_failure {
    /// True when part of the request may have been sent, so that the server may have received it.
    bool mayHaveBeenSent { false };
    std::string reason;
    /// True when the connection ended, rather than the time or the validity of the response.
    bool isConnectionLost { false };
};

using http_result = tl::expected<http_response, http_failure>;

/// One client connection with at most one request in flight. Must be used only on the thread of its event loop.
class http_client {
public:
    /// `maximumResponseBytes` limits what is received for one response, the framing of the body included. While the clients of one
    /// `unfinishedResponses` exceed it together, large responses fail.
    http_client(boost::asio::io_context&, model::endpoint, std::size_t maximumResponseBytes = defaultMaximumResponseBytes, std::shared_ptr<limits::memory_budget> unfinishedResponses = {});
    ~http_client();

    /// Opens the connection. The callback receives true on success.
    void connect(std::chrono::milliseconds timeout, std::function<void(bool)>);
    /// Sends a request over the open connection. A failure closes the connection.
    void send(http_request const&, std::chrono::milliseconds timeout, std::function<void(http_result)>);
    /// Sends a request, and opens the connection first when it is not open.
    void connectAndSend(http_request, std::chrono::milliseconds timeout, std::function<void(http_result)>);
    bool isOpen() const;
    /// Returns true when the connection is open, idle and has not been closed by the server. Must not be called while a
    /// request is in flight.
    bool isUsable();
    void close();

    static constexpr std::size_t defaultMaximumResponseBytes { 16U << 20U };

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

}
