#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace zinnialedge::daemons {

/// Runs `signals` until the handler of the stop signal stops the event loop, then performs the daemon's planned stop.
/// A second stop signal ends the planned stop early.
template <typename Daemon>
void runUntilStopSignal(boost::asio::io_context& signals, boost::asio::signal_set& stop, Daemon& daemon)
{
    signals.run();
    bool shouldStopNow = false;
    stop.async_wait([&](boost::system::error_code, int) { shouldStopNow = true; });
    signals.restart();
    daemon.stopGracefully([&] {
        signals.poll();
        return shouldStopNow;
    });
}

}
