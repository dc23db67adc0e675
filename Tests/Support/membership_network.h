#pragma once

#include "Libraries/zinnialedge/membership/membership_engine.h"
#include <map>
#include <memory>
#include <queue>

namespace zinnialedge::tests {

/// Membership engines on virtual time. The queues between the engines drop, delay, duplicate and reorder datagrams.
class membership_network {
public:
    struct node {
        std::unique_ptr<membership::membership_engine> engine;
        /// Last status that the engine reported, by name of the other daemon.
        std::map<std::string, membership::member_status> seen;
        /// Suspects that other daemons told of.
        std::map<quarantine::request_digest, quarantine::suspect> toldSuspects;
        bool isRunning { true };
        bool isFrozen { false };
        /// Network partition of the node. Datagrams pass only between nodes with an equal value.
        int side { 0 };
        std::uint64_t sentDatagramCount { 0 };
        std::uint64_t sentByteCount { 0 };
        /// Bytes to daemons of other data centres.
        std::uint64_t remoteByteCount { 0 };
        std::uint64_t reportedDeathCount { 0 };
    };

    explicit membership_network(std::uint64_t seed);

    /// Starts a daemon with that name, at the endpoint that belongs to the index. Replaces an earlier daemon of the index.
    node& start(std::string const& name, std::uint16_t index, std::vector<std::uint16_t> const& seeds, std::string const& dataCentre = "suva-a", std::optional<double> strength = std::nullopt);
    node& at(std::uint16_t index) { return m_nodes.at(index); }
    std::map<std::uint16_t, node>& nodes() { return m_nodes; }
    /// Passes an event to the engine of a node and performs the resulting actions.
    void give(std::uint16_t index, membership::membership_event const&);
    void run(kernel::duration);
    /// Runs until the condition holds. Returns the virtual time that passed, or nothing when `bound` passes first.
    std::optional<kernel::duration> runUntil(std::function<bool()> const&, kernel::duration bound);
    kernel::time_point now() const { return m_now; }
    /// Returns whether every running node that is not frozen, apart from the daemon itself, reports that status of the daemon.
    bool allNodesReport(std::string const& name, membership::member_status) const;
    /// Returns the endpoint of the node with that index.
    static model::endpoint endpointOf(std::uint16_t index);

    /// Fraction of datagrams that are dropped.
    double loss { 0 };
    /// Fraction of datagrams that are sent twice.
    double duplicates { 0 };
    std::chrono::microseconds shortestDelay { 200 };
    std::chrono::microseconds longestDelay { 2000 };
    /// Whether each datagram is encoded with the real codec to count its bytes, which is slow.
    bool shouldCountBytes { false };

private:
    struct delivery {
        kernel::time_point at;
        std::uint64_t sequence { 0 };
        std::uint16_t from { 0 };
        std::uint16_t to { 0 };
        std::shared_ptr<membership::datagram const> content;

        bool operator>(delivery const& other) const { return std::tie(at, sequence) > std::tie(other.at, other.sequence); }
    };

    struct scheduled_timer {
        kernel::time_point at;
        std::uint16_t node { 0 };

        bool operator>(scheduled_timer const& other) const { return at > other.at; }
    };

    /// Tells the engine of a node about suspects that it has heard of, as a daemon does that learns something new.
    void passOnSuspects(std::uint16_t index, membership::suspects_received const&);
    void performActions(std::uint16_t index, membership::membership_actions const&);
    void sendDatagram(std::uint16_t from, membership::send_datagram const&);
    void deliverNextDatagram();
    double drawUniform();

    kernel::random_hook m_random;
    kernel::time_point m_now { std::chrono::hours { 1 } };
    std::map<std::uint16_t, node> m_nodes;
    std::priority_queue<delivery, std::vector<delivery>, std::greater<>> m_deliveries;
    std::priority_queue<scheduled_timer, std::vector<scheduled_timer>, std::greater<>> m_timers;
    std::uint64_t m_lastSequence { 0 };
    std::uint64_t m_lastIncarnation { 0 };
};

}
