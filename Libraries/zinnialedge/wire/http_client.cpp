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

/// Reads and writes go to the socket without the layers of a Beast stream, which cost more than the system calls.
class http_client::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, model::endpoint place)
        : m_context(context)
        , m_socket(context)
        , m_timer(context)
        , m_place(std::move(place))
    {
        m_request.version(httpVersion);
        m_request.set(http::field::host, m_place.address);
    }

    void connect(std::chrono::milliseconds timeout, std::function<void(bool)> done)
    {
        beast::error_code failure;
        auto const address = asio::ip::make_address(m_place.address, failure);
        if (failure) {
            done(false);
            return;
        }
        m_buffer.clear();
        limitTime(timeout);
        m_socket.async_connect(tcp::endpoint { address, m_place.port }, [self = shared_from_this(), done = std::move(done)](beast::error_code result) {
            self->endTimeLimit();
            self->m_isOpen = !result;
            if (!result)
                self->configureSocket();
            done(!result);
        });
    }

    void send(http_request const& request, std::chrono::milliseconds timeout, std::function<void(http_result)> done)
    {
        VERIFY(!m_done);
        m_done = std::move(done);
        limitTime(timeout);
        beast::error_code failure;
        serialize(request, failure);
        // A request nearly always fits into the socket's buffer, so no write has to be waited for.
        auto const written = failure ? 0 : m_socket.write_some(asio::buffer(m_output), failure);
        if (!failure && written == m_output.size()) {
            receive();
            return;
        }
        if (failure && failure != asio::error::would_block) {
            asio::post(m_context, [self = shared_from_this(), failure] { self->handleWritten(failure); });
            return;
        }
        asio::async_write(m_socket, asio::buffer(m_output) + written, [self = shared_from_this()](beast::error_code result, std::size_t) { self->handleWritten(result); });
    }

    void close()
    {
        m_isOpen = false;
        endTimeLimit();
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
    static constexpr std::size_t readBytes = 8192;
    static constexpr int probeIdleSeconds = 1;
    static constexpr int probeIntervalSeconds = 1;
    static constexpr int probeCount = 2;

    void configureSocket()
    {
        beast::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        m_socket.non_blocking(true, ignored);
        // A connection may fall silent without a reset while an answer is waited for; probes find that.
        m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
        m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>(probeIdleSeconds), ignored);
        m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>(probeIntervalSeconds), ignored);
        m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>(probeCount), ignored);
    }

    void limitTime(std::chrono::milliseconds timeout)
    {
        m_isTimedOut = false;
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this()](beast::error_code failure) {
            // The limit may have been ended or set anew after the timer had fired.
            if (failure || self->m_timer.expiry() > clock::now())
                return;
            self->m_isTimedOut = true;
            self->close();
        });
    }

    void endTimeLimit() { m_timer.expires_at(clock::time_point::max()); }

    void serialize(http_request const& request, beast::error_code& failure)
    {
        m_request.method_string(request.method);
        m_request.target(request.target);
        for (auto const& name : m_extraHeaders)
            m_request.erase(name);
        m_extraHeaders.clear();
        for (auto const& [name, value] : request.headers) {
            m_request.set(name, value);
            m_extraHeaders.push_back(name);
        }
        m_request.body() = request.body;
        m_request.prepare_payload();
        m_output.clear();
        http::request_serializer<http::string_body> serializer { m_request };
        while (!failure && !serializer.is_done()) {
            serializer.next(failure, [&](beast::error_code&, auto const& buffers) {
                for (auto const buffer : beast::buffers_range_ref(buffers))
                    m_output.append(static_cast<char const*>(buffer.data()), buffer.size());
                serializer.consume(beast::buffer_bytes(buffers));
            });
        }
    }

    void handleWritten(beast::error_code failure)
    {
        if (failure)
            fail("write", failure);
        else
            receive();
    }

    void receive()
    {
        m_parser.emplace();
        m_parser->eager(true);
        readSome();
    }

    void readSome()
    {
        m_socket.async_read_some(m_buffer.prepare(readBytes), [self = shared_from_this()](beast::error_code failure, std::size_t bytes) { self->handleRead(failure, bytes); });
    }

    void handleRead(beast::error_code failure, std::size_t bytes)
    {
        m_buffer.commit(bytes);
        if (failure == asio::error::eof && m_parser->got_some()) {
            // A body without a length ends with the connection.
            failure = {};
            m_parser->put_eof(failure);
        } else if (!failure) {
            m_buffer.consume(m_parser->put(m_buffer.data(), failure));
            if (failure == http::error::need_more)
                failure = {};
        }
        if (failure) {
            fail("read", failure);
            return;
        }
        if (!m_parser->is_done()) {
            readSome();
            return;
        }
        finishRead();
    }

    void finishRead()
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
        finish(tl::unexpected(http_failure { true, std::string { step } + ": " + reason }));
    }

    void finish(http_result result)
    {
        if (!result.has_value())
            close();
        endTimeLimit();
        auto const done = std::move(m_done);
        m_done = nullptr;
        done(std::move(result));
    }

    asio::io_context& m_context;
    asio::basic_stream_socket<tcp, executor> m_socket;
    asio::basic_waitable_timer<clock, asio::wait_traits<clock>, executor> m_timer;
    beast::flat_buffer m_buffer;
    model::endpoint m_place;
    http::request<http::string_body> m_request;
    std::vector<std::string> m_extraHeaders;
    std::string m_output;
    std::optional<http::response_parser<http::string_body>> m_parser;
    std::function<void(http_result)> m_done;
    bool m_isOpen { false };
    bool m_isTimedOut { false };
};

http_client::http_client(asio::io_context& context, model::endpoint place)
    : m_implementation(std::make_shared<implementation>(context, std::move(place)))
{
}

http_client::~http_client()
{
    // A pending operation keeps the implementation alive until its callback has run.
    close();
}

void http_client::connect(std::chrono::milliseconds timeout, std::function<void(bool)> done)
{
    m_implementation->connect(timeout, std::move(done));
}

void http_client::send(http_request const& request, std::chrono::milliseconds timeout, std::function<void(http_result)> done)
{
    m_implementation->send(request, timeout, std::move(done));
}

void http_client::connectAndSend(http_request request, std::chrono::milliseconds timeout, std::function<void(http_result)> done)
{
    if (isOpen()) {
        send(request, timeout, std::move(done));
        return;
    }
    connect(timeout, [made = m_implementation, request = std::move(request), timeout, done = std::move(done)](bool isConnected) {
        if (!isConnected) {
            done(tl::unexpected(http_failure { false, "can't connect" }));
            return;
        }
        made->send(request, timeout, done);
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
