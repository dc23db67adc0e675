#include "review/support-3/deployment.h"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/json.hpp>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace zinnialedge::review {

namespace json = boost::json;

/// The bounds and limits of the site file that the cases name.
static constexpr int storeReadsPerSecond = 2000;
static constexpr int storeWritesPerSecond = 400;
static constexpr std::uint16_t portsPerMachine = 6;
static constexpr std::uint16_t lowestPort = 20'000;
static constexpr std::uint16_t highestPort = 31'000;

record_file::record_file(std::filesystem::path const& folder)
    : m_stream(folder / "record.txt")
{
}

void record_file::write(std::string const& line)
{
    std::lock_guard const lock(m_mutex);
    m_stream << std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - m_startedAt).count() << " " << line << std::endl;
}

std::string client_answer::header(std::string const& name) const
{
    return tests::rawHeaderValue(head, name);
}

static sockaddr_in makeAddress(std::string const& address, std::uint16_t port)
{
    sockaddr_in made {};
    made.sin_family = AF_INET;
    made.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &made.sin_addr);
    return made;
}

static int openSocket(int type)
{
    auto const descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        throw std::runtime_error("no socket");
    return descriptor;
}

static bool isFree(std::string const& address, std::uint16_t port, int type)
{
    auto const descriptor = openSocket(type);
    auto const local = makeAddress(address, port);
    bool const isBound = ::bind(descriptor, reinterpret_cast<sockaddr const*>(&local), sizeof(local)) == 0;
    ::close(descriptor);
    return isBound;
}

