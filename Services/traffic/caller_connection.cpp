#include "Services/traffic/caller_connection.h"

#include "Libraries/zinnialedge/wire/beast_framing.h"
#include "Libraries/zinnialedge/wire/tcp_round_trip.h"
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace zinnialedge::services::traffic {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

/// Maximum number of pipelined bytes that are buffered while a request waits for its answer.
static constexpr std::size_t maximumPipelinedBytes = 65'536;
/// Time allowed for the caller to close the connection after the last answer.
static constexpr std::chrono::milliseconds closingTimeout { 1000 };
/// Time limit for a complete request with a body, as a multiple of the header timeout.
static constexpr int bodyTimeoutFactor = 3;

caller_connection::caller_connection(socket accepted, caller_connection_hooks hooks)
    : m_socket(std::move(accepted))
    , m_hooks(std::move(hooks))
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
        if (m_buffer.size() < maximumPipelinedBytes)
            readMore();
        break;
    case phase::closing:
        m_buffer.clear();
        readMore();
        break;
    }
}

void caller_connection::parseRequest()
{
    if (!m_parser) {
        auto const limits = m_hooks.limits();
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        m_parser->body_limit(limits.bodyBytes);
        m_hasSentContinue = false;
        m_foldedLines = {};
        m_isHeadChecked = false;
    }
    while (!m_parser->is_done() && m_buffer.size() > 0) {
        beast::error_code failure;
        auto const consumed = m_parser->put(m_buffer.data(), failure);
        m_foldedLines.add({ static_cast<char const*>(m_buffer.data().data()), consumed });
        m_buffer.consume(consumed);
        if (failure == http::error::need_more)
            break;
        if (failure == http::error::body_limit || failure == http::error::header_limit) {
            rejectRequest(failure == http::error::body_limit ? errors::error_kind::request_too_large : errors::error_kind::headers_too_large);
            return;
        }
        if (failure) {
            rejectRequest(errors::error_kind::malformed_request);
            return;
        }
        if (consumed == 0)
            break;
    }
    if (m_parser->is_header_done() && !std::exchange(m_isHeadChecked, true) && !isHeadSound()) {
        rejectRequest(errors::error_kind::malformed_request);
        return;
    }
    if (m_parser->is_done()) {
        dispatchRequest();
        return;
    }
    if (m_parser->is_header_done() && !m_hasSentContinue && beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        m_hasSentContinue = true;
        beast::error_code ignored;
        static constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
        m_socket.write_some(asio::buffer(continueResponse), ignored);
    }
    readMore();
}

bool caller_connection::isHeadSound() const
{
    return !m_foldedLines.hasFound() && wire::isFramingCertain(m_parser->get());
}

/// Returns true for a header that the request's Connection header lists: such a header applies to this connection only.
static bool isNamedByConnection(beast::string_view connection, beast::string_view name)
{
    return !connection.empty() && http::token_list { connection }.exists(name);
}

void caller_connection::dispatchRequest()
{
    m_shouldKeepAlive = m_parser->keep_alive();
    auto message = m_parser->release();
    m_parser.reset();
    m_phase = phase::answering;
    m_phaseStartedAt = std::chrono::steady_clock::now();
    m_isHeadRequest = message.method() == http::verb::head;
    forwarding::caller_request request;
    request.method = std::string { message.method_string() };
    request.target = std::string { message.target() };
    auto const connection = message[http::field::connection];
    for (auto const& field : message) {
        std::string_view const name { field.name_string().data(), field.name_string().size() };
        std::string_view const value { field.value().data(), field.value().size() };
        if (field.name() == http::field::host)
            request.host = std::string { value.substr(0, value.find(':')) };
        if (forwarding::isHopByHopHeader(name) || isNamedByConnection(connection, field.name_string()))
            continue;
        if (m_hooks.protocol->parseRequestHeader(name, value, request))
            request.headers.push_back({ std::string { name }, std::string { value } });
    }
    request.body = std::move(message.body());
    // The caller's timeout starts before the connection is open, so the first request includes the TCP handshake.
    if (auto const roundTrip = wire::roundTripTimeOf(m_socket))
        request.roundTripTime = m_hasAnswered ? *roundTrip : 2 * *roundTrip;
    if (request.host.empty()) {
        rejectRequest(errors::error_kind::malformed_request);
        return;
    }
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

void caller_connection::rejectRequest(errors::error_kind kind)
{
    errors::error const error { kind, std::string { errors::propertiesOf(kind).description }, std::nullopt };
    m_hooks.requestRejected(error);
    m_shouldKeepAlive = false;
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
    auto const remainder = std::make_shared<std::string>(bytes.substr(written));
    m_isWritePending = true;
    asio::async_write(m_socket, asio::buffer(*remainder), [self = shared_from_this(), remainder, isLast](beast::error_code result, std::size_t) {
        self->m_isWritePending = false;
        if (result)
            self->close();
        else
            self->finishAnswer(isLast);
    });
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
    if (m_buffer.size() == 0) {
        readMore();
        return;
    }
    // A pipelined request is parsed in a separate turn of the event loop, so that many pipelined requests do not recurse.
    m_phase = phase::reading;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_isClosed && self->m_phase == phase::reading)
            self->parseRequest();
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
        if (age > limits.headerTimeout * (m_parser && m_parser->is_header_done() ? bodyTimeoutFactor : 1))
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
    beast::error_code ignored;
    m_socket.close(ignored);
    m_hooks.connectionClosed(this);
}

}
