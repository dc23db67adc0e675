#include "Libraries/zinnialedge/wire/http_client.h"

#include "Kernel/verify.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace zinnialedge::wire {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

class http_client::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, model::endpoint place)
        : m_context(context)
        , m_stream(context)
        , m_place(std::move(place))
    {
    }

    void connect(std::chrono::milliseconds timeout, std::function<void(bool)> done)
    {
        beast::error_code failure;
        auto const address = asio::ip::make_address(m_place.address, failure);
        if (failure) {
            done(false);
            return;
        }
        m_stream.expires_after(timeout);
        m_stream.async_connect(tcp::endpoint { address, m_place.port }, [self = shared_from_this(), done = std::move(done)](beast::error_code result) {
            self->m_isOpen = !result;
            if (!result) {
                beast::error_code ignored;
                self->m_stream.socket().set_option(tcp::no_delay(true), ignored);
            }
            done(!result);
        });
    }

    void send(http_request const& request, std::chrono::milliseconds timeout, std::function<void(http_result)> done)
    {
        VERIFY(!m_done);
        m_done = std::move(done);
        m_request = {};
        m_request.version(11);
        m_request.method_string(request.method);
        m_request.target(request.target);
        m_request.set(http::field::host, m_place.address);
        for (auto const& [name, value] : request.headers)
            m_request.set(name, value);
        m_request.body() = request.body;
        m_request.prepare_payload();
        m_stream.expires_after(timeout);
        http::async_write(m_stream, m_request, [self = shared_from_this()](beast::error_code failure, std::size_t) { self->handleWritten(failure); });
    }

    void close()
    {
        m_isOpen = false;
        beast::error_code ignored;
        m_stream.socket().close(ignored);
    }

    bool isOpen() const { return m_isOpen; }

    bool hasBeenClosedByPeer()
    {
        beast::error_code failure;
        char byte = 0;
        m_stream.socket().non_blocking(true, failure);
        m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
        return failure != asio::error::would_block;
    }

    bool isBusy() const { return static_cast<bool>(m_done); }

private:
    void handleWritten(beast::error_code failure)
    {
        if (failure) {
            finish(tl::unexpected(http_failure { true, "write: " + failure.message() }));
            return;
        }
        m_response = {};
        http::async_read(m_stream, m_buffer, m_response, [self = shared_from_this()](beast::error_code readFailure, std::size_t) { self->handleRead(readFailure); });
    }

    void handleRead(beast::error_code failure)
    {
        if (failure) {
            finish(tl::unexpected(http_failure { true, "read: " + failure.message() }));
            return;
        }
        http_response response;
        response.status = static_cast<int>(m_response.result_int());
        response.contentType = std::string { m_response[http::field::content_type] };
        for (auto const& field : m_response) {
            auto name = toLowerCase(field.name_string());
            response.headers[std::move(name)] = std::string { field.value() };
        }
        response.body = std::move(m_response.body());
        if (!m_response.keep_alive())
            close();
        finish(std::move(response));
    }

    void finish(http_result result)
    {
        if (!result.has_value())
            close();
        else if (m_isOpen)
            m_stream.expires_never();
        auto const done = std::move(m_done);
        m_done = nullptr;
        done(std::move(result));
    }

    asio::io_context& m_context;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    model::endpoint m_place;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
    std::function<void(http_result)> m_done;
    bool m_isOpen { false };
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
