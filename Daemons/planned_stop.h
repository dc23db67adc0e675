#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace zinnialedge::daemons {

/// Runs `signals` until the handler of the stop signal stops the event loop, then performs the daemon's planned stop.
/// A second stop signal ends the planned stop early.
template <typename Daemon>
void leaveWhenStopped(boost::asio::io_context& signals, boost::asio::signal_set& stop, Daemon& daemon)
{
    signals.run();
    bool isHurried = false;
    stop.async_wait([&](boost::system::error_code, int) { isHurried = true; });
    signals.restart();
    daemon.leave([&] {
        signals.poll();
        return isHurried;
    });
}

}
