#include "Tests/Support/loopback_proxy.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <sys/socket.h>

namespace zinnialedge::tests {

namespace asio = boost::asio;
using asio::ip::tcp;

static constexpr std::chrono::milliseconds heldBytesCheckInterval { 20 };
static constexpr std::chrono::milliseconds forwardingDelay { 40 };

struct loopback_proxy::proxied_connection {
    explicit proxied_connection(asio::io_context& context, tcp::socket accepted)
        : caller(std::move(accepted))
        , target(context)
    {
    }

    tcp::socket caller;
    tcp::socket target;
    std::string source;
    std::chrono::steady_clock::time_point acceptedAt { std::chrono::steady_clock::now() };
    std::array<std::array<char, 16'384>, 2> buffers {};
    bool isEnded { false };
};

loopback_proxy::loopback_proxy(asio::io_context& context, model::endpoint target)
    : m_context(context)
    , m_target(std::move(target))
    , m_acceptor(context, tcp::endpoint { asio::ip::make_address("127.0.0.1"), 0 })
{
    accept();
}

model::endpoint loopback_proxy::listenEndpoint() const
{
    return { "127.0.0.1", m_acceptor.local_endpoint().port() };
}

void loopback_proxy::resetConnections()
{
    asio::post(m_context, [this] {
        for (auto const& each : std::set { m_connections })
            reset(each);
    });
}

void loopback_proxy::reset(std::shared_ptr<proxied_connection> const& connection)
{
    boost::system::error_code ignored;
    connection->caller.set_option(asio::socket_base::linger(true, 0), ignored);
    connection->target.set_option(asio::socket_base::linger(true, 0), ignored);
    closeConnection(connection);
}

void loopback_proxy::setStateFrom(std::string const& source, link_state state)
{
    {
        std::lock_guard const lock(m_mutex);
        m_statesBySource[source] = state;
        m_stateTimesBySource[source] = std::chrono::steady_clock::now();
    }
    if (state != link_state::reset)
        return;
    asio::post(m_context, [this, source] {
        for (auto const& each : std::set { m_connections }) {
            if (each->source == source)
                reset(each);
        }
    });
}

void loopback_proxy::clearStateFrom(std::string const& source)
{
    std::lock_guard const lock(m_mutex);
    m_statesBySource.erase(source);
}

link_state loopback_proxy::stateOf(proxied_connection const& connection) const
{
    std::lock_guard const lock(m_mutex);
    auto const found = m_statesBySource.find(connection.source);
    if (found == m_statesBySource.end())
        return m_state;
    if (found->second == link_state::old_connections_silent)
        return connection.acceptedAt < m_stateTimesBySource.at(connection.source) ? link_state::unresponsive : link_state::healthy;
    return found->second;
}

void loopback_proxy::closeConnection(std::shared_ptr<proxied_connection> const& ended)
{
    if (std::exchange(ended->isEnded, true))
        return;
    boost::system::error_code ignored;
    ended->caller.close(ignored);
    ended->target.close(ignored);
    m_connections.erase(ended);
}

void loopback_proxy::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code failure, tcp::socket accepted) {
        if (failure)
            return;
        auto const connection = std::make_shared<proxied_connection>(m_context, std::move(accepted));
        boost::system::error_code gone;
        connection->source = connection->caller.remote_endpoint(gone).address().to_string();
        m_connections.insert(connection);
        if (auto const state = stateOf(*connection); state == link_state::reset || state == link_state::no_new_connections) {
            reset(connection);
            accept();
            return;
        }
        // The target sees the address of the source.
        connection->target.open(tcp::v4(), gone);
        connection->target.bind({ asio::ip::make_address(connection->source, gone), 0 }, gone);
        connection->target.async_connect({ asio::ip::make_address(m_target.address), m_target.port }, [this, connection](boost::system::error_code refused) {
            if (refused) {
                closeConnection(connection);
                return;
            }
            boost::system::error_code ignored;
            connection->caller.set_option(tcp::no_delay(true), ignored);
            connection->target.set_option(tcp::no_delay(true), ignored);
            readChunk(connection, true);
            readChunk(connection, false);
        });
        accept();
    });
}

void loopback_proxy::readChunk(std::shared_ptr<proxied_connection> const& connection, bool isTowardsTarget)
{
    auto& from = isTowardsTarget ? connection->caller : connection->target;
    from.async_read_some(asio::buffer(connection->buffers[isTowardsTarget ? 0 : 1]), [this, connection, isTowardsTarget](boost::system::error_code failure, std::size_t bytes) {
        if (failure)
            closeConnection(connection);
        else
            forward(connection, isTowardsTarget, bytes);
    });
}

static bool hasBeenReset(tcp::socket& socket)
{
    char unused = 0;
    return ::recv(socket.native_handle(), &unused, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == ECONNRESET;
}

bool loopback_proxy::isWithheld(link_state state, bool isTowardsTarget)
{
    return state == link_state::unresponsive || (state == link_state::replies_withheld && !isTowardsTarget);
}

void loopback_proxy::forward(std::shared_ptr<proxied_connection> const& connection, bool isTowardsTarget, std::size_t bytes)
{
    if (connection->isEnded)
        return;
    auto const state = stateOf(*connection);
    // Bytes that are held up are lost when their sender resets the connection.
    if (isWithheld(state, isTowardsTarget) && hasBeenReset(isTowardsTarget ? connection->caller : connection->target)) {
        reset(connection);
        return;
    }
    if (isWithheld(state, isTowardsTarget) || state == link_state::delayed) {
        bool const isDelayed = !isWithheld(state, isTowardsTarget);
        auto const timer = std::make_shared<asio::steady_timer>(m_context, isDelayed ? forwardingDelay : heldBytesCheckInterval);
        timer->async_wait([this, timer, connection, isTowardsTarget, bytes, isDelayed](boost::system::error_code) {
            if (!isDelayed || stateOf(*connection) != link_state::delayed) {
                forward(connection, isTowardsTarget, bytes);
                return;
            }
            auto& to = isTowardsTarget ? connection->target : connection->caller;
            asio::async_write(to, asio::buffer(connection->buffers[isTowardsTarget ? 0 : 1].data(), bytes), [this, connection, isTowardsTarget](boost::system::error_code failure, std::size_t) { failure ? closeConnection(connection) : readChunk(connection, isTowardsTarget); });
        });
        return;
    }
    auto& to = isTowardsTarget ? connection->target : connection->caller;
    asio::async_write(to, asio::buffer(connection->buffers[isTowardsTarget ? 0 : 1].data(), bytes), [this, connection, isTowardsTarget](boost::system::error_code failure, std::size_t) { failure ? closeConnection(connection) : readChunk(connection, isTowardsTarget); });
}

}
