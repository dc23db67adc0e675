#include "Libraries/zinnialedge/wire/http_server.h"

#include "Libraries/zinnialedge/wire/beast_framing.h"
#include "Libraries/zinnialedge/wire/tcp_listener.h"
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>

namespace zinnialedge::wire {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

class http_connection_session;

class http_server::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, http_server_options limits, http_handler handler)
        : m_context(context)
        , m_acceptor(context)
        , m_limits(std::move(limits))
        , m_handler(std::move(handler))
    {
    }

    errors::error_or<void> open(model::endpoint const& endpoint) { return startListening(m_acceptor, endpoint); }
    void accept();
    void remove(http_connection_session* session) { m_openSessions.erase(session); }
    void cutConnections();

    asio::io_context& context() { return m_context; }
    tcp::acceptor& acceptor() { return m_acceptor; }
    http_server_options const& limits() const { return m_limits; }
    http_handler const& handler() const { return m_handler; }
    std::size_t connectionCount() const { return m_openSessions.size(); }
    std::size_t unansweredCount() const;
    std::uint64_t nextRequestNumber() { return ++m_lastRequestNumber; }

private:
    void admit(tcp::socket);

    asio::io_context& m_context;
    tcp::acceptor m_acceptor;
    http_server_options m_limits;
    http_handler m_handler;
    std::set<http_connection_session*> m_openSessions;
    std::uint64_t m_lastRequestNumber { 0 };
};

/// Serves one connection: reads a request, passes it to the handler, writes the response, and then reads the next request.
class http_connection_session : public std::enable_shared_from_this<http_connection_session> {
public:
    http_connection_session(tcp::socket socket, std::shared_ptr<http_server::implementation> server)
        : m_stream(std::move(socket))
        , m_server(std::move(server))
    {
    }

    ~http_connection_session() { m_server->remove(this); }
    http_connection_session(http_connection_session const&) = delete;
    http_connection_session& operator=(http_connection_session const&) = delete;

    void awaitRequest()
    {
        m_parser.emplace();
        m_parser->body_limit(m_server->limits().bodyBytes);
        if (m_buffer.size() > 0) {
            readRequest();
            return;
        }
        m_stream.expires_after(m_server->limits().idleTimeout);
        // The read timeout starts with the first bytes of a request, so these bytes are read separately under the idle timeout.
        m_stream.async_read_some(m_buffer.prepare(initialReadBufferBytes), [self = shared_from_this()](beast::error_code failure, std::size_t bytes) {
            if (failure)
                return;
            self->m_buffer.commit(bytes);
            self->readRequest();
        });
    }

    void close()
    {
        beast::error_code ignored;
        m_stream.socket().close(ignored);
    }

    bool isAnswering() const { return m_isAnswering; }

private:
    static constexpr std::size_t initialReadBufferBytes = 4096;

