#include "Daemons/planned_stop.h"
#include "Daemons/zinnialedged/daemon.h"
#include "Kernel/event_log.h"
#include "Kernel/memory.h"
#include "Libraries/zinnialedge/configuration/settings_file.h"
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "path of the JSON settings file");
DEFINE_bool(check_settings, false, "check the settings file and exit");

using namespace zinnialedge;

static constexpr int exitStartFailed = 1;
static constexpr int exitInvalidSettings = 2;

int main(int argumentCount, char** arguments)
{
    kernel::limitRetainedMemory();
    gflags::SetVersionString(ZINNIALEDGE_VERSION);
    gflags::SetUsageMessage("--settings FILE [--check_settings]");
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    // The handlers are installed first: a stop signal during startup leads to a planned stop, and SIGHUP does not end the process.
    boost::asio::io_context signals;
    boost::asio::signal_set stop { signals, SIGTERM, SIGINT };
    stop.async_wait([&signals](boost::system::error_code, int) { signals.stop(); });
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
    auto const settings = configuration::parseSettingsFile(FLAGS_settings, configuration::readTextFile(FLAGS_settings), configuration::parseDaemonSettings);
    if (!settings)
        return exitInvalidSettings;
    if (FLAGS_check_settings) {
        std::cout << FLAGS_settings << ": valid\n";
        return 0;
    }
    kernel::openLog(settings->name, settings->logLevel);
    auto createdDaemon = daemons::daemon::create(*settings);
    if (!createdDaemon) {
        kernel::logEvent(kernel::log_level::error, "start_failed", { { "reason", createdDaemon.error().message } });
        return exitStartFailed;
    }
    (*createdDaemon)->start();
    daemons::runUntilStopSignal(signals, stop, **createdDaemon);
    createdDaemon->reset();
    daemons::endProcess();
}
