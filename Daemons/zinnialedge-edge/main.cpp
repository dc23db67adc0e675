#include "Daemons/planned_stop.h"
#include "Daemons/zinnialedge-edge/edge_daemon.h"
#include "Kernel/event_log.h"
#include "Kernel/memory.h"
#include "Libraries/zinnialedge/configuration/settings_file.h"
#include "Libraries/zinnialedge/configuration/settings_watch.h"
#include "platform/edge_codec.h"
#include "platform/store_codec.h"
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "path of the JSON settings file");
DEFINE_bool(check_settings, false, "check the settings file and exit");

using namespace zinnialedge;

static constexpr int exitStartFailed = 1;
static constexpr int exitInvalidSettings = 2;

/// Interval between checks of the settings file, which may change without a signal.
static constexpr std::chrono::seconds settingsCheckInterval { 2 };

/// Applies changed settings. Logs each problem of an invalid settings file and keeps the current settings in effect.
static void reloadSettings(configuration::settings_watch& watch, daemons::edge_daemon& daemon)
{
    auto const text = watch.readIfChanged();
    if (!text)
        return;
    auto const settings = configuration::parseEdgeSettings(*text);
    if (settings) {
        daemon.applySettings(*settings);
        return;
    }
    for (auto const& problem : settings.error())
        kernel::logEvent(kernel::log_level::error, "settings_wrong", { { "file", FLAGS_settings }, { "problem", problem } });
}

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
    boost::asio::signal_set reload { signals, SIGHUP };
    configuration::settings_watch watch { FLAGS_settings };
    auto const settings = configuration::parseSettingsFile(FLAGS_settings, watch.text(), configuration::parseEdgeSettings);
    if (!settings)
        return exitInvalidSettings;
    if (FLAGS_check_settings) {
        std::cout << FLAGS_settings << ": valid\n";
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    kernel::openLog(settings->name, settings->logLevel);
    auto createdDaemon = daemons::edge_daemon::create(*settings, { platform::makeEdgeProtocol(), platform::makeStoreProtocol() });
    if (!createdDaemon) {
        kernel::logEvent(kernel::log_level::error, "start_failed", { { "reason", createdDaemon.error().message } });
        return exitStartFailed;
    }
    std::function<void()> const armReloadSignal = [&] {
        reload.async_wait([&](boost::system::error_code failure, int) {
            if (failure)
                return;
            kernel::logEvent(kernel::log_level::info, "settings_reload_asked", { { "file", FLAGS_settings } });
            reloadSettings(watch, **createdDaemon);
            armReloadSignal();
        });
    };
    armReloadSignal();
    boost::asio::steady_timer settingsTimer { signals };
    std::function<void()> const armSettingsTimer = [&] {
        settingsTimer.expires_after(settingsCheckInterval);
        settingsTimer.async_wait([&](boost::system::error_code failure) {
            if (failure)
                return;
            reloadSettings(watch, **createdDaemon);
            armSettingsTimer();
        });
    };
    armSettingsTimer();
    (*createdDaemon)->start();
    daemons::runUntilStopSignal(signals, stop, **createdDaemon);
    createdDaemon->reset();
    daemons::endProcess();
}
