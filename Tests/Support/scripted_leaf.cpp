#include "Tests/Support/scripted_leaf.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

namespace zinnialedge::tests {

namespace asio = boost::asio;
using asio::ip::tcp;

struct scripted_leaf::connection {
    explicit connection(tcp::socket accepted)
        : socket(std::move(accepted))
    {
        boost::system::error_code gone;
        source = socket.remote_endpoint(gone).address().to_string();
    }

    tcp::socket socket;
    std::string source;
    std::string received;
    std::array<char, 8192> buffer {};
};

scripted_leaf::scripted_leaf(std::function<scripted_reply(std::string const&)> makeReply)
    : scripted_leaf([makeReply = std::move(makeReply)](std::string const& request, std::string const& /*source*/) { return makeReply(request); })
{
}

scripted_leaf::scripted_leaf(std::function<scripted_reply(std::string const&, std::string const&)> makeReply)
    : m_makeReply(std::move(makeReply))
    , m_acceptor(m_context, tcp::endpoint { asio::ip::make_address("127.0.0.1"), 0 })
    , m_endpoint(m_acceptor.local_endpoint())
{
    acceptNextConnection();
    m_thread = std::thread { [this] { m_context.run(); } };
}

scripted_leaf::~scripted_leaf()
{
    m_context.stop();
    m_thread.join();
}

model::endpoint scripted_leaf::place() const
{
    return { "127.0.0.1", m_endpoint.port() };
}

std::vector<std::string> scripted_leaf::requests() const
{
    std::lock_guard const lock(m_mutex);
    return m_requests;
}

std::size_t scripted_leaf::connectionCount() const
{
    std::lock_guard const lock(m_mutex);
    return m_connectionCount;
}

void scripted_leaf::acceptNextConnection()
{
    m_acceptor.async_accept([this](boost::system::error_code failure, tcp::socket accepted) {
        if (failure)
            return;
        {
            std::lock_guard const lock(m_mutex);
            ++m_connectionCount;
        }
        auto const accepting = std::make_shared<connection>(std::move(accepted));
        std::erase_if(m_openConnections, [](auto const& each) { return each.expired(); });
        m_openConnections.push_back(accepting);
        readRequests(accepting);
        acceptNextConnection();
    });
}

void scripted_leaf::readRequests(std::shared_ptr<connection> const& client)
{
    client->socket.async_read_some(asio::buffer(client->buffer), [this, client](boost::system::error_code failure, std::size_t bytes) {
        if (failure)
            return;
        client->received.append(client->buffer.data(), bytes);
        answerCompleteRequests(client);
    });
}

/// Returns the length of the first request, or nothing while the request is incomplete.
static std::optional<std::size_t> completeRequestLength(std::string const& received)
{
    auto const headEnd = received.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return std::nullopt;
    auto const lengthText = rawHeaderValue(received, "Content-Length");
    std::size_t bodyLength = 0;
    std::from_chars(lengthText.data(), lengthText.data() + lengthText.size(), bodyLength);
    auto const length = headEnd + 4 + bodyLength;
    return received.size() < length ? std::nullopt : std::optional { length };
}

void scripted_leaf::answerCompleteRequests(std::shared_ptr<connection> const& client)
{
    while (auto const length = completeRequestLength(client->received)) {
        auto const request = client->received.substr(0, *length);
        client->received.erase(0, *length);
        {
            std::lock_guard const lock(m_mutex);
            m_requests.push_back(request);
        }
        auto const reply = m_makeReply(request, client->source);
        if (reply.runTime.count() > 0) {
            auto const timer = std::make_shared<asio::steady_timer>(m_context, reply.runTime);
            timer->async_wait([this, client, reply, timer](boost::system::error_code) {
                if (performReply(client, reply))
                    answerCompleteRequests(client);
            });
            return;
        }
        if (!performReply(client, reply))
            return;
    }
    readRequests(client);
}

bool scripted_leaf::performReply(std::shared_ptr<connection> const& client, scripted_reply const& reply)
{
    if (reply.downTime.count() > 0)
        endNow(reply.downTime);
    // The leaf may have ended while it ran the request.
    if (!client->socket.is_open())
        return false;
    boost::system::error_code ignored;
    asio::write(client->socket, asio::buffer(reply.bytes), ignored);
    if (!reply.repeatedBytes.empty()) {
        repeatBytes(client, std::make_shared<std::string const>(reply.repeatedBytes));
        return false;
    }
    if (reply.shouldReset)
        client->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    if (reply.shouldClose || reply.shouldReset) {
        client->socket.close(ignored);
        return false;
    }
    return true;
}

void scripted_leaf::listenAfter(std::chrono::milliseconds delay)
{
    auto const timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([this, timer](boost::system::error_code) {
        boost::system::error_code failure;
        m_acceptor.open(m_endpoint.protocol(), failure);
        m_acceptor.set_option(asio::socket_base::reuse_address(true), failure);
        m_acceptor.bind(m_endpoint, failure);
        if (!failure)
            m_acceptor.listen(asio::socket_base::max_listen_connections, failure);
        if (!failure) {
            m_isListening = true;
            acceptNextConnection();
            return;
        }
        // A connection of another process may use the port for a moment.
        static constexpr std::chrono::milliseconds retryDelay { 50 };
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        listenAfter(retryDelay);
    });
}

void scripted_leaf::end(std::chrono::milliseconds downTime)
{
    asio::post(m_context, [this, downTime] { endNow(downTime); });
}

void scripted_leaf::endNow(std::chrono::milliseconds downTime)
{
    if (!m_acceptor.is_open())
        return;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (auto const& each : m_openConnections) {
        auto const open = each.lock();
        if (!open || !open->socket.is_open())
            continue;
        open->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        open->socket.close(ignored);
    }
    m_openConnections.clear();
    m_isListening = false;
    ++m_endCount;
    listenAfter(downTime);
}

void scripted_leaf::repeatBytes(std::shared_ptr<connection> const& client, std::shared_ptr<std::string const> const& bytes)
{
    asio::async_write(client->socket, asio::buffer(*bytes), [this, client, bytes](boost::system::error_code failure, std::size_t written) {
        m_repeatedByteCount += written;
        if (!failure)
            repeatBytes(client, bytes);
    });
}

std::string rawHeaderValue(std::string const& request, std::string const& name)
{
    auto const start = request.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    auto const valueStart = start + name.size() + 4;
    return request.substr(valueStart, request.find("\r\n", valueStart) - valueStart);
}

}
