#include "Tests/Soak/soak_run.h"

#include <algorithm>

namespace zinnialedge::tests::soak {

using namespace std::chrono_literals;

/// The first kinds of faults are those of daemons and of the store.
static constexpr std::uint64_t lastKindOfStoreOrDaemon = 4;

void soak_run::setStoreFaultMode(store_stand_in::trouble mode)
{
    m_fleet.store().setFaultMode(mode);
    m_watches.faults.recordStore(mode == store_stand_in::trouble::none);
}

void soak_run::injectFault()
{
    auto const index = m_random() % FLAGS_daemons;
    auto& daemon = m_fleet.daemon(index);
    // The non-idempotent service has only the last two of all leafs, so a third of the leaf faults is directed at them.
    auto& leaf = *m_leafs[m_random() % 3 == 0 ? m_leafs.size() - 1 - m_random() % 2 : m_random() % m_leafs.size()];
    bool const isDaemonFault = m_random() % 3 == 0;
    if (isDaemonFault && (m_isStopping[index] || !FLAGS_daemon_faults))
        return;
    auto const name = " daemon" + std::to_string(index);
    auto const kind = isDaemonFault ? m_random() % 3 : 3 + m_random() % 9;
    if (kind <= lastKindOfStoreOrDaemon && std::chrono::steady_clock::now() < m_undisturbedUntil)
        return;
    switch (kind) {
    case 0:
        recordEvent("SIGKILL" + name);
        m_watches.faults.beginDaemonFault(index);
        ++m_abruptFaults[index];
        daemon.process.reset();
        m_fleet.start(index);
        ++m_abruptFaults[index];
        m_watches.faults.endDaemonFault(index);
        return;
    case 1:
        startPlannedStop(index);
        return;
    case 2:
        recordEvent("pause" + name);
        m_watches.faults.beginDaemonFault(index);
        ++m_abruptFaults[index];
        daemon.process->pause();
        std::this_thread::sleep_for(std::chrono::milliseconds { 200 + m_random() % 1500 });
        daemon.process->signal(SIGCONT);
        ++m_abruptFaults[index];
        m_watches.faults.endDaemonFault(index);
        return;
    case 3:
        recordEvent("store unresponsive");
        setStoreFaultMode(store_stand_in::trouble::silent);
        return;
    case 4:
        recordEvent("store busy");
        setStoreFaultMode(store_stand_in::trouble::busy);
        return;
    case 5:
    case 6:
        recordEvent("store healthy, history dropped");
        setStoreFaultMode(store_stand_in::trouble::none);
        m_fleet.store().discardHistory();
        return;
    case 7:
        recordEvent("new version declared");
        declareNextVersion();
        return;
    case 8:
        recordEvent("faulty replies of leaf " + leaf.name);
        leaf.faultsPerThousand = 200;
        return;
    case 9: {
        auto const state = static_cast<link_state>(m_random() % 4);
        recordEvent("link state " + std::to_string(static_cast<int>(state)) + " of " + leaf.name);
        leaf.hasHealthyLink = state == link_state::healthy;
        leaf.proxy.setState(state);
        return;
    }
    case 10:
        recordEvent("connections reset at leaf " + leaf.name);
        leaf.proxy.resetConnections();
        return;
    default:
        recordEvent("healthy leaf " + leaf.name);
        leaf.faultsPerThousand = 0;
        leaf.proxy.setState(link_state::healthy);
        leaf.hasHealthyLink = true;
        return;
    }
}

void soak_run::changeSettings()
{
    if (m_settingsRandom() % 8 != 0)
        return;
    auto const index = m_settingsRandom() % FLAGS_daemons;
    auto const changeKind = m_settingsRandom() % 3;
    bool const isSignalled = m_settingsRandom() % 2 == 0;
    // The daemon may be starting, and a process that starts with invalid settings exits.
    if (m_isStopping[index] || !m_fleet.isReady(index))
        return;
    recordEvent("settings " + std::to_string(changeKind) + " of daemon" + std::to_string(index));
    m_fleet.replaceSetting(index, "log_level", changeKind == 0 ? "none" : "info");
    m_fleet.replaceSetting(index, "stop_time_s", changeKind == 1 ? 5 : 6);
    if (isSignalled)
        m_fleet.daemon(index).process->signal(SIGHUP);
    if (changeKind == 0) {
        std::this_thread::sleep_for(50ms);
        m_fleet.replaceSetting(index, "log_level", "info");
    }
}

void soak_run::changeStoreOrLeafs()
{
    if (m_returnRandom() % 5 != 0)
        return;
    auto& leaf = *m_leafs[m_returnRandom() % m_leafs.size()];
    switch (m_returnRandom() % 6) {
    case 0:
        recordEvent("store copied");
        m_fleet.store().keepCopy();
        return;
    case 1:
    case 2:
        recordEvent("store returned from its copy");
        m_fleet.store().restoreCopy();
        std::this_thread::sleep_for(std::chrono::milliseconds { m_returnRandom() % 300 });
        // The operator and the leafs write again what the copy lacks.
        declareNextVersion();
        for (auto const& each : m_leafs)
            registerInStore(*each);
        restoreEvacuations();
        return;
    case 3:
        recordEvent("leaf " + leaf.name + " says that it is leaving");
        leaf.isLeaving = true;
        return;
    case 4:
        leaf.pauseLength = std::chrono::milliseconds { 100 + m_returnRandom() % 1500 };
        recordEvent("leaf " + leaf.name + " asks for pauses of " + std::to_string(leaf.pauseLength.load().count()) + " ms");
        return;
    default:
        recordEvent("leaf " + leaf.name + " restarted");
        restartLeaf(leaf);
        return;
    }
}

void soak_run::changeLimits()
{
    if (m_limitRandom() % 12 != 0)
        return;
    auto& leaf = *m_leafs[m_limitRandom() % m_leafs.size()];
    auto const limit = m_limitRandom() % 3 == 0 ? 0.0 : 3.0 + static_cast<double>(m_limitRandom() % 30);
    recordEvent("leaf " + leaf.name + " names a limit of " + std::to_string(limit));
    leaf.limits.setLimit(limit);
}

void soak_run::changeLinks()
{
    if (!FLAGS_link_faults)
        return;
    for (auto const& event : m_linkFaults.step())
        recordEvent(event);
}

void soak_run::setLinks(std::size_t daemon, std::optional<link_state> state)
{
    auto const& source = m_fleet.daemon(daemon).callers.address;
    for (auto const& leaf : m_leafs)
        state ? leaf->proxy.setStateFrom(source, *state) : leaf->proxy.clearStateFrom(source);
}

void soak_run::registerInStore(soak_leaf& leaf)
{
    // A leaf registers itself, so that one that has ended does so when it is back.
    if (!leaf.leaf.isListening())
        return;
    // The store may have come back from a copy with ids of former incarnations.
    for (std::size_t incarnation = 0; incarnation < leaf.leaf.endCount(); ++incarnation)
        m_fleet.removeLeaf(leaf.name + "." + std::to_string(incarnation));
    leaf.registeredId = leaf.id();
    m_fleet.registerLeaf(leaf.registeredId, leaf.service, leaf.proxy.listenEndpoint(), "ready", leaf.dataCentre, leaf.startedAt);
}

void soak_run::renewEndedLeafs()
{
    for (auto const& leaf : m_leafs) {
        if (leaf->registeredId == leaf->id() || !leaf->leaf.isListening())
            continue;
        recordEvent("leaf " + leaf->registeredId + " ended");
        restartLeaf(*leaf);
    }
}

void soak_run::restartLeaf(soak_leaf& leaf)
{
    leaf.isLeaving = false;
    leaf.pauseLength = std::chrono::milliseconds { 0 };
    ++leaf.startedAt;
    registerInStore(leaf);
}

void soak_run::recordExitTime(std::chrono::steady_clock::duration sinceLastLine)
{
    std::lock_guard const lock(m_plannedStopFindingsMutex);
    m_longestExitTime = std::max(m_longestExitTime, sinceLastLine);
}

void soak_run::addPlannedStopFinding(std::string finding)
{
    std::lock_guard const lock(m_plannedStopFindingsMutex);
    m_plannedStopFindings.push_back(std::move(finding));
}

void soak_run::startPlannedStop(std::size_t index, std::function<void()> const& beforeStart, std::vector<later_signal> const& signals)
{
    recordEvent("SIGTERM daemon" + std::to_string(index) + (signals.empty() ? "" : " and " + std::to_string(signals.size()) + " further signals"));
    m_isStopping[index] = true;
    m_watches.faults.beginDaemonFault(index);
    m_plannedStopThreads.emplace_back([this, index, beforeStart, signals] {
        auto& daemon = m_fleet.daemon(index);
        // Until its main function runs, a process has no signal handlers and no requests that could be lost.
        std::ignore = daemon.process->waitForLine("event=started");
        daemon.process->signal(SIGTERM);
        auto const signalledAt = std::chrono::steady_clock::now();
        std::optional<int> code;
        for (auto const& each : signals) {
            code = daemon.process->waitForExit(each.delay);
            if (code)
                break;
            if (each.number == SIGHUP)
                m_fleet.replaceSetting(index, "stop_time_s", 5 + each.delay.count() % 2);
            daemon.process->signal(each.number);
        }
        if (!code)
            code = daemon.process->waitForExit(std::chrono::duration_cast<std::chrono::milliseconds>(signalledAt + 6s - std::chrono::steady_clock::now()));
        auto const endedAfter = std::chrono::steady_clock::now() - signalledAt;
        if (code != 0) {
            // The process is killed below.
            ++m_abruptFaults[index];
            // What its threads wait for shows why it has not ended.
            auto const threadStates = code ? std::vector<std::string> {} : daemon.process->threadStates();
            addPlannedStopFinding("LOST: exit code of a planned stop: " + (code ? std::to_string(*code) : std::string { "none within 6 s" }) + " of daemon" + std::to_string(index));
            for (auto const& line : daemon.process->lines())
                addPlannedStopFinding("  " + line);
            for (auto const& state : threadStates)
                addPlannedStopFinding("  thread " + state);
        }
        auto const lastLine = daemon.process->waitForLine("event=stopped", 100ms);
        if (index >= FLAGS_old_daemons && (!lastLine || logFieldValue(*lastLine, "requests_interrupted") != "0"))
            addPlannedStopFinding("LOST: daemon" + std::to_string(index) + " ended with: " + lastLine.value_or("no last line"));
        if (code && lastLine)
            recordExitTime(endedAfter - std::chrono::milliseconds { std::stoll(logFieldValue(*lastLine, "since_signal_ms")) });
        if (beforeStart)
            beforeStart();
        m_fleet.start(index);
        if (code != 0)
            ++m_abruptFaults[index];
        m_watches.faults.endDaemonFault(index);
        m_isStopping[index] = false;
    });
}

void soak_run::stopNextDaemon()
{
    static constexpr std::uint64_t stopInterval = 8;
    static constexpr std::uint64_t maximumSignals = 6;
    if (!FLAGS_planned_stops || m_stopRandom() % stopInterval != 0)
        return;
    auto const index = m_stopRandom() % FLAGS_daemons;
    std::vector<later_signal> signals(m_stopRandom() % (maximumSignals + 1));
    for (auto& each : signals) {
        static constexpr std::array numbers { SIGTERM, SIGINT, SIGHUP };
        each = { std::chrono::milliseconds { m_stopRandom() % 1500 }, numbers.at(m_stopRandom() % numbers.size()) };
    }
    auto const stoppingCount = static_cast<std::size_t>(std::count(m_isStopping.begin(), m_isStopping.begin() + static_cast<std::ptrdiff_t>(FLAGS_daemons), true));
    if (!m_isStopping[index] && 2 * (stoppingCount + 1) <= FLAGS_daemons)
        startPlannedStop(index, {}, signals);
}

void soak_run::joinPlannedStops()
{
    for (auto& each : m_plannedStopThreads)
        each.join();
    m_plannedStopThreads.clear();
}

void soak_run::removeFaults()
{
    joinPlannedStops();
    while (m_replacedCount < FLAGS_old_daemons) {
        replaceNextOldDaemon();
        joinPlannedStops();
    }
    m_areMarkedRequestsSent = false;
    std::this_thread::sleep_for(leafDownTime);
    renewEndedLeafs();
    recordEvent("healed");
    m_linkFaults.restoreAll();
    endEvacuations();
    setStoreFaultMode(store_stand_in::trouble::none);
    for (auto const& leaf : m_leafs) {
        leaf->faultsPerThousand = 0;
        leaf->proxy.setState(link_state::healthy);
        leaf->hasHealthyLink = true;
        leaf->limits.setLimit(0);
        if (leaf->isLeaving || leaf->pauseLength.load().count() > 0)
            restartLeaf(*leaf);
        registerInStore(*leaf);
    }
    declareNextVersion();
}

}
