#include "Services/traffic/caller_connection.h"

#include "Libraries/zinnialedge/forwarding/retry_after.h"
#include "Libraries/zinnialedge/wire/tcp_round_trip.h"
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace zinnialedge::services::traffic {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

/// Maximum number of pipelined bytes that are buffered while a request waits for its answer.
static constexpr std::size_t maximumPipelinedBytes = 16'384;
/// Time in which an answer may be written before its connection can be given up for another one.
static constexpr std::chrono::milliseconds minimumWriteTime { 1000 };
/// A buffer of at most this size is kept while the connection waits for its next request.
static constexpr std::size_t keptBufferBytes = 8192;
/// Requests up to this size are accepted although larger ones fill the memory of open requests.
static constexpr std::size_t smallRequestBytes = 4096;
/// Time allowed for the caller to close the connection after the last answer.
static constexpr std::chrono::milliseconds closingTimeout { 1000 };
/// Time limit for a complete request with a body, as a multiple of the header timeout.
static constexpr int bodyTimeoutFactor = 3;

caller_connection::caller_connection(socket accepted, caller_connection_hooks hooks)
    : m_socket(std::move(accepted))
    , m_hooks(std::move(hooks))
    , m_bufferCharge(m_hooks.buffers)
    , m_openRequestCharge(m_hooks.openRequests)
    , m_phaseStartedAt(std::chrono::steady_clock::now())
{
}

void caller_connection::start()
{
    readMore();
}

void caller_connection::readMore()
{
    if (m_isReadPending || m_isClosed)
        return;
    m_isReadPending = true;
    m_socket.async_read_some(asio::buffer(m_readChunk), [self = shared_from_this()](beast::error_code failure, std::size_t bytes) {
        self->m_isReadPending = false;
        self->handleRead(failure, bytes);
    });
}

void caller_connection::handleRead(beast::error_code failure, std::size_t bytes)
{
    if (m_isClosed)
        return;
    if (failure) {
        close();
        return;
    }
    m_buffer.commit(asio::buffer_copy(m_buffer.prepare(bytes), asio::buffer(m_readChunk, bytes)));
    switch (m_phase) {
    case phase::idle:
        m_phase = phase::reading;
        m_phaseStartedAt = std::chrono::steady_clock::now();
        [[fallthrough]];
    case phase::reading:
        parseRequest();
        break;
    case phase::answering:
        // Keeps reading, so that a closed connection is detected while a request waits for its answer.
        if (m_buffer.size() < maximumPipelinedBytes && !m_bufferCharge.isBudgetExceeded())
            readMore();
        break;
    case phase::closing:
        m_buffer.clear();
        readMore();
        break;
    }
    accountBuffers();
}

void caller_connection::accountBuffers()
{
    if (m_isClosed)
        return;
    auto const before = m_bufferCharge.bytes();
    m_bufferCharge.set(m_buffer.capacity() + (m_reader ? m_reader->heldBytes() : 0) + m_unwrittenAnswer.capacity());
    if (m_bufferCharge.bytes() > before && m_bufferCharge.isBudgetExceeded())
        m_hooks.buffersExceeded();
}

void caller_connection::dropBuffers()
{
    m_reader.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_bufferCharge.set(0);
}

void caller_connection::dropAnswer()
{
    // Assignment of an empty string would keep the memory.
    m_unwrittenAnswer.clear();
    m_unwrittenAnswer.shrink_to_fit();
}

bool caller_connection::releaseBuffers()
{
    if (m_isClosed)
        return false;
    if (m_isWritePending) {
        close();
        return true;
    }
    if (m_phase != phase::reading)
        return false;
    rejectRequest(errors::error_kind::overloaded, forwarding::atCapacityRetryAfter);
    return true;
}

void caller_connection::parseRequest()
{
    if (!m_reader) {
        m_reader.emplace(*m_hooks.protocol, m_hooks.limits());
        m_hasSentContinue = false;
    }
    switch (m_reader->read(m_buffer)) {
    case request_reader::status::failed:
        rejectRequest(m_reader->failure());
        return;
    case request_reader::status::complete:
        dispatchRequest();
        return;
    case request_reader::status::incomplete:
        break;
    }
    if (m_reader->expectsContinue() && !std::exchange(m_hasSentContinue, true)) {
        beast::error_code ignored;
        static constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
        m_socket.write_some(asio::buffer(continueResponse), ignored);
    }
    readMore();
}

void caller_connection::dispatchRequest()
{
    m_shouldKeepAlive = m_reader->shouldKeepAlive();
    auto request = m_reader->takeRequest();
    m_reader.reset();
    m_phase = phase::answering;
    m_phaseStartedAt = std::chrono::steady_clock::now();
    m_isHeadRequest = request.method == "HEAD";
    // The caller's timeout starts before the connection is open, so the first request includes the TCP handshake.
    if (auto const roundTrip = wire::roundTripTimeOf(m_socket))
        request.roundTripTime = m_hasAnswered ? *roundTrip : 2 * *roundTrip;
    if (request.host.empty()) {
        rejectRequest(errors::error_kind::malformed_request);
        return;
    }
    auto const bytes = memoryOf(request);
    if (bytes > smallRequestBytes && m_hooks.openRequests && !m_hooks.openRequests->hasRoom(bytes)) {
        rejectRequest(errors::error_kind::overloaded, forwarding::atCapacityRetryAfter);
        return;
    }
    m_openRequestCharge.set(bytes);
    m_hooks.requestReceived(shared_from_this(), std::move(request));
    if (m_phase == phase::answering && m_requestToken)
        readMore();
}

static std::string formatErrorBody(errors::error const& error)
{
    auto const& row = errors::propertiesOf(error.kind);
    boost::json::object body { { "error", row.name }, { "message", error.message }, { "ran", errors::toString(row.executionState) } };
    if (error.retryAfter)
        body["retry_after_ms"] = error.retryAfter->count();
    return boost::json::serialize(body);
}

static void appendStatusLine(std::string& bytes, int status)
{
    auto const phrase = http::obsolete_reason(static_cast<http::status>(status));
    bytes += "HTTP/1.1 " + std::to_string(status) + " " + std::string { phrase.empty() ? "Status" : phrase } + "\r\n";
}

void caller_connection::sendAnswer(forwarding::final_answer const& finalAnswer)
{
    m_requestToken.reset();
    m_openRequestCharge.set(0);
    if (m_isClosed)
        return;
    m_hasAnswered = true;
    bool const isLast = !m_shouldKeepAlive || m_hooks.isLeaving();
    std::string bytes;
    std::string const errorBody = finalAnswer.error ? formatErrorBody(*finalAnswer.error) : std::string {};
    auto const& body = finalAnswer.error ? errorBody : finalAnswer.body;
    bytes.reserve(512 + body.size());
    appendStatusLine(bytes, finalAnswer.status);
    for (auto const& each : finalAnswer.headers)
        bytes += each.name + ": " + each.value + "\r\n";
    if (finalAnswer.error)
        bytes += "Content-Type: application/json\r\n";
    m_hooks.protocol->writeAnswerHeaders(finalAnswer, bytes);
    bool const mayHaveBody = finalAnswer.status != static_cast<int>(http::status::no_content) && finalAnswer.status != static_cast<int>(http::status::not_modified);
    if (mayHaveBody)
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    bytes += isLast ? "Connection: close\r\n\r\n" : "\r\n";
    if (mayHaveBody && !m_isHeadRequest)
        bytes += body;
    writeAnswer(std::move(bytes), isLast);
}

void caller_connection::rejectRequest(errors::error_kind kind, std::optional<std::chrono::milliseconds> retryAfter)
{
    errors::error const error { kind, std::string { errors::propertiesOf(kind).description }, retryAfter };
    m_hooks.requestRejected(error);
    m_shouldKeepAlive = false;
    dropBuffers();
    forwarding::final_answer refusal;
    refusal.status = errors::propertiesOf(kind).httpStatus;
    refusal.error = error;
    sendAnswer(refusal);
}

void caller_connection::writeAnswer(std::string bytes, bool isLast)
{
    m_phase = isLast ? phase::closing : phase::answering;
    m_phaseStartedAt = std::chrono::steady_clock::now();
    beast::error_code failure;
    auto const written = m_socket.write_some(asio::buffer(bytes), failure);
    if (failure && failure != asio::error::would_block) {
        close();
        return;
    }
    if (written == bytes.size()) {
        finishAnswer(isLast);
        return;
    }
    m_unwrittenAnswer = std::move(bytes);
    m_isWritePending = true;
    asio::async_write(m_socket, asio::buffer(m_unwrittenAnswer) + written, [self = shared_from_this(), isLast](beast::error_code result, std::size_t) {
        self->m_isWritePending = false;
        self->dropAnswer();
        if (result)
            self->close();
        else
            self->finishAnswer(isLast);
    });
    accountBuffers();
}

void caller_connection::finishAnswer(bool isLast)
{
    if (m_isClosed)
        return;
    if (isLast) {
        m_phaseStartedAt = std::chrono::steady_clock::now();
        beast::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        readMore();
        return;
    }
    m_phase = phase::idle;
    m_phaseStartedAt = std::chrono::steady_clock::now();
    if (m_buffer.size() == 0 && m_buffer.capacity() > keptBufferBytes)
        m_buffer.shrink_to_fit();
    accountBuffers();
    if (m_buffer.size() == 0) {
        readMore();
        return;
    }
    // A pipelined request is parsed in a separate turn of the event loop, so that many pipelined requests do not recurse.
    m_phase = phase::reading;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_isClosed || self->m_phase != phase::reading)
            return;
        self->parseRequest();
        self->accountBuffers();
    });
}

