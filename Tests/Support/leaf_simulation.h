#pragma once

#include "Tests/Support/engine_harness.h"
#include <deque>
#include <map>
#include <set>

namespace zinnialedge::tests {

/// Number and capacity of the simulated leafs.
struct simulated_leaf_settings {
    std::size_t shards { 20 };
    std::size_t leafs { 2 };
    std::size_t slots { 2 };
    /// Number of calls that a leaf enqueues before the leaf sheds further calls.
    std::size_t queue { 12 };
    std::chrono::milliseconds work { 10 };
};

/// Counts of the requests of one simulation run by outcome.
struct simulation_outcome {
    std::size_t requests { 0 };
    std::size_t withinObjectiveCount { 0 };
    std::size_t refused { 0 };
    /// Requests that were rejected as not run although at least one leaf had been called.
    std::size_t rejectedAfterCallsCount { 0 };
    std::size_t rejectedWithoutRetryAfterCount { 0 };
    /// Longest time between the arrival and the rejection of a request.
    kernel::duration longestRejectionTime {};
    std::size_t urgentRequestCount { 0 };
    std::size_t urgentWithinObjectiveCount { 0 };

    /// Returns the fraction of the urgent requests that were answered within the objective.
    double urgentWithinObjectiveFraction() const { return static_cast<double>(urgentWithinObjectiveCount) / static_cast<double>(urgentRequestCount); }
    /// Returns the fraction of the other requests that were answered within the objective.
    double otherWithinObjectiveFraction() const { return static_cast<double>(withinObjectiveCount - urgentWithinObjectiveCount) / static_cast<double>(requests - urgentRequestCount); }
};

/// A simulation of leafs with slots and queues behind one request engine, on virtual time in steps of 1 ms.
class leaf_simulation {
public:
    explicit leaf_simulation(simulated_leaf_settings);

    /// Simulates requests that arrive at random at the mean rate `requestsPerSecond`. Three of four requests are urgent.
    simulation_outcome run(double requestsPerSecond, std::chrono::seconds arrivalTime);

private:
    struct simulated_leaf {
        std::vector<std::pair<kernel::time_point, forwarding::call_number>> runningCalls;
        std::deque<forwarding::call_number> queuedCalls;
    };

    struct open_request {
        kernel::time_point arrivedAt;
        bool isUrgent { false };
    };

    void generateArrivals(double requestsPerSecond);
    void acceptNewCalls();
    void completeCalls();
    void collectAnswers(simulation_outcome&);

    simulated_leaf_settings m_settings;
    engine_harness m_harness;
    kernel::random_hook m_random;
    std::map<std::string, simulated_leaf> m_leafsById;
    std::set<forwarding::call_number> m_acceptedCalls;
    std::set<std::string> m_calledAttemptIds;
    std::map<forwarding::request_token, open_request> m_openRequests;
};

}
