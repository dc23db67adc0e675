#include "Libraries/zinnialedge/wire/http_client.h"

#include "Kernel/verify.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>

namespace zinnialedge::wire {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

/// Reads and writes the socket directly, because the layers of a Beast stream cost more than the system calls.
class http_client::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, model::endpoint endpoint, std::size_t maximumResponseBytes, std::shared_ptr<limits::memory_budget> unfinishedResponses)
        : m_context(context)
        , m_socket(context)
        , m_timer(context)
        , m_endpoint(std::move(endpoint))
        , m_maximumResponseBytes(maximumResponseBytes)
        , m_unfinishedResponseCharge(std::move(unfinishedResponses))
    {
        m_request.version(httpVersion);
        m_request.set(http::field::host, m_endpoint.address);
    }

    void connect(std::chrono::milliseconds timeout, std::function<void(bool)> callback)
    {
        beast::error_code failure;
        auto const address = asio::ip::make_address(m_endpoint.address, failure);
        if (failure) {
            callback(false);
            return;
        }
        m_buffer.clear();
        startTimeLimit(timeout);
        m_socket.async_connect(tcp::endpoint { address, m_endpoint.port }, [self = shared_from_this(), callback = std::move(callback)](beast::error_code result) {
            self->clearTimeLimit();
            self->m_isOpen = !result;
            if (!result)
                self->configureSocket();
            callback(!result);
        });
    }

    void send(http_request const& request, std::chrono::milliseconds timeout, std::function<void(http_result)> callback)
    {
        VERIFY(!m_callback);
        m_callback = std::move(callback);
        startTimeLimit(timeout);
        beast::error_code failure;
        serialize(request, failure);
        // A request nearly always fits into the send buffer of the socket, so a single non-blocking write usually suffices.
        auto const written = failure ? 0 : m_socket.write_some(asio::buffer(m_serializedRequest), failure);
        if (!failure && written == m_serializedRequest.size()) {
            receiveResponse();
            return;
        }
        if (failure && failure != asio::error::would_block) {
            asio::post(m_context, [self = shared_from_this(), failure] { self->handleWriteCompletion(failure); });
            return;
        }
        asio::async_write(m_socket, asio::buffer(m_serializedRequest) + written, [self = shared_from_this()](beast::error_code result, std::size_t) { self->handleWriteCompletion(result); });
    }

    void close()
    {
        m_isOpen = false;
        clearTimeLimit();
        beast::error_code ignored;
        m_socket.close(ignored);
    }

    bool isOpen() const { return m_isOpen; }

    bool hasBeenClosedByPeer()
    {
        beast::error_code failure;
        char byte = 0;
        m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
        return failure != asio::error::would_block;
    }

