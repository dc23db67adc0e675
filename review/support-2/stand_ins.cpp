#include "review/support-2/stand_ins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;

static constexpr std::string_view objectsPath = "/zinnialedge/objects/";
static constexpr std::size_t pageSize = 50;
static constexpr milliseconds idleTime { 60'000 };
static constexpr milliseconds timerTolerance { 20 };

static std::uint64_t toNumber(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

static std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

static std::string trim(std::string_view text)
{
    auto const first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return std::string { text.substr(first, text.find_last_not_of(" \t") - first + 1) };
}

static std::string toText(json::value const& value)
{
    return json::serialize(value);
}

record::record(std::string const& path)
    : m_file(path)
{
}

void record::add(std::string const& line)
{
    std::lock_guard const lock(m_mutex);
    auto const age = std::chrono::duration_cast<milliseconds>(steady::now() - m_startedAt).count();
    m_file << age << " ms  " << line << std::endl;
}

std::string message::header(std::string const& name) const
{
    auto const found = headers.find(name);
    return found == headers.end() ? std::string {} : found->second;
}

std::string message::word(std::size_t index) const
{
    std::size_t begin = 0;
    for (std::size_t count = 0; count < index && begin != std::string::npos; ++count) {
        begin = startLine.find(' ', begin);
        begin = begin == std::string::npos ? begin : begin + 1;
    }
    if (begin == std::string::npos)
        return {};
    return startLine.substr(begin, startLine.find(' ', begin) - begin);
}

connection::connection(int socket)
    : m_socket(socket)
{
    int const isOn = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
}

connection::~connection()
{
    ::close(m_socket);
}

void connection::shutDown()
{
    ::shutdown(m_socket, SHUT_RDWR);
}

bool connection::readMore(steady::time_point end)
{
    auto const left = std::chrono::duration_cast<milliseconds>(end - steady::now()).count();
    pollfd waiting { m_socket, POLLIN, 0 };
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
        return false;
    std::array<char, 16'384> bytes {};
    auto const count = ::recv(m_socket, bytes.data(), bytes.size(), 0);
    if (count <= 0)
        return false;
    m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<message> connection::read(milliseconds timeout)
{
    static constexpr std::string_view headEnd = "\r\n\r\n";
    auto const end = steady::now() + timeout;
    while (m_buffer.find(headEnd) == std::string::npos) {
        if (!readMore(end))
            return std::nullopt;
    }
    message parsed;
    auto const headLength = m_buffer.find(headEnd);
    auto const head = m_buffer.substr(0, headLength + 2);
    std::size_t begin = 0;
    for (auto lineEnd = head.find("\r\n"); lineEnd != std::string::npos; lineEnd = head.find("\r\n", begin)) {
        auto const line = head.substr(begin, lineEnd - begin);
        begin = lineEnd + 2;
        auto const colon = line.find(':');
        if (parsed.startLine.empty())
            parsed.startLine = line;
        else if (colon != std::string::npos)
            parsed.headers[toLower(line.substr(0, colon))] = trim(std::string_view { line }.substr(colon + 1));
    }
    auto const bodyLength = static_cast<std::size_t>(toNumber(parsed.header("content-length")));
    m_buffer.erase(0, headLength + headEnd.size());
    while (m_buffer.size() < bodyLength) {
        if (!readMore(end))
            return std::nullopt;
    }
    parsed.body = m_buffer.substr(0, bodyLength);
    m_buffer.erase(0, bodyLength);
    return parsed;
}

bool connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        auto const count = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

static sockaddr_in makeAddress(std::string const& address, std::uint16_t port)
{
    sockaddr_in place {};
    place.sin_family = AF_INET;
    place.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &place.sin_addr);
    return place;
}

static int openListener(std::string const& address, std::uint16_t& port)
{
    auto const listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto place = makeAddress(address, port);
    socklen_t length = sizeof(place);
    bool const isOpen = listener >= 0 && ::bind(listener, reinterpret_cast<sockaddr*>(&place), length) == 0 && ::listen(listener, SOMAXCONN) == 0
        && ::getsockname(listener, reinterpret_cast<sockaddr*>(&place), &length) == 0;
    if (!isOpen)
        throw std::runtime_error("cannot listen on " + address);
    port = ntohs(place.sin_port);
    return listener;
}

server::server(std::string const& address, handler handle)
    : m_handler(std::move(handle))
{
    m_socket = openListener(address, m_port);
    m_acceptThread = std::thread { [this] { acceptAll(); } };
}

server::~server()
{
    m_isStopping = true;
    ::shutdown(m_socket, SHUT_RDWR);
    m_acceptThread.join();
    ::close(m_socket);
    {
        std::lock_guard const lock(m_mutex);
        for (auto const& each : m_connections)
            each->shutDown();
    }
    for (auto& each : m_threads)
        each.join();
}

void server::acceptAll()
{
    while (!m_isStopping) {
        auto const accepted = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            continue;
        auto const opened = std::make_shared<connection>(accepted);
        std::lock_guard const lock(m_mutex);
        m_connections.push_back(opened);
        m_threads.emplace_back([this, opened] { serve(*opened); });
    }
}

void server::serve(connection& opened)
{
    while (!m_isStopping) {
        auto const request = opened.read(idleTime);
        auto const response = request ? m_handler(*request) : std::nullopt;
        if (!response || !opened.write(*response))
            break;
    }
    opened.shutDown();
}

static std::string formatResponse(int status, std::string const& headerLines, std::string const& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headerLines + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

static std::string formatStoreResponse(int status, json::value const& body)
{
    return formatResponse(status, "Content-Type: application/json\r\nStore-Era: 1\r\n", toText(body));
}

store::store()
    : m_server(std::make_unique<server>("127.0.0.1", [this](message const& request) { return std::optional { handle(request) }; }))
{
}

store::~store()
{
    {
        std::lock_guard const lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_server.reset();
}

json::value store::describe(std::string const& name, entry const& described)
{
    return { { "meta", { { "name", name }, { "revision", described.revision }, { "create_revision", 1 }, { "finalizers", json::array {} }, { "deleting", false } } }, { "spec", described.spec }, { "status", nullptr } };
}

void store::change(std::string const& kind, std::string const& name, std::optional<json::value> spec)
{
    auto& objects = m_objects[kind];
    auto const existing = objects.find(name);
    if (spec ? existing != objects.end() && existing->second.spec == *spec : existing == objects.end())
        return;
    entry const changed { ++m_revision, spec ? *spec : existing->second.spec };
    m_history.push_back({ m_revision, kind, { { "object", describe(name, changed) }, { "deleted", !spec.has_value() } } });
    if (spec)
        objects[name] = changed;
    else
        objects.erase(existing);
    m_changed.notify_all();
}

void store::put(std::string const& kind, std::string const& name, json::value spec)
{
    std::lock_guard const lock(m_mutex);
    change(kind, name, std::move(spec));
}

static std::map<std::string, std::string> parseQuery(std::string_view text)
{
    std::map<std::string, std::string> query;
    while (!text.empty()) {
        auto const pair = text.substr(0, text.find('&'));
        text.remove_prefix(std::min(text.size(), pair.size() + 1));
        auto const equals = pair.find('=');
        if (equals != std::string_view::npos)
            query[std::string { pair.substr(0, equals) }] = std::string { pair.substr(equals + 1) };
    }
    return query;
}

std::string store::handle(message const& request)
{
    auto const target = request.word(1);
    auto const question = target.find('?');
    auto const path = target.substr(0, question);
    if (!path.starts_with(objectsPath))
        return formatStoreResponse(404, json::object {});
    auto const query = question == std::string::npos ? std::map<std::string, std::string> {} : parseQuery(std::string_view { target }.substr(question + 1));
    auto const rest = path.substr(objectsPath.size());
    auto const slash = rest.find('/');
    auto const kind = rest.substr(0, slash);
    auto const name = slash == std::string::npos ? std::string {} : rest.substr(slash + 1);
    return request.word(0) == "GET" ? read(kind, name, query) : write(request, kind, name, query);
}

std::string store::read(std::string const& kind, std::string const& name, std::map<std::string, std::string> const& query)
{
    if (query.contains("watch"))
        return watch(kind, toNumber(query.at("watch")), milliseconds { toNumber(query.contains("wait_ms") ? query.at("wait_ms") : "0") });
    std::lock_guard const lock(m_mutex);
    auto const& objects = m_objects[kind];
    if (!name.empty()) {
        auto const found = objects.find(name);
        return found == objects.end() ? formatStoreResponse(404, json::object {}) : formatStoreResponse(200, describe(name, found->second));
    }
    json::array items;
    auto each = objects.upper_bound(query.contains("after") ? query.at("after") : std::string {});
    for (; each != objects.end() && items.size() < pageSize; ++each)
        items.push_back(describe(each->first, each->second));
    return formatStoreResponse(200, { { "items", std::move(items) }, { "more", each != objects.end() }, { "as_of", m_revision } });
}

std::string store::watch(std::string const& kind, std::uint64_t revision, milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    json::array events;
    auto const findEvents = [&] {
        for (auto const& each : m_history) {
            if (each.kind == kind && each.revision > revision)
                events.push_back(each.event);
        }
        return m_isStopping || !events.empty();
    };
    m_changed.wait_for(lock, wait, findEvents);
    return formatStoreResponse(200, { { "events", std::move(events) }, { "as_of", m_revision } });
}

std::string store::write(message const& request, std::string const& kind, std::string const& name, std::map<std::string, std::string> const& query)
{
    std::lock_guard const lock(m_mutex);
    auto& objects = m_objects[kind];
    if (request.word(0) == "DELETE") {
        auto const found = objects.find(name);
        if (found == objects.end())
            return formatStoreResponse(404, json::object {});
        if (query.contains("revision") && toNumber(query.at("revision")) != found->second.revision)
            return formatStoreResponse(409, describe(name, found->second));
        change(kind, name, std::nullopt);
        return formatStoreResponse(200, json::object {});
    }
    auto const body = json::parse(request.body);
    auto const& meta = body.at("meta").as_object();
    std::string const written { meta.at("name").as_string() };
    auto const found = objects.find(written);
    bool const isNew = found == objects.end();
    bool const isCreation = request.word(0) == "POST";
    if (!isNew && (isCreation || (meta.contains("revision") && meta.at("revision").to_number<std::uint64_t>() != found->second.revision)))
        return formatStoreResponse(409, describe(written, found->second));
    if (isNew && !isCreation)
        return formatStoreResponse(404, json::object {});
    change(kind, written, body.at("spec"));
    return formatStoreResponse(isCreation ? 201 : 200, describe(written, objects[written]));
}

leaf::leaf(record& lines, std::string id, std::string service, milliseconds work)
    : m_record(lines)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_work(work)
    , m_server(std::make_unique<server>("127.0.0.1", [this](message const& request) { return handle(request); }))
{
}

json::value leaf::registration() const
{
    static constexpr int slots = 4;
    return { { "service", m_service }, { "address", "127.0.0.1:" + std::to_string(m_server->port()) }, { "zone", "here" }, { "version", "v1" }, { "max_concurrency", slots }, { "state", "ready" }, { "warmup_left_ms", 0 }, { "sequence", 1 }, { "born", 1'700'000'000'000 } };
}

std::vector<run> leaf::runs() const
{
    std::lock_guard const lock(m_mutex);
    return m_runs;
}

std::optional<std::string> leaf::handle(message const& request)
{
    if (request.word(1) == "/health")
        return formatResponse(200, "Zinnialedge-Instance-Id: " + m_id + "\r\n", {});
    auto const attemptId = request.header("zinnialedge-attempt-id");
    auto const echo = "Zinnialedge-Attempt-Id: " + attemptId + "\r\n";
    if (request.header("zinnialedge-target-instance") != m_id)
        return formatResponse(421, echo + "Zinnialedge-Instance-Id: " + m_id + "\r\n", {});
    {
        std::lock_guard const lock(m_mutex);
        m_runs.push_back({ attemptId, request.word(1), request.headers });
    }
    m_record.add("leaf " + m_id + " of " + m_service + " runs " + attemptId + " " + request.word(1) + ", tenant '" + request.header("zinnialedge-tenant") + "', key '" + request.header("x-api-key") + "'");
    std::this_thread::sleep_for(m_work);
    m_record.add("leaf " + m_id + " answers " + attemptId + " with 200");
    // Two records of 16 bytes, so that the body serves as a part as well.
    return formatResponse(200, echo + "Zinnialedge-Server-Seal: seal." + m_id + "." + attemptId + "\r\n", "0123456789abcdef0123456789abcdeg");
}

daemon::daemon(std::string name, std::string address, daemon_ports const& ports, std::uint16_t storePort, std::vector<std::string> const& seeds, std::string const& folder)
    : m_name(std::move(name))
    , m_address(std::move(address))
    , m_ports(ports)
    , m_settingsFile(folder + "/" + m_name + ".json")
    , m_logFile(folder + "/" + m_name + ".txt")
{
    auto const place = [this](std::uint16_t port) { return json::string { m_address + ":" + std::to_string(port) }; };
    json::array seedPlaces;
    for (auto const& each : seeds)
        seedPlaces.emplace_back(each + ":1");
    // The fields of platform/settings.template with the figures of the sheet of 5 machines.
    std::ofstream { m_settingsFile } << toText({
        { "name", m_name },
        { "region", "region" },
        { "data_centre", "here" },
        { "callers", place(ports.callers) },
        { "readiness", place(ports.readiness) },
        { "directory", place(ports.directory) },
        { "peers", place(ports.peers) },
        { "relays", place(ports.relays) },
        { "operators", place(ports.operators) },
        { "store", "127.0.0.1:" + std::to_string(storePort) },
        { "seeds", std::move(seedPlaces) },
        { "extra_calls", { { "ratio", 0.2 }, { "window_s", 10 }, { "slack", 54 } } },
        { "store_rates", { { "reads_per_s", 2000 }, { "writes_per_s", 400 } } },
        { "stop_time_s", 6 },
        { "capacity", { { "processor", 0.5 }, { "link_mbps", 1000.0 } } },
    });
}

daemon::~daemon()
{
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
}

void daemon::start()
{
    std::string program = "target/zinnialedge-edge";
    std::string option = "--settings";
    m_process = ::fork();
    if (m_process != 0)
        return;
    auto const log = ::open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (log < 0)
        ::_exit(couldNotRun);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    std::array<char*, 4> arguments { program.data(), option.data(), m_settingsFile.data(), nullptr };
    ::execv(program.c_str(), arguments.data());
    ::_exit(couldNotRun);
}

void daemon::signal(int number)
{
    if (m_process > 0)
        ::kill(m_process, number);
}

std::optional<int> daemon::takeEnd()
{
    int status = 0;
    if (m_process <= 0 || ::waitpid(m_process, &status, WNOHANG) != m_process)
        return std::nullopt;
    m_process = -1;
    return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

bool daemon::waitForEnd(milliseconds timeout)
{
    auto const end = steady::now() + timeout;
    while (steady::now() < end) {
        if (takeEnd())
            return true;
        std::this_thread::sleep_for(milliseconds { 20 });
    }
    return false;
}

static std::unique_ptr<connection> connectTo(std::string const& address, std::uint16_t port)
{
    auto const opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto place = makeAddress(address, port);
    if (opened < 0)
        return nullptr;
    if (::connect(opened, reinterpret_cast<sockaddr*>(&place), sizeof(place)) == 0)
        return std::make_unique<connection>(opened);
    ::close(opened);
    return nullptr;
}

bool daemon::isReady() const
{
    static constexpr milliseconds timeout { 1000 };
    auto const opened = connectTo(m_address, m_ports.readiness);
    if (!opened || !opened->write("GET /zinnialedge/readiness HTTP/1.1\r\nHost: " + m_address + "\r\n\r\n"))
        return false;
    auto const response = opened->read(timeout);
    return response && response->word(1) == "200";
}

/// Returns an address of this process's own block of loopback addresses.
static std::string makeLoopbackAddress(std::size_t index)
{
    static constexpr int blocks = 200;
    auto const process = static_cast<int>(::getpid());
    return "127." + std::to_string(20 + process % blocks) + "." + std::to_string(process / blocks % blocks) + "." + std::to_string(1 + index);
}

static std::uint16_t findFreePort(std::string const& address)
{
    std::uint16_t port = 0;
    ::close(openListener(address, port));
    return port;
}

static std::string makeFolder()
{
    auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    return pattern;
}

deployment::deployment(record& lines, std::size_t daemonCount)
    : m_record(lines)
    , m_folder(makeFolder())
{
    std::vector<std::string> addresses;
    addresses.reserve(daemonCount);
    for (std::size_t index = 0; index < daemonCount; ++index)
        addresses.push_back(makeLoopbackAddress(index));
    auto const& first = addresses.front();
    daemon_ports const ports { findFreePort(first), findFreePort(first), findFreePort(first), findFreePort(first), findFreePort(first), findFreePort(first) };
    for (std::size_t index = 0; index < daemonCount; ++index)
        m_daemons.push_back(std::make_unique<daemon>("machine-" + std::to_string(index + 1), addresses[index], ports, m_store.port(), addresses, m_folder));
}

deployment::~deployment()
{
    m_daemons.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void deployment::startAll()
{
    for (auto const& each : m_daemons) {
        each->start();
        m_record.add("start of " + each->name() + " at " + each->address());
    }
}

bool deployment::waitUntilReady(milliseconds timeout) const
{
    auto const end = steady::now() + timeout;
    while (steady::now() < end) {
        if (std::all_of(m_daemons.begin(), m_daemons.end(), [](auto const& each) { return each->isReady(); }))
            return true;
        std::this_thread::sleep_for(milliseconds { 50 });
    }
    return false;
}

void deployment::add(leaf const& added)
{
    m_store.put("servers", added.id(), added.registration());
}

answer get(daemon const& at, std::string const& target, std::string const& attemptId, std::vector<std::string> const& headerLines, milliseconds deadline, milliseconds patience)
{
    auto const begin = steady::now();
    answer result;
    auto const opened = connectTo(at.address(), at.callersPort());
    std::string request = "GET " + target + " HTTP/1.1\r\nHost: host.example\r\nZinnialedge-Attempt-Id: " + attemptId + "\r\nZinnialedge-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n";
    for (auto const& each : headerLines)
        request += each + "\r\n";
    request += "\r\n";
    auto const response = opened && opened->write(request) ? opened->read(patience) : std::nullopt;
    result.elapsed = std::chrono::duration_cast<milliseconds>(steady::now() - begin);
    if (response) {
        result.content = *response;
        result.status = static_cast<int>(toNumber(response->word(1)));
    } else if (result.elapsed + timerTolerance >= patience) {
        result.status = -1;
    }
    return result;
}

json::object makeConfiguration(std::uint64_t version, json::array routes, std::vector<std::string> const& services)
{
    static constexpr int connections = 100;
    json::array described;
    for (auto const& each : services)
        described.push_back({ { "name", each }, { "health_path", "/health" }, { "max_conns", connections } });
    return { { "version", version }, { "routes", std::move(routes) }, { "services", std::move(described) }, { "limits", { { "max_header_bytes", 16'384 }, { "max_body_bytes", 262'144 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15'000 } } } };
}

json::object makeRoute(std::string const& name, std::string const& prefix, std::string const& service)
{
    return { { "name", name }, { "host", "host.example" }, { "path_prefix", prefix }, { "kind", "idempotent" }, { "timeout_ms", 1500 }, { "target_latency_ms", 400 }, { "priority", 1 }, { "service", service }, { "attempts", 2 } };
}

bool isTroubleWanted()
{
    auto const* const trouble = std::getenv("TROUBLE");
    return !trouble || std::string_view { trouble } != "0";
}

}
