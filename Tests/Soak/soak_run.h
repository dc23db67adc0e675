#pragma once

#include "Tests/Soak/link_faults.h"
#include "Tests/Soak/soak_flags.h"
#include "Tests/Soak/soak_leaf.h"
#include <array>
#include <boost/asio/executor_work_guard.hpp>

namespace zinnialedge::tests::soak {

constexpr std::size_t maxDaemons = 250;

/// Adds the settings of the parts that this run asks for. Other builds may not know them.
void completeSettings(edge_fleet&, std::size_t index);

/// One run: daemons, leafs and callers, the random faults, and the checks at the end.
class soak_run {
public:
    soak_run();
    ~soak_run();
    soak_run(soak_run const&) = delete;
    soak_run& operator=(soak_run const&) = delete;

    /// Returns the exit code of the program.
    int run();

private:
    void addLeafs();
    void declareNextVersion();
    void recordEvent(std::string const& description);

    void setStoreFaultMode(store_stand_in::trouble);
    void injectFault();
    /// Changes settings of a daemon, sometimes to an invalid value and sometimes with a SIGHUP.
    void changeSettings();
    /// Lets the store return from an older copy, and lets leafs leave, restart or ask for pauses.
    void changeStoreOrLeafs();
    /// Lets leafs name request limits or end them.
    void changeLimits();
    /// Cuts daemons off from all leafs, or restores them.
    void changeLinks();
    void setLinks(std::size_t daemon, std::optional<link_state>);
    void registerInStore(soak_leaf&);
    void renewEndedLeafs();
    void restartLeaf(soak_leaf&);
    /// A signal during a planned stop, some time after the one before.
    struct later_signal {
        std::chrono::milliseconds delay { 0 };
        int number { 0 };
    };

    /// Stops the daemon with SIGTERM and restarts it, on a separate thread, so that other faults continue to be injected.
    void startPlannedStop(std::size_t index, std::function<void()> const& beforeStart = {}, std::vector<later_signal> const& signals = {});
    /// Begins a planned stop of a daemon, unless half of the daemons are stopping.
    void stopNextDaemon();
    void addPlannedStopFinding(std::string);
    void recordExitTime(std::chrono::steady_clock::duration sinceLastLine);
    /// Returns a number that changes when the daemon is killed or paused, which may cut requests. It is odd while this goes on.
    unsigned abruptFaultsOf(std::size_t index) const { return m_abruptFaults[index]; }
    void joinPlannedStops();
    void removeFaults();

    /// Removes the faults of the store and lets neither it nor the daemons have faults for a time.
    void keepUndisturbed();
    /// Adds and withdraws tenants and keys.
    void changeTenants();
    /// Begins and ends evacuations of data centres.
    void changeEvacuations();
    void endEvacuations();
    /// Writes the evacuations again that the store lacks, and removes those that have ended, after it came back from a copy.
    void restoreEvacuations();
    /// Replaces the daemons of the other build one after the other.
    void replaceOldDaemons();
    void replaceNextOldDaemon();
    bool areDaemonsUpgraded() const { return m_upgradedCount == FLAGS_old_daemons; }

    void callLoop(std::size_t number);
    /// Sends far more requests of the tenant with a quota than the quota allows.
    void pressLoop(std::size_t number);

    int report();
    void writeLogs();

    kernel::random_hook m_random;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard { m_context.get_executor() };
    // Separate random number generators for each kind of fault keep the other faults of a seed unchanged.
    kernel::random_hook m_settingsRandom { kernel::makeSeededRandom(FLAGS_seed + 1000) };
    kernel::random_hook m_limitRandom { kernel::makeSeededRandom(FLAGS_seed + 3000) };
    link_faults m_linkFaults { FLAGS_seed + 4000, FLAGS_daemons, [this](std::size_t daemon, std::optional<link_state> state) { setLinks(daemon, state); } };
    kernel::random_hook m_returnRandom { kernel::makeSeededRandom(FLAGS_seed + 2000) };
    soak_watches m_watches { FLAGS_seed + 5000, FLAGS_daemons };
    kernel::random_hook m_tenantRandom { kernel::makeSeededRandom(FLAGS_seed + 6000) };
    kernel::random_hook m_evacuationRandom { kernel::makeSeededRandom(FLAGS_seed + 7000) };
    kernel::random_hook m_stopRandom { kernel::makeSeededRandom(FLAGS_seed + 8000) };
    std::atomic<bool> m_areMarkedRequestsSent { FLAGS_marked_requests };
    std::vector<std::unique_ptr<soak_leaf>> m_leafs;
    edge_fleet m_fleet;
    std::thread m_proxyThread;
    std::vector<std::thread> m_callerThreads;
    std::atomic<bool> m_shouldStopCallers { false };
    std::uint64_t m_version { 0 };
    std::vector<std::thread> m_plannedStopThreads;
    std::array<std::atomic<bool>, maxDaemons> m_isStopping {};
    std::array<std::atomic<unsigned>, maxDaemons> m_abruptFaults {};
    std::mutex m_plannedStopFindingsMutex;
    std::vector<std::string> m_plannedStopFindings;
    /// Longest time from the last log line of a planned stop to the end of the process.
    std::chrono::steady_clock::duration m_longestExitTime {};
    /// Number of daemons whose replacement has begun, and of those that have been started again from this build.
    std::size_t m_replacedCount { 0 };
    std::atomic<std::size_t> m_upgradedCount { 0 };
    /// Time until which the store and the daemons get no faults, so that a change must be applied within the platform's bound.
    kernel::time_point m_undisturbedUntil;
    std::vector<std::string> m_events;
    std::chrono::steady_clock::time_point m_startTime { std::chrono::steady_clock::now() };
};

}
