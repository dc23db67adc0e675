#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/forwarding/edge_protocol.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace zinnialedge::services::traffic {

/// Serialized call that is ready to be sent over a connection.
struct call_message {
    forwarding::call_number number { 0 };
    std::string attemptId;
    bool isHead { false };
    bool isRepeatable { false };
    std::string bytes;
};

struct leaf_connection_hooks {
    forwarding::edge_protocol const* protocol { nullptr };
    /// Called when a call has ended, but never from within connect() or send().
    std::function<void(forwarding::call_number, forwarding::call_result)> callEnded;
    /// Called when the connection can carry another call.
    std::function<void()> becameIdle;
    std::function<void()> closed;
};

/// Connection to a leaf that carries at most one call at a time.
class leaf_connection : public std::enable_shared_from_this<leaf_connection> {
public:
    leaf_connection(boost::asio::io_context&, leaf_connection_hooks);

    /// Opens the connection and sends the call.
    void connect(model::endpoint const&, call_message);
    /// Sends a call over the open, idle connection.
    void send(call_message);
    /// Closes the connection and fails its call, if any.
    void cut(forwarding::call_failure);

    bool isIdle() const { return m_isOpen && !m_call; }
    /// Returns true when the leaf is not expected to close the idle connection before a new call reaches the leaf.
    bool isFresh(kernel::time_point now, bool isRepeatable) const;
    kernel::time_point connectsSince() const { return m_connectsSince; }
    bool isConnecting() const { return !m_isOpen; }

private:
    using executor = boost::asio::io_context::executor_type;
    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void transmit();
    void writeRest(std::size_t written);
    void read();
    void handleRead(boost::system::error_code, std::size_t bytes);
    void parse();
    void finishReply();
    forwarding::leaf_reply takeReply();
    void endCall(forwarding::call_result);
    void close();

    boost::asio::io_context& m_context;
    leaf_connection_hooks m_hooks;
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, executor> m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    std::optional<call_message> m_call;
    kernel::time_point m_connectsSince;
    kernel::time_point m_idleSince;
    kernel::duration m_idleLimit;
    unsigned m_skippedReplies { 0 };
    bool m_isOpen { false };
    bool m_isClosed { false };
    bool m_isWriting { false };
};

}
