#pragma once

#include "Tests/Support/crowded_daemon.h"
#include <CppUTest/TestHarness.h>
#include <boost/algorithm/string/join.hpp>

namespace zinnialedge::tests {

/// Checks that the process lives, that its memory and sockets stayed within those of its machine, and that it answers ordinary requests.
inline void checkBears(crowd_outcome const& outcome)
{
    CHECK_TEXT(outcome.isAlive, "the process has ended");
    CHECK_TEXT(outcome.peakMemoryMegabytes < crowded_daemon::machineMegabytes, ("peak memory in MiB: " + std::to_string(outcome.peakMemoryMegabytes)).c_str());
    auto const sockets = outcome.peakSocketCount;
    CHECK_TEXT(sockets <= crowded_daemon::machineDescriptors - crowded_daemon::fileDescriptors, ("open sockets: " + std::to_string(sockets)).c_str());
    CHECK_TEXT(outcome.silentPortsBeside.empty(), ("no answer beside the crowd: " + boost::algorithm::join(outcome.silentPortsBeside, " ")).c_str());
    CHECK_TEXT(outcome.silentPortsAfterwards.empty(), ("no answer afterwards: " + boost::algorithm::join(outcome.silentPortsAfterwards, " ")).c_str());
}

/// Head of a POST request whose body is sent in chunks.
inline std::string chunkedHead(std::string const& target = "/single/crowd")
{
    return "POST " + target + " HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: crowd\r\nZinnialedge-Deadline-Ms: 1000\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// More bytes from one connection than the VM has memory.
inline constexpr std::size_t endlessBytes = 64U << 20U;

inline void checkBearsBytes(std::function<model::endpoint(crowded_daemon&)> const& portOf, std::string const& start, std::string const& repeated, std::size_t bytes = endlessBytes, std::string const& end = {}, std::size_t connectionCount = 8)
{
    crowded_daemon daemon;
    checkBears(daemon.meet({ { .endpoint = portOf(daemon), .connectionCount = connectionCount, .start = start, .repeated = repeated, .maximumRepeatedBytes = bytes, .end = end } }));
}

}
