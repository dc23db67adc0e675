#pragma once

#include "Kernel/event_log.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <cstdlib>
#include <functional>

namespace zinnialedge::daemons {

/// Runs `signals` until the handler of the stop signal stops the event loop, then performs the daemon's planned stop. The hook that the daemon
/// gets handles further signals, and returns whether another stop signal has arrived. Such a signal must not cut requests: a process manager
/// that stops many processes may signal one twice.
template <typename Daemon>
void runUntilStopSignal(boost::asio::io_context& signals, boost::asio::signal_set& stop, Daemon& daemon)
{
    signals.run();
    bool isRepeated = false;
    std::function<void()> const awaitStopSignal = [&] {
        stop.async_wait([&](boost::system::error_code failure, int number) {
            if (failure)
                return;
            isRepeated = true;
            kernel::logEvent(kernel::log_level::info, "stop_signal_repeated", { { "signal", number } });
            awaitStopSignal();
        });
    };
    awaitStopSignal();
    signals.restart();
    daemon.stopGracefully([&] {
        signals.poll();
        return isRepeated;
    });
}

/// Time for the last log lines at the end of the process.
inline constexpr std::chrono::milliseconds lastLinesTime { 200 };

/// Ends the process after all services have stopped. A normal exit could block: destructors of static objects in libraries may wait for library
/// threads, and the thread that writes the log for its reader.
[[noreturn]] inline void endProcess()
{
    kernel::closeLog(lastLinesTime);
    std::quick_exit(0);
}

}
