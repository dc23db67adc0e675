#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/forwarding/edge_protocol.h"
#include "Libraries/zinnialedge/limits/memory_budget.h"
#include <array>
#include <boost/asio/buffer.hpp>
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
struct serialized_call {
    forwarding::call_number number { 0 };
    std::string attemptId;
    bool isHead { false };
    bool isRepeatable { false };
    /// Head of the call, which may also hold its body.
    std::string bytes;
    /// Owner of the call's body; may be empty.
    std::shared_ptr<forwarding::caller_request const> request {};
    /// Maximum number of bytes received for the call, interim replies and the framing of the body included.
    std::size_t replyLimit { maximumReplyBytes };

    using buffer_list = std::array<boost::asio::const_buffer, 2>;

    buffer_list buffers() const { return { boost::asio::buffer(bytes), request ? boost::asio::buffer(request->body) : boost::asio::const_buffer {} }; }
    /// Gives up the bytes when they have been written.
    void dropBytes()
    {
        bytes.clear();
        bytes.shrink_to_fit();
        request.reset();
    }

    /// Valid replies have tens of kilobytes.
    static constexpr std::size_t maximumReplyBytes { 8U << 20U };
};

/// Reason for which a connection was not opened.
enum class connect_failure {
    refused,
    reset,
    timed_out,
    other,
};

std::string_view toString(connect_failure);

struct leaf_connection_hooks {
    forwarding::edge_protocol const* protocol { nullptr };
    /// Memory of the unfinished replies of all connections.
    std::shared_ptr<limits::memory_budget> unfinishedReplies;
    /// Called when a call has ended, but never from within connectAndSend() or send().
    std::function<void(forwarding::call_number, forwarding::call_result)> handleCallEnd;
    /// Returns whether a call that waited for the connection to open may still be sent; empty when every call may.
    std::function<bool(forwarding::call_number)> isCallWanted;
    /// Called with a reply that answers no open call. May be empty.
    std::function<void(forwarding::leaf_reply const&)> handleUnmatchedReply;
    /// Called when the connection has opened, before its call is sent. May be empty.
    std::function<void(forwarding::call_number)> callConnected;
    /// Called when the connection could not be opened. May be empty.
    std::function<void(connect_failure)> connectFailed;
    /// Called when the connection can carry another call.
    std::function<void()> becameIdle;
    std::function<void()> connectionClosed;
};

/// Connection to a leaf that carries at most one call at a time.
class leaf_connection : public std::enable_shared_from_this<leaf_connection> {
public:
    leaf_connection(boost::asio::io_context&, leaf_connection_hooks);

    /// Opens the connection from the local address `source`, which may be empty, and sends the call.
    void connectAndSend(model::endpoint const&, std::string const& source, serialized_call);
    /// Sends a call over the open, idle connection.
    void send(serialized_call);
    /// Closes the connection and fails its call, if any.
    void abort(forwarding::call_failure);
    /// Fails the call as timed out if the leaf's machine has not confirmed all of its bytes.
    void abortIfUndelivered();
    /// Closes a connection that has not opened, and fails its call as not sent.
    void abandonConnect(connect_failure);

    bool isIdle() const { return m_isConnected && !m_call; }
    /// Returns true when the leaf is not expected to close the idle connection before a new call reaches the leaf.
    bool isLikelyOpen(kernel::time_point now, bool isRepeatable) const;
    kernel::time_point connectStartedAt() const { return m_connectStartedAt; }
    bool isConnecting() const { return !m_isConnected; }

private:
    using executor = boost::asio::io_context::executor_type;
    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    boost::system::error_code bindTo(std::string const& source);
    void writeCall();
    void writeRemainder(std::size_t written);
    void readMore();
    void handleRead(boost::system::error_code, std::size_t bytes);
    void parseReplies();
    void finishReply();
    /// Updates the memory of unfinished replies. Returns false when the reply or the framing of its body is larger than it may be, alone
    /// or with the other unfinished replies.
    bool accountReplyBytes();
    /// Reports the reply in the received bytes of a connection without a call, if there is one.
    void reportUnexpectedReply();
    forwarding::leaf_reply extractReply();
    void endCall(forwarding::call_result);
    void close();

    boost::asio::io_context& m_context;
    leaf_connection_hooks m_hooks;
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, executor> m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    std::optional<serialized_call> m_call;
    kernel::time_point m_connectStartedAt;
    kernel::time_point m_idleSince;
    kernel::duration m_idleTimeout;
    /// Number of calls that the connection has carried, the open one included.
    std::size_t m_callCount { 0 };
    unsigned m_discardedReplyCount { 0 };
    /// Number of bytes received since the call was sent.
    std::size_t m_receivedBytes { 0 };
    limits::memory_charge m_unfinishedReplyCharge;
    bool m_isConnected { false };
    bool m_isClosed { false };
    bool m_isWritePending { false };
};

}
