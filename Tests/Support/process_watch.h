#pragma once

#include <atomic>
#include <cstddef>
#include <thread>

namespace zinnialedge::tests {

/// Returns the greatest resident memory that a process has had, or zero when the process has ended.
std::size_t peakMemoryMegabytes(int processId);

/// Watches how many descriptors a process has open.
class process_watch {
public:
    explicit process_watch(int processId);
    ~process_watch();
    process_watch(process_watch const&) = delete;
    process_watch& operator=(process_watch const&) = delete;

    /// Returns the greatest number of open sockets that was seen.
    std::size_t peakSocketCount() const { return m_peakSocketCount; }

private:
    std::atomic<bool> m_shouldStop { false };
    std::atomic<std::size_t> m_peakSocketCount { 0 };
    std::thread m_thread;
};

}