private:
    using executor = asio::io_context::executor_type;
    using clock = std::chrono::steady_clock;

    static constexpr unsigned httpVersion = 11;
    static constexpr std::size_t readBufferBytes = 8192;
    /// Maximum size of a response's head, and of a chunk's line or a trailer.
    static constexpr std::size_t maximumFramingBytes = 64U << 10U;
    /// Size above which an unfinished response counts as large.
    static constexpr std::size_t largeResponseBytes = 64U << 10U;
    static constexpr int keepAliveIdleSeconds = 1;
    static constexpr int keepAliveIntervalSeconds = 1;
    static constexpr int keepAliveProbeCount = 2;

    void configureSocket()
    {
        beast::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        m_socket.non_blocking(true, ignored);
        // The server may become unreachable without a reset while a response is outstanding. Keep-alive probes detect this.
        m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
        m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>(keepAliveIdleSeconds), ignored);
        m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>(keepAliveIntervalSeconds), ignored);
        m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>(keepAliveProbeCount), ignored);
    }

    void startTimeLimit(std::chrono::milliseconds timeout)
    {
        m_isTimedOut = false;
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this()](beast::error_code failure) {
            // The time limit may have been cleared or extended after the timer fired but before this handler ran.
            if (failure || self->m_timer.expiry() > clock::now())
                return;
            self->m_isTimedOut = true;
            self->close();
        });
    }

    void clearTimeLimit() { m_timer.expires_at(clock::time_point::max()); }

    void serialize(http_request const& request, beast::error_code& failure)
    {
        m_request.method_string(request.method);
        m_request.target(request.target);
        for (auto const& name : m_requestHeaderNames)
            m_request.erase(name);
        m_requestHeaderNames.clear();
        for (auto const& [name, value] : request.headers) {
            m_request.set(name, value);
            m_requestHeaderNames.push_back(name);
        }
        m_request.body() = request.body;
        m_request.prepare_payload();
        m_serializedRequest.clear();
        http::request_serializer<http::string_body> serializer { m_request };
        while (!failure && !serializer.is_done()) {
            serializer.next(failure, [&](beast::error_code&, auto const& buffers) {
                for (auto const buffer : beast::buffers_range_ref(buffers))
                    m_serializedRequest.append(static_cast<char const*>(buffer.data()), buffer.size());
                serializer.consume(beast::buffer_bytes(buffers));
            });
        }
    }

    void handleWriteCompletion(beast::error_code failure)
    {
        if (failure)
            fail("write", failure);
        else
            receiveResponse();
    }

    void receiveResponse()
    {
        m_parser.emplace();
        m_parser->eager(true);
        m_receivedBytes = 0;
        readMore();
    }

    void readMore()
    {
        m_socket.async_read_some(m_buffer.prepare(readBufferBytes), [self = shared_from_this()](beast::error_code failure, std::size_t bytes) { self->handleReadCompletion(failure, bytes); });
    }

    void handleReadCompletion(beast::error_code failure, std::size_t bytes)
    {
        m_buffer.commit(bytes);
        m_receivedBytes += bytes;
        // The parser limits the head and the body, but not the extensions of chunks and the trailer.
        if (!failure && m_receivedBytes > m_maximumResponseBytes)
            failure = http::error::body_limit;
        if (failure == asio::error::eof && m_parser->got_some()) {
            // A response body without Content-Length ends when the server closes the connection.
            failure = {};
            m_parser->put_eof(failure);
        } else if (!failure) {
            m_buffer.consume(m_parser->put(m_buffer.data(), failure));
            if (failure == http::error::need_more)
                failure = {};
            // What is left is a part of the head, or the line of a chunk or a trailer.
            if (!failure && !m_parser->is_done() && m_buffer.size() > maximumFramingBytes)
                failure = http::error::body_limit;
        }
        if (!failure && !m_parser->is_done() && !accountResponseBytes())
            failure = http::error::body_limit;
        if (failure) {
            fail("read", failure);
            return;
        }
        if (!m_parser->is_done()) {
            readMore();
            return;
        }
        completeResponse();
    }

    /// Returns whether the response may go on.
    bool accountResponseBytes()
    {
        auto const held = m_buffer.capacity() + (m_parser->is_header_done() ? m_parser->get().body().capacity() : 0);
        m_unfinishedResponseCharge.set(held);
        return held <= largeResponseBytes || !m_unfinishedResponseCharge.isBudgetExceeded();
    }

    void completeResponse()
    {
        bool const isKeptAlive = m_parser->keep_alive();
        auto message = m_parser->release();
        http_response response;
        response.status = static_cast<int>(message.result_int());
        response.contentType = std::string { message[http::field::content_type] };
        for (auto const& field : message) {
            auto name = toLowerCase(field.name_string());
            response.headers[std::move(name)] = std::string { field.value() };
        }
        response.body = std::move(message.body());
        if (!isKeptAlive)
            close();
        finish(std::move(response));
    }

    void fail(char const* step, beast::error_code failure)
    {
        auto const reason = m_isTimedOut ? "timed out" : failure.message();
        bool const isConnectionLost = !m_isTimedOut && (failure == asio::error::eof || failure == asio::error::connection_reset || failure == asio::error::broken_pipe || failure == http::error::end_of_stream || failure == http::error::partial_message);
        finish(tl::unexpected(http_failure { true, std::string { step } + ": " + reason, isConnectionLost }));
    }

    void finish(http_result result)
    {
        if (!result.has_value())
            close();
        clearTimeLimit();
        m_unfinishedResponseCharge.set(0);
        auto const callback = std::move(m_callback);
        m_callback = nullptr;
        callback(std::move(result));
    }

    asio::io_context& m_context;
    asio::basic_stream_socket<tcp, executor> m_socket;
    asio::basic_waitable_timer<clock, asio::wait_traits<clock>, executor> m_timer;
    beast::flat_buffer m_buffer;
    std::size_t m_receivedBytes { 0 };
    model::endpoint m_endpoint;
    std::size_t m_maximumResponseBytes { 0 };
    limits::memory_charge m_unfinishedResponseCharge;
    http::request<http::string_body> m_request;
    std::vector<std::string> m_requestHeaderNames;
    std::string m_serializedRequest;
    std::optional<http::response_parser<http::string_body>> m_parser;
    std::function<void(http_result)> m_callback;
    bool m_isOpen { false };
    bool m_isTimedOut { false };
};

http_client::http_client(asio::io_context& context, model::endpoint endpoint, std::size_t maximumResponseBytes, std::shared_ptr<limits::memory_budget> unfinishedResponses)
    : m_implementation(std::make_shared<implementation>(context, std::move(endpoint), maximumResponseBytes, std::move(unfinishedResponses)))
{
}

http_client::~http_client()
{
    // A pending operation holds a reference to the implementation until its callback has run.
    close();
}

void http_client::connect(std::chrono::milliseconds timeout, std::function<void(bool)> callback)
{
    m_implementation->connect(timeout, std::move(callback));
}

void http_client::send(http_request const& request, std::chrono::milliseconds timeout, std::function<void(http_result)> callback)
{
    m_implementation->send(request, timeout, std::move(callback));
}

void http_client::connectAndSend(http_request request, std::chrono::milliseconds timeout, std::function<void(http_result)> callback)
{
    if (isOpen()) {
        send(request, timeout, std::move(callback));
        return;
    }
    connect(timeout, [client = m_implementation, request = std::move(request), timeout, callback = std::move(callback)](bool isConnected) {
        if (!isConnected) {
            callback(tl::unexpected(http_failure { false, "connection could not be established" }));
            return;
        }
        client->send(request, timeout, callback);
    });
}

bool http_client::isOpen() const
{
    return m_implementation->isOpen();
}

bool http_client::isUsable()
{
    if (!isOpen())
        return false;
    if (!m_implementation->hasBeenClosedByPeer())
        return true;
    close();
    return false;
}

void http_client::close()
{
    m_implementation->close();
}

}
