#include "Tests/Soak/soak_run.h"

#include <fstream>
#include <iostream>

namespace zinnialedge::tests::soak {

using namespace std::chrono_literals;

/// Time after the end of the faults within which the system must recover.
static constexpr auto recoveryTime = 8s;
static constexpr auto probeDuration = 3s;
/// Minimum share of requests served after the recovery; less than 1 because a connection to a daemon that just stopped may still fail.
static constexpr double minimumServedShare = 0.97;
static constexpr std::size_t callerCount = 6;
static constexpr std::size_t pressingCallerCount = 3;

soak_run::soak_run()
    : m_random(kernel::makeSeededRandom(FLAGS_seed))
    , m_fleet(FLAGS_daemons)
{
    m_proxyThread = std::thread { [this] { m_context.run(); } };
    for (auto const* const target : { "/single/poison", "/gather/poison" })
        m_watches.marked.push_back(std::make_unique<marked_request_watch>(target));
    for (std::size_t index = 0; index < FLAGS_daemons; ++index)
        m_watches.daemonsByAddress[m_fleet.daemon(index).callers.address] = index;
    if (FLAGS_quotas)
        m_watches.tenants.addLasting({ { "name", quota_watch::tenant }, { "rate_per_s", quota_watch::requestsPerSecond }, { "burst", quota_watch::burst } }, quota_watch::key);
    m_fleet.setConfigurationHook([this](boost::json::object& configuration) {
        if (FLAGS_tenants && areDaemonsUpgraded())
            m_watches.tenants.completeConfiguration(configuration);
    });
    addLeafs();
    declareNextVersion();
    m_fleet.store().keepCopy();
    for (std::size_t index = 0; index < FLAGS_daemons; ++index) {
        m_fleet.setDataCentre(index, index % 2 == 0 ? "here" : "there");
        if (index < FLAGS_old_daemons)
            m_fleet.daemon(index).programFolder = FLAGS_old_programs;
        else
            completeSettings(m_fleet, index);
        m_fleet.start(index);
    }
}

soak_run::~soak_run()
{
    joinPlannedStops();
    m_shouldStopCallers = true;
    for (auto& each : m_callerThreads)
        each.join();
    m_context.stop();
    m_proxyThread.join();
}

int soak_run::run()
{
    if (!m_fleet.waitUntilReady()) {
        std::cerr << "soak: the daemons did not become ready\n";
        return 1;
    }
    for (std::size_t number = 0; number < callerCount; ++number)
        m_callerThreads.emplace_back([this, number] { callLoop(number); });
    for (std::size_t number = 0; FLAGS_quotas && number < pressingCallerCount; ++number)
        m_callerThreads.emplace_back([this, number] { pressLoop(number); });
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds { FLAGS_seconds };
    while (std::chrono::steady_clock::now() < end) {
        if (FLAGS_leaf_faults) {
            injectFault();
            changeSettings();
            changeStoreOrLeafs();
            changeLimits();
        }
        changeLinks();
        replaceOldDaemons();
        stopNextDaemon();
        changeTenants();
        changeEvacuations();
        renewEndedLeafs();
        std::this_thread::sleep_for(std::chrono::milliseconds { 20 + m_random() % 150 });
    }
    removeFaults();
    std::this_thread::sleep_for(recoveryTime);
    m_watches.checker.resetCounts();
    std::this_thread::sleep_for(probeDuration);
    m_shouldStopCallers = true;
    for (auto& each : m_callerThreads)
        each.join();
    m_callerThreads.clear();
    m_watches.checker.checkFinalState();
    return report();
}

void soak_run::addLeafs()
{
    auto const add = [this](std::string const& id, std::string const& service, std::string const& dataCentre) {
        m_leafs.push_back(std::make_unique<soak_leaf>(m_context, id, service, dataCentre, m_watches, m_random()));
        registerInStore(*m_leafs.back());
    };
    for (std::size_t shard = 0; shard < FLAGS_shards + 2; ++shard) {
        auto const service = "shard" + std::to_string(shard);
        add(service + ".0", service, shard % 2 == 0 ? "here" : "there");
        add(service + ".1", service, shard % 2 == 0 ? "there" : "here");
    }
    add("desk.0", "desk", "here");
    add("desk.1", "desk", "there");
}

void soak_run::declareNextVersion()
{
    auto const shards = FLAGS_shards + m_version % 3;
    m_watches.checker.recordDeclaredShardCount(shards);
    bool const hasTenants = FLAGS_tenants && areDaemonsUpgraded();
    m_fleet.declare(++m_version, shards, false);
    if (hasTenants)
        m_watches.tenants.recordDeclared(m_version == 1);
}

void soak_run::recordEvent(std::string const& description) { m_events.push_back(std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_startTime).count()) + " ms " + description); }