void caller_connection::enforceTimeLimits(kernel::time_point now)
{
    auto const limits = m_hooks.limits();
    auto const age = now - m_phaseStartedAt;
    switch (m_phase) {
    case phase::idle:
        if (age > limits.idleTimeout)
            close();
        break;
    case phase::reading:
        if (age > limits.headerTimeout * (m_reader && m_reader->isHeadComplete() ? bodyTimeoutFactor : 1))
            rejectRequest(errors::error_kind::request_timeout);
        break;
    case phase::answering:
        // The caller does not read its answer.
        if (!m_requestToken && age > limits.idleTimeout)
            close();
        break;
    case phase::closing:
        // The last answer has the same time to be written as any other.
        if (age > (m_isWritePending ? limits.idleTimeout : closingTimeout))
            close();
        break;
    }
}

std::optional<expendable_state> caller_connection::expendability(kernel::time_point now) const
{
    auto const age = now - m_phaseStartedAt;
    switch (m_phase) {
    case phase::closing:
        if (!m_isWritePending)
            return expendable_state { expendable_state::rank::answered_last, age };
        [[fallthrough]];
    case phase::answering:
        if (m_isWritePending && age > minimumWriteTime)
            return expendable_state { expendable_state::rank::unread_answer, age };
        return std::nullopt;
    case phase::idle:
    case phase::reading:
        return expendable_state { m_hasAnswered ? expendable_state::rank::kept_open : expendable_state::rank::without_request, age };
    }
    return std::nullopt;
}

void caller_connection::closeIfIdle(kernel::duration minimumAge, kernel::time_point now)
{
    beast::error_code ignored;
    if (m_phase == phase::idle && now - m_phaseStartedAt >= minimumAge && m_socket.available(ignored) == 0)
        close();
}

void caller_connection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    if (m_requestToken)
        m_hooks.callerDisconnected(*m_requestToken);
    m_requestToken.reset();
    m_openRequestCharge.set(0);
    dropBuffers();
    beast::error_code ignored;
    m_socket.close(ignored);
    // Nothing reads the bytes any more, and the completion of the write may have to wait while other answers need the memory.
    dropAnswer();
    m_hooks.connectionClosed(this);
}

}
