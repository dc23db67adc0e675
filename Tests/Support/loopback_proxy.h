#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace zinnialedge::tests {

enum class link_state {
    healthy,
    /// Each chunk of bytes is forwarded after a fixed delay.
    delayed,
    /// Bytes to the target are forwarded; bytes from the target are withheld.
    replies_withheld,
    /// Bytes are withheld in both directions; connections stay open.
    unresponsive,
    /// Connections are reset, and so are new ones as soon as they are open.
    reset,
    /// Open connections live on; new ones are reset as soon as they are open.
    no_new_connections,
    /// Connections that are open when the state is set are silent for good; new ones work.
    old_connections_silent,
};

/// Proxies TCP connections to a target on loopback and injects faults. The target sees the address from which a connection came. All
/// proxies share one event loop.
class loopback_proxy {
public:
    loopback_proxy(boost::asio::io_context&, model::endpoint target);

    model::endpoint listenEndpoint() const;
    void setState(link_state state) { m_state = state; }
    /// Sets the state of the connections from one source address, which replaces the state of the others there.
    void setStateFrom(std::string const& source, link_state);
    void clearStateFrom(std::string const& source);
    /// Resets all open connections (with RST) on the thread of the event loop.
    void resetConnections();

    struct proxied_connection;

private:
    void accept();
    void readChunk(std::shared_ptr<proxied_connection> const&, bool isTowardsTarget);
    void forward(std::shared_ptr<proxied_connection> const&, bool isTowardsTarget, std::size_t bytes);
    link_state stateOf(proxied_connection const&) const;
    static bool isWithheld(link_state, bool isTowardsTarget);
    void reset(std::shared_ptr<proxied_connection> const&);
    void closeConnection(std::shared_ptr<proxied_connection> const&);

    boost::asio::io_context& m_context;
    model::endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<link_state> m_state { link_state::healthy };
    mutable std::mutex m_mutex;
    std::map<std::string, link_state> m_statesBySource;
    std::map<std::string, std::chrono::steady_clock::time_point> m_stateTimesBySource;
    std::set<std::shared_ptr<proxied_connection>> m_connections;
};

}
