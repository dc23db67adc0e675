#pragma once

#include "Tests/Support/crowd.h"
#include "Tests/Support/edge_fleet.h"
#include "Tests/Support/process_watch.h"

namespace zinnialedge::tests {

/// What became of a daemon beside crowds.
struct crowd_outcome {
    bool isAlive { false };
    std::size_t peakMemoryMegabytes { 0 };
    std::size_t peakSocketCount { 0 };
    /// Ports at which an ordinary request was not answered while the connections of the crowds were open, and afterwards.
    std::vector<std::string> silentPortsBeside;
    std::vector<std::string> silentPortsAfterwards;
};

/// A daemon on a small VM, with two leafs for the service "desk" and one for each of four shards.
class crowded_daemon : public edge_fleet {
public:
    using reply_hook = std::function<scripted_reply(std::string const&)>;

    static constexpr std::size_t machineMegabytes = 48;
    static constexpr std::size_t machineDescriptors = 700;
    /// Descriptors that are not available to sockets on the users' platform.
    static constexpr std::size_t fileDescriptors = 200;
    static constexpr std::size_t maximumHeaderBytes = 16'384;
    static constexpr std::size_t maximumBodyBytes = 1U << 20U;

    explicit crowded_daemon(reply_hook const& deskReply = {}, reply_hook const& shardReply = {});

    model::endpoint callers() { return daemon(0).callers; }
    model::endpoint relays() { return { callers().address, relaysPort }; }
    model::endpoint directory() { return daemon(0).directory; }
    model::endpoint readiness() { return daemon(0).readiness; }
    model::endpoint peers() { return { callers().address, peersPort }; }
    model::endpoint operators() { return daemon(0).operators; }
    int processId() { return daemon(0).process->id(); }

    /// Runs the crowds at the same time.
    crowd_outcome meet(std::vector<crowd_plan> const&);
    /// Returns the outcome after `work`, which runs while the process is watched.
    crowd_outcome watch(std::function<void()> const& work);

private:
    /// Returns the ports at which an ordinary request is not answered within a time limit.
    std::vector<std::string> findSilentPorts();

    std::vector<std::unique_ptr<scripted_leaf>> m_leafs;
};

}
