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
    /// Each piece of bytes is held up for a while.
    delayed,
    /// Bytes towards the target pass, its answers do not.
    cut_one_way,
    /// No bytes pass, and no connection ends.
    silent,
};

/// Passes TCP connections on to a target on loopback, with faults. All proxies share one event loop.
class loopback_proxy {
public:
    loopback_proxy(boost::asio::io_context&, model::endpoint target);

    model::endpoint place() const;
    void setState(link_state state) { m_state = state; }
    /// Resets every connection that is open.
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
