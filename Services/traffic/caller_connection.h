#pragma once

#include "Libraries/zinnialedge/forwarding/edge_protocol.h"
#include "Libraries/zinnialedge/forwarding/route.h"
#include "Libraries/zinnialedge/wire/request_framing.h"
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace zinnialedge::services::traffic {

class caller_connection;

struct caller_connection_hooks {
    forwarding::edge_protocol const* protocol { nullptr };
    std::function<forwarding::caller_limits()> limits;
    /// Called with each complete request. The hook must call setRequestToken() first and may call sendAnswer() before it returns.
    std::function<void(std::shared_ptr<caller_connection> const&, forwarding::caller_request)> requestReceived;
    /// Called when the connection closes while its request is in flight.
    std::function<void(forwarding::request_token)> callerDisconnected;
    std::function<void(caller_connection*)> connectionClosed;
    /// Returns true while this daemon is leaving; answers then ask the caller to close the connection.
    std::function<bool()> isLeaving;
    /// Called when a request is rejected before it reaches `requestReceived`, for example because it is malformed or too large.
    std::function<void(errors::error const&)> requestRejected;
};

/// Connection of a caller: reads a request, waits for the answer, writes the answer, and reads the next request.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    using socket = boost::asio::ip::tcp::socket;

    caller_connection(socket, caller_connection_hooks);

    void start();
    /// Assigns `token` to the most recently read request until the request is answered.
    void setRequestToken(forwarding::request_token token) { m_requestToken = token; }
    void sendAnswer(forwarding::final_answer const&);
    /// Closes the connection or rejects the request when the caller exceeds a time limit.
    void enforceTimeLimits(kernel::time_point now);
    /// Closes the connection if it has waited for a request for at least `minimumAge` and none has arrived.
    void closeIfIdle(kernel::duration minimumAge, kernel::time_point now);
    /// Returns whether a request is being read or has no complete answer yet.
    bool hasOpenRequest() const { return (!m_isClosed && m_phase == phase::reading) || isAnswering(); }
    /// Returns whether a request has been read and has no complete answer yet.
    bool isAnswering() const { return !m_isClosed && (m_phase == phase::answering || m_isWritePending); }

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    enum class phase {
        idle,
        reading,
        /// A complete request has been read; its answer is pending or being written.
        answering,
        /// The last answer has been sent. Further bytes from the caller are read and discarded, since closing a socket with unread bytes
        /// resets the connection.
        closing,
    };

    void readMore();
    void handleRead(boost::system::error_code, std::size_t bytes);
    void parseRequest();
    /// Returns whether the head of the request that is being parsed leaves no doubt where the request ends.
    bool isHeadSound() const;
    void dispatchRequest();
    void rejectRequest(errors::error_kind);
    void writeAnswer(std::string bytes, bool isLast);
    void finishAnswer(bool isLast);
    void close();

    socket m_socket;
    caller_connection_hooks m_hooks;
    static constexpr std::size_t readChunkBytes = 4096;
    /// Target of the pending read. Not the buffer of unparsed bytes, from which requests are consumed while a read is pending.
    std::array<char, readChunkBytes> m_readChunk {};
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    wire::folded_line_finder m_foldedLines;
    std::optional<forwarding::request_token> m_requestToken;
    phase m_phase { phase::idle };
    kernel::time_point m_phaseStartedAt;
    /// True once a request of this connection has been answered.
    bool m_hasAnswered { false };
    bool m_shouldKeepAlive { true };
    bool m_isHeadRequest { false };
    bool m_isReadPending { false };
    /// True while a part of an answer is still to be written.
    bool m_isWritePending { false };
    bool m_hasSentContinue { false };
    bool m_isHeadChecked { false };
    bool m_isClosed { false };
};

}
