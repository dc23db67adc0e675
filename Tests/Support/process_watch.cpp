#include "Tests/Support/process_watch.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>

namespace zinnialedge::tests {

static constexpr std::chrono::milliseconds checkInterval { 20 };

static std::filesystem::path processFolder(int processId)
{
    return { "/proc/" + std::to_string(processId) };
}

std::size_t peakMemoryMegabytes(int processId)
{
    static constexpr std::string_view name = "VmHWM:";
    static constexpr std::size_t kilobytesPerMegabyte = 1024;
    std::ifstream status { processFolder(processId) / "status" };
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name))
            return std::stoul(line.substr(name.size())) / kilobytesPerMegabyte;
    }
    return 0;
}

static std::size_t countSockets(int processId)
{
    std::size_t count = 0;
    std::error_code failure;
    for (std::filesystem::directory_iterator each { processFolder(processId) / "fd", failure }, last; !failure && each != last; each.increment(failure)) {
        std::error_code ignored;
        count += std::filesystem::read_symlink(each->path(), ignored).string().starts_with("socket:") ? 1 : 0;
    }
    return count;
}

process_watch::process_watch(int processId)
{
    m_thread = std::thread([this, processId] {
        while (!m_shouldStop) {
            m_peakSocketCount = std::max(m_peakSocketCount.load(), countSockets(processId));
            std::this_thread::sleep_for(checkInterval);
        }
    });
}

process_watch::~process_watch()
{
    m_shouldStop = true;
    m_thread.join();
}

}