deployment::deployment(record_file& record, std::vector<std::string> const& zones, run_hook run)
    : m_record(record)
    , m_run(std::move(run))
{
    auto pattern = (std::filesystem::temp_directory_path() / "zinnialedge-review-XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    m_folder = pattern;
    auto const process = static_cast<unsigned>(::getpid());
    for (std::size_t index = 0; index < zones.size(); ++index) {
        auto const name = "front-" + zones[index] + "-" + std::to_string(index + 1);
        auto const address = "127." + std::to_string(1 + process % 120) + "." + std::to_string((process / 120) % 250) + "." + std::to_string(10 + index);
        m_machines.push_back({ name, zones[index], address, (m_folder / (name + ".json")).string(), nullptr, {} });
    }
    choosePorts();
    for (auto const& each : m_machines)
        writeSettings(each);
}

deployment::~deployment()
{
    m_machines.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void deployment::choosePorts()
{
    for (m_firstPort = lowestPort; m_firstPort < highestPort; m_firstPort = static_cast<std::uint16_t>(m_firstPort + portsPerMachine)) {
        bool const areFree = std::all_of(m_machines.begin(), m_machines.end(), [this](auto const& each) {
            for (std::uint16_t port = m_firstPort; port < m_firstPort + portsPerMachine; ++port) {
                if (!isFree(each.address, port, SOCK_STREAM) || !isFree(each.address, port, SOCK_DGRAM))
                    return false;
            }
            return true;
        });
        if (areFree)
            return;
    }
    throw std::runtime_error("no free ports");
}

void deployment::writeSettings(machine const& of) const
{
    auto const placeOf = [this](std::string const& address, int offset) { return address + ":" + std::to_string(m_firstPort + offset); };
    // The machines of these zones are the smaller ones of scucb-lunch.
    bool const isSmall = of.zone == "suva-north" || of.zone == "lami";
    json::array seeds;
    for (std::size_t index = 0; index < std::min<std::size_t>(3, m_machines.size()); ++index)
        seeds.emplace_back(placeOf(m_machines[index].address, 4));
    json::object const settings {
        { "name", of.name },
        { "region", "viti-central" },
        { "data_centre", of.zone },
        { "callers", placeOf(of.address, 0) },
        { "readiness", placeOf(of.address, 1) },
        { "directory", placeOf(of.address, 2) },
        { "peers", placeOf(of.address, 3) },
        { "relays", placeOf(of.address, 4) },
        { "operators", placeOf(of.address, 5) },
        { "store", toString(m_store.place()) },
        { "seeds", std::move(seeds) },
        { "extra_calls", { { "ratio", 0.2 }, { "window_s", 10 }, { "slack", 54 } } },
        { "store_rates", { { "reads_per_s", storeReadsPerSecond }, { "writes_per_s", storeWritesPerSecond } } },
        { "quotas", { { "window_s", 5 }, { "overage", 0.1 }, { "slack", 20 } } },
        { "stop_time_s", 6 },
        { "capacity", isSmall ? json::object { { "processor", 0.25 }, { "memory_mb", 260 }, { "descriptors", 4100 }, { "link_mbps", 1000 } } : json::object { { "processor", 0.5 }, { "memory_mb", 520 }, { "descriptors", 8200 }, { "link_mbps", 2000 } } },
    };
    std::ofstream { of.settingsFile } << json::serialize(settings);
}

void deployment::writeEntry(leaf_server const& leaf, std::int64_t startedAt)
{
    m_store.put("servers", leaf.id, { { "service", leaf.service }, { "address", toString(leaf.server->place()) }, { "zone", leaf.zone }, { "version", "v1" }, { "max_concurrency", 4 }, { "state", "ready" }, { "warmup_left_ms", 0 }, { "sequence", 1 }, { "born", startedAt } });
}

static std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void deployment::addLeaf(std::string const& service, std::string const& zone)
{
    auto created = std::make_unique<leaf_server>();
    auto* const leaf = created.get();
    leaf->id = "i-" + service + "-" + std::to_string(m_leafs.size());
    leaf->service = service;
    leaf->zone = zone;
    leaf->server = std::make_unique<tests::scripted_leaf>([this, leaf](std::string const& request) { return answer(*leaf, request); });
    m_leafs.push_back(std::move(created));
    writeEntry(*leaf, unixMilliseconds());
}

tests::scripted_reply deployment::answer(leaf_server const& leaf, std::string const& request)
{
    auto const methodEnd = request.find(' ');
    auto const targetEnd = request.find(' ', methodEnd + 1);
    leaf_request const parsed { request.substr(0, methodEnd), request.substr(methodEnd + 1, targetEnd - methodEnd - 1), tests::rawHeaderValue(request, "Zinnialedge-Attempt-Id"), tests::rawHeaderValue(request, "Zinnialedge-Tenant") };
    auto const identity = "Zinnialedge-Instance-Id: " + leaf.id + "\r\nZinnialedge-Server-Load: 1,0,4\r\nKeep-Alive: timeout=5\r\nContent-Length: ";
    if (auto const wanted = tests::rawHeaderValue(request, "Zinnialedge-Target-Instance"); !wanted.empty() && wanted != leaf.id)
        return { "HTTP/1.1 421 Misdirected Request\r\nZinnialedge-Not-Executed: 1\r\n" + identity + "0\r\n\r\n" };
    if (parsed.target == "/health")
        return { "HTTP/1.1 200 OK\r\n" + identity + "0\r\n\r\n" };
    if (parsed.attemptId.empty())
        return { "HTTP/1.1 400 Bad Request\r\nZinnialedge-Not-Executed: 1\r\n" + identity + "0\r\n\r\n" };
    auto const body = "run by " + leaf.id + " for " + parsed.attemptId;
    auto const reply = "HTTP/1.1 200 OK\r\nZinnialedge-Attempt-Id: " + parsed.attemptId + "\r\nZinnialedge-Server-Seal: " + leaf.id + "." + parsed.attemptId + "\r\n" + identity + std::to_string(body.size()) + "\r\n\r\n" + body;
    return m_run(leaf, parsed, reply);
}

void deployment::configure(json::object configuration)
{
    m_record.write("operator writes version " + json::serialize(configuration.at("version")));
    m_store.put("config", "main", std::move(configuration));
}

void deployment::start(std::size_t index)
{
    auto& each = m_machines.at(index);
    // The command of deploy/system.toml, with the settings file of this machine.
    each.process = std::make_unique<tests::child_process>("zinnialedge-edge", std::vector<std::string> { "--settings", each.settingsFile }, "target");
    each.disturbedAt = steady::now();
    m_record.write("start " + each.name);
}

void deployment::startAll()
{
    for (std::size_t index = 0; index < m_machines.size(); ++index)
        start(index);
}

void deployment::kill(std::size_t index)
{
    auto& each = m_machines.at(index);
    each.process->signal(SIGKILL);
    each.disturbedAt = steady::now();
    m_record.write("kill " + each.name);
}

void deployment::renewLeafs()
{
    for (auto const& each : m_leafs) {
        if (each->server->endCount() == each->registeredEndCount || !each->server->isListening())
            continue;
        each->registeredEndCount = each->server->endCount();
        writeEntry(*each, unixMilliseconds());
        m_record.write("back " + each->id);
    }
}

/// Waits until the socket is ready or the time is over.
static bool awaitSocket(int descriptor, short events, steady::time_point end)
{
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(end - steady::now()).count();
    pollfd ready { descriptor, events, 0 };
    return left > 0 && ::poll(&ready, 1, static_cast<int>(left)) == 1;
}

static client_answer exchange(int descriptor, std::string const& request, steady::time_point end)
{
    client_answer answer;
    if (!awaitSocket(descriptor, POLLOUT, end) || ::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size()))
        return answer;
    std::string received;
    std::size_t length = 0;
    while (awaitSocket(descriptor, POLLIN, end)) {
        std::array<char, 8192> buffer {};
        auto const count = ::recv(descriptor, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            break;
        received.append(buffer.data(), static_cast<std::size_t>(count));
        auto const headEnd = received.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            continue;
        answer.head = received.substr(0, headEnd + 4);
        static constexpr std::size_t statusOffset = 9;
        static constexpr std::size_t statusEnd = 12;
        std::from_chars(answer.head.data() + statusOffset, answer.head.data() + statusEnd, answer.status);
        auto const lengthText = answer.header("Content-Length");
        std::from_chars(lengthText.data(), lengthText.data() + lengthText.size(), length);
        answer.body = received.substr(headEnd + 4);
        answer.isIncomplete = answer.body.size() < length;
        if (!answer.isIncomplete)
            break;
    }
    return answer;
}

client_answer deployment::send(std::size_t index, client_request const& request) const
{
    auto const end = steady::now() + request.timeout;
    auto const descriptor = openSocket(SOCK_STREAM);
    auto const to = makeAddress(m_machines.at(index).address, m_firstPort);
    client_answer answer;
    if (::connect(descriptor, reinterpret_cast<sockaddr const*>(&to), sizeof(to)) == 0) {
        auto text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + host + "\r\nZinnialedge-Attempt-Id: " + request.attemptId + "\r\nZinnialedge-Deadline-Ms: " + std::to_string(request.timeout.count()) + "\r\n" + request.headers;
        if (!request.body.empty())
            text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
        answer = exchange(descriptor, text + "\r\n" + request.body, end);
    }
    ::close(descriptor);
    return answer;
}

bool deployment::waitUntilReady()
{
    static constexpr std::chrono::seconds longestStart { 20 };
    static constexpr std::chrono::milliseconds pause { 50 };
    static std::string const request = "GET /zinnialedge/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    auto const end = steady::now() + longestStart;
    while (steady::now() < end) {
        bool const areReady = std::all_of(m_machines.begin(), m_machines.end(), [this, end](auto const& each) {
            auto const descriptor = openSocket(SOCK_STREAM);
            auto const to = makeAddress(each.address, static_cast<std::uint16_t>(m_firstPort + 1));
            bool const isOpen = ::connect(descriptor, reinterpret_cast<sockaddr const*>(&to), sizeof(to)) == 0;
            auto const status = isOpen ? exchange(descriptor, request, end).status : 0;
            ::close(descriptor);
            return status == 200;
        });
        if (areReady)
            return true;
        std::this_thread::sleep_for(pause);
    }
    return false;
}

json::object serviceRoute(std::string const& name, std::string const& prefix, std::string const& kind, std::string const& service)
{
    return { { "name", name }, { "host", deployment::host }, { "path_prefix", prefix }, { "kind", kind }, { "timeout_ms", 6000 }, { "target_latency_ms", 400 }, { "priority", 2 }, { "service", service }, { "attempts", 2 } };
}

json::object gatherRoute(std::string const& name, std::string const& prefix, std::vector<std::string> const& shards)
{
    return { { "name", name }, { "host", deployment::host }, { "path_prefix", prefix }, { "kind", "idempotent" }, { "timeout_ms", 1500 }, { "target_latency_ms", 100 }, { "priority", 1 }, { "gather", json::array(shards.begin(), shards.end()) }, { "attempts", 2 }, { "top_k", 50 }, { "min_success_ratio", 0.89 } };
}

json::object makeConfiguration(std::uint64_t version, std::vector<json::object> const& routes, std::vector<std::string> const& services)
{
    json::array serviceList;
    for (auto const& each : services)
        serviceList.push_back({ { "name", each }, { "health_path", "/health" }, { "max_conns", 100 } });
    return { { "version", version }, { "routes", json::array(routes.begin(), routes.end()) }, { "services", std::move(serviceList) }, { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
}

bool isTroubleWanted()
{
    auto const* const value = std::getenv("TROUBLE");
    return !value || std::string { value } != "0";
}

}
