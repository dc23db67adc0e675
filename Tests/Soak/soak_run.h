#pragma once

#include "Tests/Soak/link_faults.h"
#include "Tests/Soak/soak_flags.h"
#include "Tests/Soak/soak_leaf.h"
#include <array>
#include <boost/asio/executor_work_guard.hpp>

namespace zinnialedge::tests::soak {

constexpr std::size_t maxDaemons = 250;

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
    /// Stops the daemon with SIGTERM and restarts it, on a separate thread, so that other faults continue to be injected.
    void startPlannedStop(std::size_t index);
    void joinPlannedStops();
    void removeFaults();

    void callLoop(std::size_t number);

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
    soak_checker m_checker;
    soak_leaf::watches m_markedRequests;
    std::atomic<bool> m_areMarkedRequestsSent { FLAGS_marked_requests };
    std::vector<std::unique_ptr<soak_leaf>> m_leafs;
    std::map<std::string, std::string> m_dataCentres;
    edge_fleet m_fleet;
    std::thread m_proxyThread;
    std::vector<std::thread> m_callerThreads;
    std::atomic<bool> m_shouldStopCallers { false };
    std::uint64_t m_version { 0 };
    std::vector<std::thread> m_plannedStopThreads;
    std::array<std::atomic<bool>, maxDaemons> m_isStopping {};
    std::mutex m_plannedStopFindingsMutex;
    std::vector<std::string> m_plannedStopFindings;
    std::vector<std::string> m_events;
    std::chrono::steady_clock::time_point m_startTime { std::chrono::steady_clock::now() };
};

}
