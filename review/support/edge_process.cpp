#include "review/support/edge_process.h"

#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace json = boost::json;

static constexpr milliseconds callTimeout { 1000 };
static constexpr milliseconds checkInterval { 20 };

edge_process::edge_process(edge_options options)
    : m_options(std::move(options))
{
    writeSettings();
}

edge_process::~edge_process()
{
    if (m_pid <= 0 || m_endStatus != -1)
        return;
    ::kill(m_pid, SIGCONT);
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

// As platform/settings.template fills it in for a machine of a small deployment.
void edge_process::writeSettings() const
{
    auto const place = [this](unsigned offset) { return "\"" + m_options.address + ":" + std::to_string(m_options.firstPort + offset) + "\""; };
    std::string seeds;
    for (auto const& each : m_options.seeds)
        seeds += (seeds.empty() ? "\"" : ", \"") + each + "\"";
    std::ofstream { settingsFile() } << "{\n"
                                     << R"("name": ")" << m_options.name << "\",\n"
                                     << R"("region": "viti-central",)" << '\n'
                                     << R"("data_centre": ")" << m_options.zone << "\",\n"
                                     << R"("callers": )" << place(0) << ",\n"
                                     << R"("directory": )" << place(1) << ",\n"
                                     << R"("readiness": )" << place(2) << ",\n"
                                     << R"("peers": )" << place(3) << ",\n"
                                     << R"("relays": )" << place(4) << ",\n"
                                     << R"("operators": )" << place(5) << ",\n"
                                     << R"("store": ")" << m_options.store << "\",\n"
                                     << R"("seeds": [)" << seeds << "],\n"
                                     << R"("extra_calls": { "ratio": 0.2, "window_s": 10, "slack": 54 },)" << '\n'
                                     << R"("store_rates": { "reads_per_s": 2000, "writes_per_s": 400 },)" << '\n'
                                     << R"("stop_time_s": )" << m_options.stopSeconds << ",\n"
                                     << R"("capacity": { "processor": 0.5, "link_mbps": 1000.0 })" << m_options.furtherSettings << "\n}\n";
}

bool edge_process::start()
{
    auto const* const program = std::getenv("EDGE_PROGRAM");
    std::string const path = program ? program : "target/zinnialedge-edge";
    auto const settings = settingsFile();
    auto const log = m_options.folder + "/" + m_options.name + ".log";
    m_endStatus = -1;
    m_pid = ::fork();
    if (m_pid != 0)
        return m_pid > 0;
    // The process must not outlive a driver that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int const output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (output < 0)
        ::_exit(127);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execl(path.c_str(), path.c_str(), "--settings", settings.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
}

void edge_process::signal(int number) const
{
    if (m_pid > 0 && m_endStatus == -1)
        ::kill(m_pid, number);
}

bool edge_process::waitForEnd(time_point until)
{
    while (m_endStatus == -1) {
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid)
            m_endStatus = status;
        else if (clock::now() >= until)
            return false;
        else
            std::this_thread::sleep_for(checkInterval);
    }
    return true;
}

static std::optional<http_message> get(std::string const& address, std::string const& target)
{
    auto client = connection::open(address, callTimeout);
    if (!client.isOpen() || !client.write(formatRequest("GET", target, { { "Host", address } }, {})))
        return std::nullopt;
    return client.read(clock::now() + callTimeout);
}

bool edge_process::isReady() const
{
    auto const answer = get(readiness(), "/zinnialedge/readiness");
    return answer && answer->isComplete && answer->status() == 200;
}

bool waitUntilReady(std::vector<edge_process*> const& processes, milliseconds limit)
{
    auto const until = clock::now() + limit;
    for (auto* const each : processes) {
        while (!each->isReady()) {
            if (clock::now() >= until)
                return false;
            std::this_thread::sleep_for(checkInterval);
        }
    }
    return true;
}

std::vector<std::string> resolve(std::string const& directory, std::string const& host, std::string const& zone)
{
    std::vector<std::string> addresses;
    auto target = "/zinnialedge/resolve?name=" + host;
    target += "&region=viti-central&zone=" + zone;
    auto const answer = get(directory, target);
    if (!answer || !answer->isComplete || answer->status() != 200)
        return addresses;
    auto const body = json::parse(answer->body);
    for (auto const& each : body.at("addrs").as_array())
        addresses.emplace_back(each.as_string());
    return addresses;
}

}
