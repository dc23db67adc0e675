#include "Services/traffic/caller_connection.h"

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

static constexpr std::size_t readBytes = 4096;
/// Maximum number of pipelined bytes that are buffered while a request waits for its answer.
static constexpr std::size_t pipelinedBytes = 65'536;
/// Time allowed for the caller to close the connection after the last answer.
static constexpr std::chrono::milliseconds closingTimeout { 1000 };
/// Time limit for a complete request with a body, as a multiple of the header timeout.
static constexpr int bodyTimeouts = 3;

caller_connection::caller_connection(socket taken, caller_connection_hooks hooks)
    : m_socket(std::move(taken))
    , m_hooks(std::move(hooks))
    , m_phaseSince(std::chrono::steady_clock::now())
{
}

void caller_connection::start()
{
    read();
}

void caller_connection::read()
{
    if (m_isReading || m_isClosed)
        return;
    m_isReading = true;
    m_socket.async_read_some(m_buffer.prepare(readBytes), [self = shared_from_this()](beast::error_code failure, std::size_t bytes) {
        self->m_isReading = false;
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
    m_buffer.commit(bytes);
    switch (m_phase) {
    case phase::idle:
        m_phase = phase::reading;
        m_phaseSince = std::chrono::steady_clock::now();
        [[fallthrough]];
    case phase::reading:
        parse();
        break;
    case phase::answering:
        // Keeps reading, so that a closed connection is detected while a request waits for its answer.
        if (m_buffer.size() < pipelinedBytes)
            read();
        break;
    case phase::closing:
        m_buffer.clear();
        read();
        break;
    }
}

void caller_connection::parse()
{
    if (!m_parser) {
        auto const limits = m_hooks.limits();
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        m_parser->body_limit(limits.bodyBytes);
        m_hasContinued = false;
    }
    while (!m_parser->is_done() && m_buffer.size() > 0) {
        beast::error_code failure;
        auto const used = m_parser->put(m_buffer.data(), failure);
        m_buffer.consume(used);
        if (failure == http::error::need_more)
            break;
        if (failure == http::error::body_limit || failure == http::error::header_limit) {
            refuse(failure == http::error::body_limit ? errors::error_kind::request_too_large : errors::error_kind::headers_too_large);
            return;
        }
        if (failure) {
            refuse(errors::error_kind::malformed_request);
            return;
        }
        if (used == 0)
            break;
    }
    if (m_parser->is_done()) {
        dispatch();
        return;
    }
    if (m_parser->is_header_done() && !m_hasContinued && beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        m_hasContinued = true;
        beast::error_code ignored;
        static constexpr std::string_view goOn = "HTTP/1.1 100 Continue\r\n\r\n";
        m_socket.write_some(asio::buffer(goOn), ignored);
    }
    read();
}

/// Returns true for a header that the request's Connection header lists: such a header applies to this connection only.
static bool isNamedByConnection(beast::string_view connection, beast::string_view name)
{
    return !connection.empty() && http::token_list { connection }.exists(name);
}

void caller_connection::dispatch()
{
    m_isKeptAlive = m_parser->keep_alive();
    auto message = m_parser->release();
    m_parser.reset();
    m_phase = phase::answering;
    m_phaseSince = std::chrono::steady_clock::now();
    m_isHead = message.method() == http::verb::head;
    forwarding::caller_request request;
    request.method = std::string { message.method_string() };
    request.target = std::string { message.target() };
    auto const connection = message[http::field::connection];
    for (auto const& field : message) {
        std::string_view const name { field.name_string().data(), field.name_string().size() };
        std::string_view const value { field.value().data(), field.value().size() };
        if (field.name() == http::field::host)
            request.host = std::string { value.substr(0, value.find(':')) };
        if (forwarding::isConnectionHeader(name) || isNamedByConnection(connection, field.name_string()))
            continue;
        if (m_hooks.protocol->takeRequestHeader(name, value, request))
            request.headers.push_back({ std::string { name }, std::string { value } });
    }
    request.body = std::move(message.body());
    // The caller's timeout starts before the connection is open, so the first request includes the TCP handshake.
    if (auto const roundTrip = wire::roundTripOf(m_socket))
        request.transit = m_hasAnswered ? *roundTrip : 2 * *roundTrip;
    if (request.host.empty()) {
        refuse(errors::error_kind::malformed_request);
        return;
    }
    m_hooks.arrived(shared_from_this(), std::move(request));
    if (m_phase == phase::answering && m_token)
        read();
}

static std::string describe(errors::error const& error)
{
    auto const& row = errors::answerFor(error.kind);
    boost::json::object body { { "error", row.name }, { "message", error.message }, { "ran", errors::toString(row.ran) } };
    if (error.retryAfter)
        body["retry_after_ms"] = error.retryAfter->count();
    return boost::json::serialize(body);
}

static void appendStart(std::string& bytes, int status)
{
    auto const phrase = http::obsolete_reason(static_cast<http::status>(status));
    bytes += "HTTP/1.1 " + std::to_string(status) + " " + std::string { phrase.empty() ? "Status" : phrase } + "\r\n";
}

void caller_connection::answer(forwarding::final_answer const& given)
{
    m_token.reset();
    if (m_isClosed)
        return;
    m_hasAnswered = true;
    bool const isLast = !m_isKeptAlive || m_hooks.isLeaving();
    std::string bytes;
    std::string const described = given.refused ? describe(*given.refused) : std::string {};
    auto const& body = given.refused ? described : given.body;
    bytes.reserve(512 + body.size());
    appendStart(bytes, given.status);
    for (auto const& each : given.headers)
        bytes += each.name + ": " + each.value + "\r\n";
    if (given.refused)
        bytes += "Content-Type: application/json\r\n";
    m_hooks.protocol->writeAnswerHeaders(given, bytes);
    bool const mayHaveBody = given.status != static_cast<int>(http::status::no_content) && given.status != static_cast<int>(http::status::not_modified);
    if (mayHaveBody)
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    bytes += isLast ? "Connection: close\r\n\r\n" : "\r\n";
    if (mayHaveBody && !m_isHead)
        bytes += body;
    write(std::move(bytes), isLast);
}

void caller_connection::refuse(errors::error_kind kind)
{
    errors::error const error { kind, std::string { errors::answerFor(kind).meaning }, std::nullopt };
    m_hooks.refused(error);
    m_isKeptAlive = false;
    forwarding::final_answer refusal;
    refusal.status = errors::answerFor(kind).httpStatus;
    refusal.refused = error;
    answer(refusal);
}

void caller_connection::write(std::string bytes, bool isLast)
{
    m_phase = isLast ? phase::closing : phase::answering;
    m_phaseSince = std::chrono::steady_clock::now();
    beast::error_code failure;
    auto const written = m_socket.write_some(asio::buffer(bytes), failure);
    if (failure && failure != asio::error::would_block) {
        close();
        return;
    }
    if (written == bytes.size()) {
        finishWrite(isLast);
        return;
    }
    auto const rest = std::make_shared<std::string>(bytes.substr(written));
    asio::async_write(m_socket, asio::buffer(*rest), [self = shared_from_this(), rest, isLast](beast::error_code result, std::size_t) {
        if (result)
            self->close();
        else
            self->finishWrite(isLast);
    });
}

void caller_connection::finishWrite(bool isLast)
{
    if (m_isClosed)
        return;
    if (isLast) {
        beast::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        read();
        return;
    }
    m_phase = phase::idle;
    m_phaseSince = std::chrono::steady_clock::now();
    if (m_buffer.size() == 0) {
        read();
        return;
    }
    // A pipelined request is parsed in a separate turn of the event loop, so that many pipelined requests do not recurse.
    m_phase = phase::reading;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_isClosed && self->m_phase == phase::reading)
            self->parse();
    });
}

void caller_connection::checkTime(kernel::time_point now)
{
    auto const limits = m_hooks.limits();
    auto const age = now - m_phaseSince;
    switch (m_phase) {
    case phase::idle:
        if (age > limits.idleTimeout)
            close();
        break;
    case phase::reading:
        if (age > limits.headerTimeout * (m_parser && m_parser->is_header_done() ? bodyTimeouts : 1))
            refuse(errors::error_kind::request_timeout);
        break;
    case phase::answering:
        // The caller does not read its answer.
        if (!m_token && age > limits.idleTimeout)
            close();
        break;
    case phase::closing:
        if (age > closingTimeout)
            close();
        break;
    }
}

void caller_connection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    if (m_token)
        m_hooks.left(*m_token);
    m_token.reset();
    beast::error_code ignored;
    m_socket.close(ignored);
    m_hooks.closed(this);
}

}
