#include "Kernel/clock.h"
#include "Kernel/event_log.h"
#include "Tests/Soak/limit_watch.h"
#include "Tests/Soak/link_faults.h"
#include "Tests/Soak/marked_request_watch.h"
#include "Tests/Soak/soak_checker.h"
#include "Tests/Support/edge_fleet.h"
#include "Tests/Support/http_call.h"
#include "Tests/Support/loopback_proxy.h"
#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint64(seed, 1, "seed of the random fault schedule");
DEFINE_uint64(seconds, 15, "duration of the fault injection in seconds");
DEFINE_uint64(daemons, 4, "number of daemons");
DEFINE_uint64(shards, 6, "number of shards of the route; each shard has two leafs");
DEFINE_bool(daemon_faults, true, "whether daemons are killed, stopped and paused; without these faults the request limits of leafs are checked");
DEFINE_bool(link_faults, false, "whether daemons are cut off from all leafs; what their callers get is checked in runs without daemon faults");
DEFINE_bool(leaf_faults, true, "whether leafs, the store, settings and configurations have faults or change");
DEFINE_bool(marked_requests, true, "whether callers send requests that end the leafs that run them");
DEFINE_string(logs, "", "directory to which the daemons' logs are written if the run has findings");

using namespace zinnialedge;
using namespace zinnialedge::tests;
using namespace zinnialedge::tests::soak;
using namespace std::chrono_literals;

namespace {

/// Time after the end of the faults within which the system must recover.
constexpr auto recoveryTime = 8s;
constexpr auto probeDuration = 3s;
/// Minimum share of requests served after the recovery; less than 1 because a connection to a daemon that just stopped may still fail.
constexpr double minimumServedShare = 0.97;
constexpr std::size_t callerCount = 6;
constexpr std::size_t maxDaemons = 250;
/// One in this many requests of a caller is marked and ends the leaf that runs it.
constexpr std::size_t markedRequestInterval = 25;
constexpr auto leafDownTime = 1000ms;

/// A leaf with the proxy through which the daemons reach it.
struct soak_leaf {
    using watches = std::vector<std::unique_ptr<marked_request_watch>>;

    soak_leaf(boost::asio::io_context& context, std::string leafId, std::string leafService, soak_checker& checker, watches const& marked, std::uint64_t seed)
        : name(std::move(leafId))
        , service(std::move(leafService))
        , random(kernel::makeSeededRandom(seed))
        , leaf([this, &checker, &marked](std::string const& request) { return answer(request, checker, marked); })
        , proxy(context, leaf.place())
    {
    }

    /// Returns the id of the current incarnation: a leaf that has ended comes back under another id.
    std::string id() const { return name + "." + std::to_string(leaf.endCount()); }

