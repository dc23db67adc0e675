#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <set>

namespace zinnialedge::tests::soak {

enum class link_state {
    sound,
    /// Each chunk of bytes is forwarded after a fixed delay.
    delayed,
    /// Bytes to the target are forwarded; bytes from the target are withheld.
    cut_one_way,
    /// Bytes are withheld in both directions; connections stay open.
    silent,
};

/// Proxies TCP connections to a target on loopback and injects faults. All proxies share one event loop.
class loopback_proxy {
public:
    loopback_proxy(boost::asio::io_context&, model::endpoint target);

    model::endpoint place() const;
    void setState(link_state state) { m_state = state; }
    /// Resets all open connections (with RST) on the thread of the event loop.
    void resetAll();

    struct link;

private:
    void accept();
    void pump(std::shared_ptr<link> const&, bool isTowardsTarget);
    void forward(std::shared_ptr<link> const&, bool isTowardsTarget, std::size_t bytes);
    bool isHeld(bool isTowardsTarget) const;
    void remove(std::shared_ptr<link> const&);

    boost::asio::io_context& m_context;
    model::endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<link_state> m_state { link_state::sound };
    std::set<std::shared_ptr<link>> m_links;
};

}
