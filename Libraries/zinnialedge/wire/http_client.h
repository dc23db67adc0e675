#pragma once

#include "Libraries/zinnialedge/wire/http_message.h"
#include <chrono>
#include <functional>
#include <memory>
#include <tl/expected.hpp>

namespace boost::asio {
class io_context;
}

namespace zinnialedge::wire {

/// Why a request got no answer.
struct http_failure {
    /// True once a byte of the request may have left this process.
    bool mayHaveBeenSent { false };
    std::string reason;
};

using http_result = tl::expected<http_response, http_failure>;

/// One client connection, with at most one request in flight. Lives on one event loop.
class http_client {
public:
    http_client(boost::asio::io_context&, model::endpoint);
    ~http_client();

    /// Opens the connection; the callback says whether it is open.
    void connect(std::chrono::milliseconds timeout, std::function<void(bool)>);
    /// Sends a request over the open connection. After a failure the connection is closed.
    void send(http_request const&, std::chrono::milliseconds timeout, std::function<void(http_result)>);
    /// Connects if need be, then sends.
    void connectAndSend(http_request, std::chrono::milliseconds timeout, std::function<void(http_result)>);
    bool isOpen() const;
    /// Open, idle, and not closed by the other side meanwhile. Call it only between requests.
    bool isUsable();
    void close();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

}
