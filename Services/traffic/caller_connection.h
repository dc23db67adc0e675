#pragma once

#include "Libraries/zinnialedge/limits/memory_budget.h"
#include "Services/traffic/request_reader.h"
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
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
    /// Memory of the incomplete requests and unread answers of all connections.
    std::shared_ptr<limits::memory_budget> buffers;
    /// Memory of the requests of all connections that wait for their answers.
    std::shared_ptr<limits::memory_budget> openRequests;
    /// Called when `buffers` has been exceeded. The hook may call releaseBuffers() of any connection.
    std::function<void()> buffersExceeded;
};

/// How well a connection can be given up; the greatest first.
struct expendable_state {
    enum class rank {
        unread_answer,
        kept_open,
        /// No request of the connection has been answered.
        without_request,
        answered_last,
    };

    rank of { rank::kept_open };
    /// Time since the connection has been in its state.
    kernel::duration age {};

    auto operator<=>(expendable_state const&) const = default;
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
    /// Gives up an incomplete request or an answer that is not read. Returns false when the connection has neither.
    bool releaseBuffers();
    /// Returns how well the connection can be given up for a new one, or nothing while a leaf works for it.
    std::optional<expendable_state> expendability(kernel::time_point now) const;
    bool isOf(forwarding::edge_protocol const& protocol) const { return m_hooks.protocol == &protocol; }
    /// Returns the time since the connection has waited, read or written.
    kernel::duration phaseAge(kernel::time_point now) const { return now - m_phaseStartedAt; }
    void close();
    /// Returns the memory of the incomplete request or of the answer that is being written, in bytes.
    std::size_t bufferedBytes() const { return m_bufferCharge.bytes(); }
    /// Closes the connection if it has waited for a request for at least `minimumAge` and none has arrived.
    void closeIfIdle(kernel::duration minimumAge, kernel::time_point now);
    /// Returns whether a request is being read or has no complete answer yet.
    bool hasOpenRequest() const { return (!m_isClosed && m_phase == phase::reading) || isAnswering(); }
    /// Returns whether a request has been read and has no complete answer yet.
    bool isAnswering() const { return !m_isClosed && (m_phase == phase::answering || m_isWritePending); }

private:
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
    void dispatchRequest();
    void rejectRequest(errors::error_kind, std::optional<std::chrono::milliseconds> retryAfter = {});
    void accountBuffers();
    /// Drops the request that is being read, and the bytes behind it.
    void dropBuffers();
    void dropAnswer();
    void writeAnswer(std::string bytes, bool isLast);
    void finishAnswer(bool isLast);

    socket m_socket;
    caller_connection_hooks m_hooks;
    static constexpr std::size_t readChunkBytes = 4096;
    /// Target of the pending read. Not the buffer of unparsed bytes, from which requests are consumed while a read is pending.
    std::array<char, readChunkBytes> m_readChunk {};
    boost::beast::flat_buffer m_buffer;
    std::optional<request_reader> m_reader;
    limits::memory_charge m_bufferCharge;
    limits::memory_charge m_openRequestCharge;
    /// Answer that is being written.
    std::string m_unwrittenAnswer;
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
    bool m_isClosed { false };
};

}
