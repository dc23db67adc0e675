#include "Tests/Benchmarks/process_usage.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace zinnialedge::benchmarks {

static constexpr std::int64_t millisecondsPerSecond = 1000;

static std::string readFile(std::filesystem::path const& path)
{
    std::ifstream file { path };
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Returns user plus system time, fields 14 and 15 of a stat file. Fields are counted from the end of the name in parentheses, which may contain spaces.
static std::chrono::milliseconds readCpuTime(std::filesystem::path const& statFile)
{
    static constexpr int fieldsBeforeUserTime = 11;
    auto const text = readFile(statFile);
    auto const nameEnd = text.rfind(')');
    if (nameEnd == std::string::npos)
        return {};
    std::istringstream fields { text.substr(nameEnd + 1) };
    std::string skipped;
    for (int field = 0; field < fieldsBeforeUserTime; ++field)
        fields >> skipped;
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    return std::chrono::milliseconds { (user + system) * millisecondsPerSecond / ::sysconf(_SC_CLK_TCK) };
}

static std::uint64_t readStatusField(std::filesystem::path const& statusFile, std::string const& name)
{
    std::ifstream file { statusFile };
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(name + ":"))
            return std::stoull(line.substr(name.size() + 1));
    }
    return 0;
}

process_usage readUsage(int processId)
{
    std::filesystem::path const folder { "/proc/" + std::to_string(processId) };
    process_usage usage;
    usage.cpu = readCpuTime(folder / "stat");
    usage.residentKilobytes = readStatusField(folder / "status", "VmRSS");
    for (auto const& thread : std::filesystem::directory_iterator { folder / "task" }) {
        auto name = readFile(thread.path() / "comm");
        name.erase(name.find_last_not_of('\n') + 1);
        usage.threads[name] += readCpuTime(thread.path() / "stat");
        usage.contextSwitches += readStatusField(thread.path() / "status", "voluntary_ctxt_switches");
    }
    return usage;
}

std::uint64_t readLoopbackBytes()
{
    std::ifstream file { "/proc/net/dev" };
    for (std::string line; std::getline(file, line);) {
        if (auto const at = line.find("lo:"); at != std::string::npos)
            return std::stoull(line.substr(at + 3));
    }
    return 0;
}

}
