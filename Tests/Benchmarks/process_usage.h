#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace zinnialedge::benchmarks {

/// Resources that a process has consumed since its start, as counted by the kernel.
struct process_usage {
    std::chrono::milliseconds cpu { 0 };
    std::uint64_t residentKilobytes { 0 };
    std::uint64_t contextSwitches { 0 };
    /// CPU time by thread name; the kernel counts CPU time in steps of 10 ms.
    std::map<std::string, std::chrono::milliseconds> threads;
};

/// Reads the resource usage of a process from /proc.
process_usage readUsage(int processId);

/// Returns the number of bytes, headers included, received on the loopback interface of this network namespace.
std::uint64_t readLoopbackBytes();

}