    scripted_reply answer(std::string const& request, soak_checker& checker, watches const& marked)
    {
        auto const limit = limits.recordArrival();
        auto const attempt = rawHeaderValue(request, "Zinnialedge-Attempt-Id");
        if (rawHeaderValue(request, "Zinnialedge-Target-Instance") != id())
            return { "HTTP/1.1 421 Misdirected Request\r\nZinnialedge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false, false };
        if (request.starts_with("GET /health "))
            return { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, false };
        bool const shouldInjectFault = random() % 1000 < faultsPerThousand;
        auto const fault = shouldInjectFault ? random() % 4 : 99;
        if (fault == 0)
            return { "HTTP/1.1 503 Service Unavailable\r\nZinnialedge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false, false };
        if (pauseLength.load().count() > 0 && random() % 2 == 0)
            return { "HTTP/1.1 503 Service Unavailable\r\nZinnialedge-Not-Executed: 1\r\nRetry-After: " + std::to_string(std::chrono::duration<double> { pauseLength.load() }.count()) + "\r\nContent-Length: 0\r\n\r\n", false, false };
        checker.recordExecution(attempt);
        for (auto const& each : marked) {
            if (request.find(" " + each->target()) == std::string::npos)
                continue;
            if (hasHealthyLink)
                each->recordEnd();
            scripted_reply ending;
            ending.runTime = 5ms;
            ending.downTime = leafDownTime;
            return ending;
        }
        auto const body = service == "desk" ? makeBody(attempt) : makeRecords(service);
        auto bytes = "HTTP/1.1 200 OK\r\nZinnialedge-Server-Seal: " + makeSeal(service, attempt) + "\r\nZinnialedge-Attempt-Id: " + attempt + "\r\nContent-Length: " + std::to_string(body.size()) + (isLeaving ? "\r\nServer-Leaving: 1" : "") + (limit > 0 ? "\r\nServer-Limit: " + std::to_string(limit) : "") + "\r\n\r\n" + body;
        if (fault == 1)
            return { {}, false, true };
        if (fault == 2)
            return { bytes.substr(0, bytes.size() - 3), true, false };
        return { fault == 3 ? bytes + bytes : bytes, false, false };
    }

    std::string name;
    std::string service;
    kernel::random_hook random;
    std::string registeredId;
    std::atomic<bool> hasHealthyLink { true };
    std::atomic<unsigned> faultsPerThousand { 0 };
    std::atomic<bool> isLeaving { false };
    /// Pause for which the leaf asks in half of its replies; zero for none.
    std::atomic<std::chrono::milliseconds> pauseLength { std::chrono::milliseconds { 0 } };
    limit_watch limits;
    std::int64_t startedAt { edge_fleet::firstStartTime };
    scripted_leaf leaf;
    loopback_proxy proxy;
};

class soak_run {
public:
    soak_run()
        : m_random(kernel::makeSeededRandom(FLAGS_seed))
        , m_fleet(FLAGS_daemons)
    {
        m_proxyThread = std::thread { [this] { m_context.run(); } };
        for (auto const* const target : { "/single/poison", "/gather/poison" })
            m_markedRequests.push_back(std::make_unique<marked_request_watch>(target));
        addLeafs();
        declareNextVersion();
        m_fleet.store().keepCopy();
        for (std::size_t index = 0; index < FLAGS_daemons; ++index) {
            m_fleet.setDataCentre(index, index % 2 == 0 ? "here" : "there");
            m_fleet.start(index);
        }
    }

    ~soak_run()
    {
        joinPlannedStops();
        m_shouldStopCallers = true;
        for (auto& each : m_callerThreads)
            each.join();
        m_context.stop();
        m_proxyThread.join();
    }

    int run()
    {
        if (!m_fleet.waitUntilReady()) {
            std::cerr << "soak: the daemons did not become ready\n";
            return 1;
        }
        for (std::size_t number = 0; number < callerCount; ++number)
            m_callerThreads.emplace_back([this, number] { callLoop(number); });
        auto const end = std::chrono::steady_clock::now() + std::chrono::seconds { FLAGS_seconds };
        while (std::chrono::steady_clock::now() < end) {
            if (FLAGS_leaf_faults) {
                injectFault();
                changeSettings();
                changeStoreOrLeafs();
                changeLimits();
            }
            changeLinks();
            renewEndedLeafs();
            std::this_thread::sleep_for(std::chrono::milliseconds { 20 + m_random() % 150 });
        }
        removeFaults();
        std::this_thread::sleep_for(recoveryTime);
        m_checker.resetCounts();
        std::this_thread::sleep_for(probeDuration);
        m_shouldStopCallers = true;
        for (auto& each : m_callerThreads)
            each.join();
        m_callerThreads.clear();
        m_checker.checkFinalState();
        return report();
    }

private:
    void addLeafs()
    {
        auto const add = [this](std::string const& id, std::string const& service, std::string const& dataCentre) {
            m_leafs.push_back(std::make_unique<soak_leaf>(m_context, id, service, m_checker, m_markedRequests, m_random()));
            m_dataCentres[id] = dataCentre;
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

    void declareNextVersion()
    {
        auto const shards = FLAGS_shards + m_version % 3;
        m_checker.recordDeclaredShardCount(shards);
        m_fleet.declare(++m_version, shards, false);
    }

    void recordEvent(std::string const& description) { m_events.push_back(std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_startTime).count()) + " ms " + description); }

    void injectFault()
    {
        auto const index = m_random() % FLAGS_daemons;
        auto& daemon = m_fleet.daemon(index);
        // The non-idempotent service has only the last two of all leafs, so a third of the leaf faults is directed at them.
        auto& leaf = *m_leafs[m_random() % 3 == 0 ? m_leafs.size() - 1 - m_random() % 2 : m_random() % m_leafs.size()];
        bool const isDaemonFault = m_random() % 3 == 0;
        if (isDaemonFault && (m_isStopping[index] || !FLAGS_daemon_faults))
            return;
        auto const name = " daemon" + std::to_string(index);
        switch (isDaemonFault ? m_random() % 3 : 3 + m_random() % 9) {
        case 0:
            recordEvent("SIGKILL" + name);
            daemon.process.reset();
            m_fleet.start(index);
            return;
        case 1:
            startPlannedStop(index);
            return;
        case 2:
            recordEvent("pause" + name);
            daemon.process->pause();
            std::this_thread::sleep_for(std::chrono::milliseconds { 200 + m_random() % 1500 });
            daemon.process->signal(SIGCONT);
            return;
        case 3:
            recordEvent("store unresponsive");
            m_fleet.store().setFaultMode(store_stand_in::trouble::silent);
            return;
        case 4:
            recordEvent("store busy");
            m_fleet.store().setFaultMode(store_stand_in::trouble::busy);
            return;
        case 5:
        case 6:
            recordEvent("store healthy, history dropped");
            m_fleet.store().setFaultMode(store_stand_in::trouble::none);
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

    /// Changes settings of a daemon, sometimes to an invalid value and sometimes with a SIGHUP. A separate random number
    /// generator keeps the other faults of a seed unchanged.
    void changeSettings()
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

    /// Lets the store return from an older copy, and lets leafs leave, restart or ask for pauses. A separate random number
    /// generator keeps the other faults of a seed unchanged.
    void changeStoreOrLeafs()
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

    /// Lets leafs name request limits or end them. A separate random number generator keeps the other faults of a seed unchanged.
    void changeLimits()
    {
        if (m_limitRandom() % 12 != 0)
            return;
        auto& leaf = *m_leafs[m_limitRandom() % m_leafs.size()];
        auto const limit = m_limitRandom() % 3 == 0 ? 0.0 : 3.0 + static_cast<double>(m_limitRandom() % 30);
        recordEvent("leaf " + leaf.name + " names a limit of " + std::to_string(limit));
        leaf.limits.setLimit(limit);
    }

    /// Cuts daemons off from all leafs, or restores them.
    void changeLinks()
    {
        if (!FLAGS_link_faults)
            return;
        for (auto const& event : m_linkFaults.step())
            recordEvent(event);
    }

    void setLinks(std::size_t daemon, std::optional<link_state> state)
    {
        auto const& source = m_fleet.daemon(daemon).callers.address;
        for (auto const& leaf : m_leafs)
            state ? leaf->proxy.setStateFrom(source, *state) : leaf->proxy.clearStateFrom(source);
    }

    void registerInStore(soak_leaf& leaf)
    {
        // A leaf registers itself, so that one that has ended does so when it is back.
        if (!leaf.leaf.isListening())
            return;
        // The store may have come back from a copy with ids of former incarnations.
        for (std::size_t incarnation = 0; incarnation < leaf.leaf.endCount(); ++incarnation)
            m_fleet.removeLeaf(leaf.name + "." + std::to_string(incarnation));
        leaf.registeredId = leaf.id();
        m_fleet.registerLeaf(leaf.registeredId, leaf.service, leaf.proxy.listenEndpoint(), "ready", m_dataCentres.at(leaf.name), leaf.startedAt);
    }

    void renewEndedLeafs()
    {
        for (auto const& leaf : m_leafs) {
            if (leaf->registeredId == leaf->id() || !leaf->leaf.isListening())
                continue;
            recordEvent("leaf " + leaf->registeredId + " ended");
            restartLeaf(*leaf);
        }
    }

    void restartLeaf(soak_leaf& leaf)
    {
        leaf.isLeaving = false;
        leaf.pauseLength = std::chrono::milliseconds { 0 };
        ++leaf.startedAt;
        registerInStore(leaf);
    }

    /// Stops the daemon with SIGTERM and restarts it, on a separate thread, so that other faults continue to be injected.
    void startPlannedStop(std::size_t index)
    {
        recordEvent("SIGTERM daemon" + std::to_string(index));
        m_isStopping[index] = true;
        m_plannedStopThreads.emplace_back([this, index] {
            auto& daemon = m_fleet.daemon(index);
            // Until its main function runs, a process has no signal handlers and no requests that could be lost.
            std::ignore = daemon.process->waitForLine("event=started");
            daemon.process->signal(SIGTERM);
            auto const code = daemon.process->waitForExit(6s);
            if (code != 0) {
                std::lock_guard const lock(m_plannedStopFindingsMutex);
                m_plannedStopFindings.push_back("LOST: exit code of a planned stop: " + (code ? std::to_string(*code) : std::string { "none within 6 s" }));
            }
            m_fleet.start(index);
            m_isStopping[index] = false;
        });
    }

    void joinPlannedStops()
    {
        for (auto& each : m_plannedStopThreads)
            each.join();
        m_plannedStopThreads.clear();
    }

    void removeFaults()
    {
        joinPlannedStops();
        m_areMarkedRequestsSent = false;
        std::this_thread::sleep_for(leafDownTime);
        renewEndedLeafs();
        recordEvent("healed");
        m_linkFaults.restoreAll();
        m_fleet.store().setFaultMode(store_stand_in::trouble::none);
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

    void callLoop(std::size_t number)
    {
        auto const random = kernel::makeSeededRandom(FLAGS_seed * 100 + number);
        // Every second caller reuses its connections; the others open a connection for each request.
        bool const isReusingConnections = number % 2 == 0;
        std::vector<std::unique_ptr<persistent_connection>> connections;
        connections.reserve(FLAGS_daemons);
        for (std::size_t index = 0; index < FLAGS_daemons; ++index)
            connections.push_back(std::make_unique<persistent_connection>(m_fleet.daemon(index).callers));
        auto const sendRequest = [&](std::size_t index, std::string const& bytes) {
            auto const sentAt = std::chrono::steady_clock::now();
            auto answer = isReusingConnections ? connections[index]->ask(bytes) : sendOverNewConnection(m_fleet.daemon(index).callers, bytes);
            // Marked requests are meant to fail.
            if (bytes.find("/poison") == std::string::npos)
                m_linkFaults.recordAnswer(index, sentAt, answer.status == 200);
            return answer;
        };
        for (std::size_t count = 0; !m_shouldStopCallers; ++count) {
            auto const index = random() % FLAGS_daemons;
            auto const suffix = std::to_string(number) + "-" + std::to_string(count);
            if (count % markedRequestInterval == 0 && m_areMarkedRequestsSent) {
                // Attempts differ in their queries.
                auto const& target = m_markedRequests[random() % m_markedRequests.size()]->target() + (random() % 3 == 0 ? "?page=" + suffix : std::string {});
                bool const isPost = target.starts_with("/single/");
                auto const id = (isPost ? "once-marked" : "marked") + suffix;
                m_checker.checkMarked(id, sendRequest(index, isPost ? formatPostRequest(target, id, "order") : formatGetRequest(target, id)));
            } else if (count % 2 == 0)
                m_checker.checkSingle("once" + suffix, sendRequest(index, formatPostRequest("/single/a", "once" + suffix, "order")));
            else
                m_checker.checkGather("all" + suffix, sendRequest(index, formatGetRequest("/gather/a", "all" + suffix)));
            std::this_thread::sleep_for(5ms);
        }
    }

    int report()
    {
        auto findings = m_checker.findings();
        findings.insert(findings.end(), m_plannedStopFindings.begin(), m_plannedStopFindings.end());
        // A daemon that is restarted or paused is excused from the limits that it knew.
        for (auto const& leaf : m_leafs) {
            auto const overruns = FLAGS_daemon_faults ? std::vector<std::string> {} : leaf->limits.findings();
            for (auto const& each : overruns)
                findings.push_back(each + " of " + leaf->name);
        }
        // Daemons that are killed, or leafs that end while a daemon sleeps, are not counted.
        for (auto const& marked : m_markedRequests) {
            auto const overruns = FLAGS_daemon_faults ? std::vector<std::string> {} : marked->findings();
            findings.insert(findings.end(), overruns.begin(), overruns.end());
        }
        auto const linkFindings = FLAGS_daemon_faults ? std::vector<std::string> {} : m_linkFaults.findings();
        findings.insert(findings.end(), linkFindings.begin(), linkFindings.end());
        auto const servedShare = static_cast<double>(m_checker.servedCount()) / static_cast<double>(std::max<std::size_t>(m_checker.requestCount(), 1));
        if (servedShare < minimumServedShare)
            findings.push_back("RECOVER: " + std::to_string(m_checker.servedCount()) + " of " + std::to_string(m_checker.requestCount()) + " requests served after the faults");
        std::cout << "soak: seed " << FLAGS_seed << ", " << m_events.size() << " faults, " << m_checker.servedCount() << " of " << m_checker.requestCount() << " requests served after them, " << (FLAGS_link_faults ? m_linkFaults.summary() + ", " : std::string {}) << findings.size() << " findings\n";
        if (findings.empty())
            return 0;
        for (auto const& each : findings)
            std::cout << "  " << each << "\n";
        for (auto const& each : m_events)
            std::cout << "    " << each << "\n";
        writeLogs();
        return 1;
    }

    void writeLogs()
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

    kernel::random_hook m_random;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard { m_context.get_executor() };
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

int main(int argumentCount, char** arguments)
{
    gflags::SetUsageMessage("Runs daemons on loopback under random faults and compares the answers to callers with the requests that leafs executed.");
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    std::signal(SIGPIPE, SIG_IGN);
    kernel::openLog("soak", "error");
    if (FLAGS_daemons == 0 || FLAGS_daemons > maxDaemons) {
        std::cerr << "soak: --daemons: expected 1 to " << maxDaemons << "\n";
        return 2;
    }
    return soak_run {}.run();
}
