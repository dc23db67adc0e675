#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace zinnialedge::benchmarks {

/// What one process has used so far, as the kernel counts it.
struct process_usage {
    std::chrono::milliseconds cpu { 0 };
    std::uint64_t residentKilobytes { 0 };
    std::uint64_t contextSwitches { 0 };
    /// Processor time by the name of the thread; the kernel counts it in steps of 10 ms.
    std::map<std::string, std::chrono::milliseconds> threads;
};

process_usage readUsage(int processId);

/// Bytes that went over the loopback interface of this network namespace, headers included.
std::uint64_t readLoopbackBytes();

}