int soak_run::report()
{
    auto findings = m_watches.checker.findings();
    findings.insert(findings.end(), m_plannedStopFindings.begin(), m_plannedStopFindings.end());
    auto const add = [&](std::vector<std::string> const& more) { findings.insert(findings.end(), more.begin(), more.end()); };
    add(m_watches.tenants.findings());
    add(m_watches.quotas.findings());
    add(m_watches.evacuations.findings());
    bool const haveDaemonsFaults = FLAGS_daemon_faults || FLAGS_old_daemons > 0;
    // A daemon that is restarted or paused is excused from the limits that it knew.
    for (auto const& leaf : m_leafs) {
        auto const overruns = haveDaemonsFaults ? std::vector<std::string> {} : leaf->limits.findings();
        for (auto const& each : overruns)
            findings.push_back(each + " of " + leaf->name);
    }
    // Daemons that are killed, or leafs that end while a daemon sleeps, are not counted.
    for (auto const& marked : m_watches.marked) {
        auto const overruns = haveDaemonsFaults ? std::vector<std::string> {} : marked->findings();
        findings.insert(findings.end(), overruns.begin(), overruns.end());
    }
    auto const linkFindings = haveDaemonsFaults ? std::vector<std::string> {} : m_linkFaults.findings();
    findings.insert(findings.end(), linkFindings.begin(), linkFindings.end());
    auto const servedShare = static_cast<double>(m_watches.checker.servedCount()) / static_cast<double>(std::max<std::size_t>(m_watches.checker.requestCount(), 1));
    if (servedShare < minimumServedShare)
        findings.push_back("RECOVER: " + std::to_string(m_watches.checker.servedCount()) + " of " + std::to_string(m_watches.checker.requestCount()) + " requests served after the faults");
    std::cout << "soak: seed " << FLAGS_seed << ", " << m_events.size() << " faults, " << m_watches.checker.servedCount() << " of " << m_watches.checker.requestCount() << " requests served after them, " << (FLAGS_link_faults ? m_linkFaults.summary() + ", " : std::string {}) << (FLAGS_tenants ? m_watches.tenants.summary() + ", " : std::string {}) << (FLAGS_quotas ? m_watches.quotas.summary() + ", " : std::string {}) << (FLAGS_evacuations ? m_watches.evacuations.summary() + ", " : std::string {}) << (FLAGS_planned_stops ? "longest exit " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_longestExitTime).count()) + " ms, " : std::string {}) << findings.size() << " findings\n";
    if (findings.empty())
        return 0;
    for (auto const& each : findings)
        std::cout << "  " << each << "\n";
    for (auto const& each : m_events)
        std::cout << "    " << each << "\n";
    writeLogs();
    return 1;
}

void soak_run::writeLogs()
{
    if (FLAGS_logs.empty())
        return;
    std::filesystem::create_directories(FLAGS_logs);
    for (std::size_t index = 0; index < FLAGS_daemons; ++index) {
        std::ofstream file { std::filesystem::path { FLAGS_logs } / ("daemon" + std::to_string(index) + ".txt") };
        for (auto const& line : m_fleet.daemon(index).process->lines())
            file << line << "\n";
    }
}

}
