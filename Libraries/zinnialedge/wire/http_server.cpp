#include "Libraries/zinnialedge/wire/http_server.h"

#include "Libraries/zinnialedge/limits/memory_budget.h"
#include "Libraries/zinnialedge/wire/http_request_reader.h"
#include "Libraries/zinnialedge/wire/tcp_listener.h"
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>
#include <vector>

namespace zinnialedge::wire {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

/// Delay before the next accept after a failed accept.
static constexpr std::chrono::milliseconds acceptRetryDelay { 50 };
/// Connections with less memory are not given up for lack of memory, since their number is limited.
static constexpr std::size_t smallBufferBytes = 8192;

class http_connection_session;

class http_server::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, http_server_options limits, http_handler handler)
        : m_context(context)
        , m_acceptor(context)
        , m_limits(std::move(limits))
        , m_memory(std::make_shared<limits::memory_budget>(limits::memory_budget { .limit = m_limits.memoryBytes }))
        , m_handler(std::move(handler))
    {
    }

    errors::error_or<void> open(model::endpoint const& endpoint) { return startListening(m_acceptor, endpoint); }
    void accept();
    void remove(http_connection_session* session) { m_openSessions.erase(session); }
    void cutConnections();
    /// Closes the oldest connections with large incomplete requests or unwritten responses, until the others fit into their memory.
    void relieveMemory();
    std::shared_ptr<limits::memory_budget> const& memory() const { return m_memory; }

    asio::io_context& context() { return m_context; }
    tcp::acceptor& acceptor() { return m_acceptor; }
    http_server_options const& limits() const { return m_limits; }
    http_handler const& handler() const { return m_handler; }
    std::size_t connectionCount() const { return m_openSessions.size(); }
    std::size_t unansweredCount() const;
    std::uint64_t nextRequestNumber() { return ++m_lastRequestNumber; }

private:
    void admit(tcp::socket);
    /// Closes a connection without a request for a new one. Returns false when all have requests.
    bool closeWaitingSession();

    asio::io_context& m_context;
    tcp::acceptor m_acceptor;
    http_server_options m_limits;
    std::shared_ptr<limits::memory_budget> m_memory;
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
        , m_memoryCharge(m_server->memory())
    {
    }

    ~http_connection_session() { m_server->remove(this); }
    http_connection_session(http_connection_session const&) = delete;
    http_connection_session& operator=(http_connection_session const&) = delete;

    void awaitRequest()
    {
        m_reader.emplace(m_server->limits().bodyBytes);
        m_hasReceivedBytes = false;
        m_memoryCharge.set(0);
        m_stateSince = std::chrono::steady_clock::now();
        if (m_buffer.size() > 0) {
            m_stream.expires_after(m_server->limits().readTimeout);
            parseRequest();
            return;
        }
        m_stream.expires_after(m_server->limits().idleTimeout);
        readMore();
    }

    void close()
    {
        m_isClosed = true;
        m_server->remove(this);
        m_memoryCharge.set(0);
        beast::error_code ignored;
        m_stream.socket().close(ignored);
        // Nothing reads the bytes any more, and the completion of the write may have to wait while other responses need the memory.
        if (m_isWriting)
            dropResponse();
    }

    bool isAnswering() const { return m_isAnswering; }
    bool isWriting() const { return m_isWriting; }
    bool hasAnswered() const { return m_hasAnswered; }
    std::size_t heldBytes() const { return m_memoryCharge.bytes(); }
    std::chrono::steady_clock::time_point stateSince() const { return m_stateSince; }