    void readRequest()
    {
        m_stream.expires_after(m_server->limits().readTimeout);
        http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code failure, std::size_t) { self->handleReadCompletion(failure); });
    }

    void handleReadCompletion(beast::error_code failure)
    {
        if (failure == http::error::body_limit || failure == http::error::header_limit) {
            reject({ errors::error_kind::request_too_large, "the request exceeds the limit of " + std::to_string(m_server->limits().bodyBytes) + " bytes", {} });
            return;
        }
        if (failure.category() == http::make_error_code(http::error::end_of_stream).category() && failure != http::error::end_of_stream) {
            reject({ errors::error_kind::malformed_request, "malformed HTTP request: " + failure.message(), {} });
            return;
        }
        if (failure)
            return;
        if (!isFramingCertain(m_parser->get())) {
            reject({ errors::error_kind::malformed_request, "the request does not tell where its body ends", {} });
            return;
        }
        m_stream.expires_never();
        m_isAnswering = true;
        auto message = m_parser->release();
        m_shouldKeepAlive = message.keep_alive();
        m_httpVersion = message.version();
        m_currentRequestNumber = m_server->nextRequestNumber();
        http_request request { std::string { message.method_string() }, std::string { message.target() }, std::move(message.body()), {}, m_currentRequestNumber };
        for (auto const& field : message) {
            auto name = toLowerCase(field.name_string());
            request.headers[std::move(name)] = std::string { field.value() };
        }
        detectClientClose();
        m_server->handler()(std::move(request), [self = shared_from_this()](http_response response) { self->write(std::move(response)); });
    }

    /// Detects that the client closes the connection while its request is being handled, when no read is pending.
    void detectClientClose()
    {
        if (!m_server->limits().abandoned)
            return;
        m_stream.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this(), request = m_currentRequestNumber](beast::error_code failure) {
            beast::error_code ignored;
            bool const isClosedByClient = !failure && self->m_stream.socket().available(ignored) == 0;
            if (isClosedByClient && self->m_currentRequestNumber == request)
                self->m_server->limits().abandoned(request);
        });
    }

    void reject(errors::error const& error)
    {
        m_isAnswering = true;
        m_shouldKeepAlive = false;
        m_httpVersion = 11;
        auto const& describe = m_server->limits().formatErrorBody;
        write({ errors::propertiesOf(error.kind).httpStatus, describe ? describe(error) : error.message, {} });
    }

    void write(http_response response)
    {
        m_currentRequestNumber = 0;
        m_response = {};
        m_response.version(m_httpVersion);
        m_response.result(static_cast<unsigned>(response.status));
        m_response.set(http::field::content_type, response.contentType);
        for (auto const& [name, value] : response.headers)
            m_response.set(name, value);
        m_response.keep_alive(m_shouldKeepAlive);
        m_response.body() = std::move(response.body);
        m_response.prepare_payload();
        m_stream.expires_after(m_server->limits().readTimeout);
        http::async_write(m_stream, m_response, [self = shared_from_this()](beast::error_code failure, std::size_t) { self->handleWriteCompletion(failure); });
    }

    void handleWriteCompletion(beast::error_code failure)
    {
        m_isAnswering = false;
        if (failure)
            return;
        if (m_shouldKeepAlive) {
            awaitRequest();
            return;
        }
        beast::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    std::shared_ptr<http_server::implementation> m_server;
    /// Number of the request that is being handled, or zero.
    std::uint64_t m_currentRequestNumber { 0 };
    unsigned m_httpVersion { 11 };
    bool m_shouldKeepAlive { true };
    /// True from the end of a request to that of its response.
    bool m_isAnswering { false };
};

std::size_t http_server::implementation::unansweredCount() const
{
    return static_cast<std::size_t>(std::count_if(m_openSessions.begin(), m_openSessions.end(), [](auto const* session) { return session->isAnswering(); }));
}

void http_server::implementation::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](beast::error_code failure, tcp::socket socket) {
        if (failure == asio::error::operation_aborted)
            return;
        if (!failure)
            self->admit(std::move(socket));
        self->accept();
    });
}

void http_server::implementation::admit(tcp::socket socket)
{
    bool const isBelowConnectionLimit = m_openSessions.size() < m_limits.connections;
    if (!isBelowConnectionLimit || (m_limits.shouldAcceptConnection && !m_limits.shouldAcceptConnection()))
        return;
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto const session = std::make_shared<http_connection_session>(std::move(socket), shared_from_this());
    m_openSessions.insert(session.get());
    if (m_limits.firstReadDelay.count() == 0) {
        session->awaitRequest();
        return;
    }
    auto const timer = std::make_shared<asio::steady_timer>(m_context, m_limits.firstReadDelay);
    timer->async_wait([session, timer](beast::error_code) { session->awaitRequest(); });
}

void http_server::implementation::cutConnections()
{
    for (auto* session : m_openSessions)
        session->close();
}

errors::error_or<std::unique_ptr<http_server>> http_server::listen(asio::io_context& context, model::endpoint const& endpoint, http_server_options limits, http_handler handler)
{
    auto const server = std::make_shared<implementation>(context, std::move(limits), std::move(handler));
    if (auto opened = server->open(endpoint); !opened)
        return tl::unexpected(opened.error());
    server->accept();
    return std::unique_ptr<http_server> { new http_server(server) };
}

http_server::http_server(std::shared_ptr<implementation> server)
    : m_implementation(std::move(server))
{
}

http_server::~http_server()
{
    stopAccepting();
}

std::uint16_t http_server::port() const
{
    beast::error_code ignored;
    return m_implementation->acceptor().local_endpoint(ignored).port();
}

std::size_t http_server::connectionCount() const
{
    return m_implementation->connectionCount();
}

std::size_t http_server::unansweredCount() const
{
    return m_implementation->unansweredCount();
}

void http_server::stopAccepting()
{
    beast::error_code ignored;
    m_implementation->acceptor().close(ignored);
}

void http_server::cutConnections()
{
    m_implementation->cutConnections();
}

}
