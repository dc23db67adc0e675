#include "Tests/Support/raw_leaf.h"

#include <boost/asio/write.hpp>
#include <charconv>

namespace zinnialedge::tests {

namespace asio = boost::asio;
using asio::ip::tcp;

struct raw_leaf::connection {
    explicit connection(tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    tcp::socket socket;
    std::string received;
    std::array<char, 8192> buffer {};
};

raw_leaf::raw_leaf(std::function<raw_reply(std::string const&)> answer)
    : m_answer(std::move(answer))
    , m_acceptor(m_context, tcp::endpoint { asio::ip::make_address("127.0.0.1"), 0 })
{
    accept();
    m_thread = std::thread { [this] { m_context.run(); } };
}

raw_leaf::~raw_leaf()
{
    m_context.stop();
    m_thread.join();
}

model::endpoint raw_leaf::place() const
{
    return { "127.0.0.1", m_acceptor.local_endpoint().port() };
}

std::vector<std::string> raw_leaf::requests() const
{
    std::lock_guard const lock(m_mutex);
    return m_requests;
}

std::size_t raw_leaf::connectionCount() const
{
    std::lock_guard const lock(m_mutex);
    return m_connections;
}

void raw_leaf::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code failure, tcp::socket accepted) {
        if (failure)
            return;
        {
            std::lock_guard const lock(m_mutex);
            ++m_connections;
        }
        read(std::make_shared<connection>(std::move(accepted)));
        accept();
    });
}

void raw_leaf::read(std::shared_ptr<connection> const& from)
{
    from->socket.async_read_some(asio::buffer(from->buffer), [this, from](boost::system::error_code failure, std::size_t bytes) {
        if (failure)
            return;
        from->received.append(from->buffer.data(), bytes);
        answerAll(from);
    });
}

/// Returns the length of the first request, or nothing while the request is incomplete.
static std::optional<std::size_t> wholeLength(std::string const& received)
{
    auto const headEnd = received.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return std::nullopt;
    auto const lengthText = rawHeader(received, "Content-Length");
    std::size_t body = 0;
    std::from_chars(lengthText.data(), lengthText.data() + lengthText.size(), body);
    auto const length = headEnd + 4 + body;
    return received.size() < length ? std::nullopt : std::optional { length };
}

void raw_leaf::answerAll(std::shared_ptr<connection> const& from)
{
    while (auto const length = wholeLength(from->received)) {
        auto const request = from->received.substr(0, *length);
        from->received.erase(0, *length);
        {
            std::lock_guard const lock(m_mutex);
            m_requests.push_back(request);
        }
        auto const reply = m_answer(request);
        boost::system::error_code ignored;
        asio::write(from->socket, asio::buffer(reply.bytes), ignored);
        if (reply.isResetting)
            from->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        if (reply.isClosing || reply.isResetting) {
            from->socket.close(ignored);
            return;
        }
    }
    read(from);
}

std::string rawHeader(std::string const& request, std::string const& name)
{
    auto const start = request.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    auto const valueStart = start + name.size() + 4;
    return request.substr(valueStart, request.find("\r\n", valueStart) - valueStart);
}

}