private:
    static constexpr std::size_t readBufferBytes = 4096;

    void readMore()
    {
        m_stream.async_read_some(m_buffer.prepare(readBufferBytes), [self = shared_from_this()](beast::error_code failure, std::size_t bytes) {
            // Bytes may have arrived just before the connection was closed.
            if (failure || self->m_isClosed)
                return;
            // The time limit of a request starts with its first bytes.
            if (!std::exchange(self->m_hasReceivedBytes, true)) {
                self->m_stream.expires_after(self->m_server->limits().readTimeout);
                self->m_stateSince = std::chrono::steady_clock::now();
            }
            self->m_buffer.commit(bytes);
            self->parseRequest();
        });
    }

    void parseRequest()
    {
        switch (m_reader->read(m_buffer)) {
        case http_request_reader::status::complete:
            handleRequest();
            return;
        case http_request_reader::status::failed:
            reject(m_reader->failure());
            return;
        case http_request_reader::status::incomplete:
            break;
        }
        m_memoryCharge.set(m_buffer.capacity() + m_reader->heldBytes());
        if (m_memoryCharge.isBudgetExceeded())
            m_server->relieveMemory();
        if (!m_isClosed)
            readMore();
    }

    void handleRequest()
    {
        m_stream.expires_never();
        m_isAnswering = true;
        m_memoryCharge.set(0);
        m_stateSince = std::chrono::steady_clock::now();
        m_currentRequestNumber = m_server->nextRequestNumber();
        m_shouldKeepAlive = m_reader->shouldKeepAlive();
        m_httpVersion = m_reader->httpVersion();
        auto request = m_reader->takeRequest();
        request.number = m_currentRequestNumber;
        m_reader.reset();
        if (m_buffer.size() == 0)
            m_buffer.shrink_to_fit();
        detectClientClose();
        m_server->handler()(std::move(request), [self = shared_from_this()](http_response response) { self->write(std::move(response)); });
    }

    void dropResponse()
    {
        // Assignment of an empty string would keep the memory.
        m_response.body().clear();
        m_response.body().shrink_to_fit();
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
        if (m_isClosed)
            return;
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
        m_isWriting = true;
        m_stateSince = std::chrono::steady_clock::now();
        m_memoryCharge.set(m_response.body().size());
        if (m_memoryCharge.isBudgetExceeded())
            m_server->relieveMemory();
        if (m_isClosed)
            return;
        http::async_write(m_stream, m_response, [self = shared_from_this()](beast::error_code failure, std::size_t) { self->handleWriteCompletion(failure); });
    }

    void handleWriteCompletion(beast::error_code failure)
    {
        m_isAnswering = false;
        m_isWriting = false;
        m_hasAnswered = true;
        dropResponse();
        m_memoryCharge.set(0);
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
    std::optional<http_request_reader> m_reader;
    http::response<http::string_body> m_response;
    std::shared_ptr<http_server::implementation> m_server;
    /// Memory of the incomplete request or of the response that is being written.
    limits::memory_charge m_memoryCharge;
    std::chrono::steady_clock::time_point m_stateSince;
    /// True from the first bytes of a request on that are read after the request before.
    bool m_hasReceivedBytes { false };
    bool m_isWriting { false };
    bool m_isClosed { false };
    bool m_hasAnswered { false };
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
        if (!failure) {
            self->admit(std::move(socket));
            self->accept();
            return;
        }
        // The process is out of file descriptors, for example; open connections will release theirs.
        auto const pause = std::make_shared<asio::steady_timer>(self->m_context, acceptRetryDelay);
        pause->async_wait([self, pause](beast::error_code) {
            if (self->m_acceptor.is_open())
                self->accept();
        });
    });
}

bool http_server::implementation::closeWaitingSession()
{
    auto const rankOf = [](http_connection_session const* session) { return std::pair { session->hasAnswered(), session->stateSince() }; };
    http_connection_session* chosen = nullptr;
    for (auto* const session : m_openSessions) {
        if (!session->isAnswering() && (!chosen || rankOf(session) < rankOf(chosen)))
            chosen = session;
    }
    if (chosen)
        chosen->close();
    return chosen;
}

void http_server::implementation::relieveMemory()
{
    std::vector<http_connection_session*> large;
    for (auto* const session : m_openSessions) {
        if ((!session->isAnswering() || session->isWriting()) && session->heldBytes() > smallBufferBytes)
            large.push_back(session);
    }
    std::sort(large.begin(), large.end(), [](auto const* left, auto const* right) { return left->stateSince() < right->stateSince(); });
    for (auto* const session : large) {
        if (!m_memory->isExceeded())
            return;
        session->close();
    }
}

void http_server::implementation::admit(tcp::socket socket)
{
    if (m_openSessions.size() >= m_limits.connections && !closeWaitingSession())
        return;
    if (m_limits.shouldAcceptConnection && !m_limits.shouldAcceptConnection())
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
    for (auto* const session : std::set { m_openSessions })
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
