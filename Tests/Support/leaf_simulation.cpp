#include "Tests/Support/leaf_simulation.h"

namespace zinnialedge::tests {

static constexpr std::chrono::milliseconds stepDuration { 1 };
static constexpr std::uint64_t simulationSeed = 17;

leaf_simulation::leaf_simulation(simulated_leaf_settings settings)
    : m_settings(settings)
    , m_random(kernel::makeSeededRandom(simulationSeed))
{
    auto urgentRoute = engine_harness::gatherRoute(settings.shards, 0.89);
    urgentRoute.priority = 1;
    auto otherRoute = urgentRoute;
    otherRoute.name = "other";
    otherRoute.pathPrefix = "/other/";
    otherRoute.priority = 2;
    m_harness.declare(1, { urgentRoute, otherRoute });
    m_harness.registerLeafs(urgentRoute.gather.shards, settings.leafs);
}

void leaf_simulation::generateArrivals(double requestsPerSecond)
{
    static constexpr std::uint64_t drawResolution = 1'000'000;
    auto const probability = requestsPerSecond * std::chrono::duration<double> { stepDuration }.count() / 2;
    // Two draws in each step allow rates of up to two requests per step.
    for (int drawIndex = 0; drawIndex < 2; ++drawIndex) {
        if (static_cast<double>(m_random() % drawResolution) >= probability * drawResolution)
            continue;
        bool const isUrgent = m_random() % 4 != 0;
        auto const token = m_harness.arrive(isUrgent ? "/gather/1" : "/other/1");
        m_openRequests[token] = { m_harness.now(), isUrgent };
    }
}

void leaf_simulation::acceptNewCalls()
{
    for (auto const& call : m_harness.openCalls()) {
        if (!m_acceptedCalls.insert(call.number).second)
            continue;
        m_calledAttemptIds.insert(call.request->attemptId);
        auto& leaf = m_leafsById[call.leafId];
        if (leaf.runningCalls.size() < m_settings.slots)
            leaf.runningCalls.emplace_back(m_harness.now() + m_settings.work, call.number);
        else if (leaf.queuedCalls.size() < m_settings.queue)
            leaf.queuedCalls.push_back(call.number);
        else
            m_harness.shed(call.number);
    }
}

void leaf_simulation::completeCalls()
{
    auto const now = m_harness.now();
    for (auto& [id, leaf] : m_leafsById) {
        std::vector<forwarding::call_number> endedCalls;
        std::erase_if(leaf.runningCalls, [&](auto const& each) {
            if (each.first <= now)
                endedCalls.push_back(each.second);
            return each.first <= now;
        });
        while (leaf.runningCalls.size() < m_settings.slots && !leaf.queuedCalls.empty()) {
            leaf.runningCalls.emplace_back(now + m_settings.work, leaf.queuedCalls.front());
            leaf.queuedCalls.pop_front();
        }
        for (auto const number : endedCalls)
            m_harness.succeed(number);
    }
}

void leaf_simulation::collectAnswers(simulation_outcome& outcome)
{
    std::erase_if(m_openRequests, [&](auto const& entry) {
        auto const& [token, openRequest] = entry;
        auto const* const answer = m_harness.answerOf(token);
        if (!answer)
            return false;
        auto const latency = m_harness.now() - openRequest.arrivedAt;
        ++outcome.requests;
        outcome.urgentRequestCount += openRequest.isUrgent ? 1 : 0;
        bool const isWithinObjective = answer->status == 200 && latency <= std::chrono::milliseconds { 100 };
        outcome.withinObjectiveCount += isWithinObjective ? 1 : 0;
        outcome.urgentWithinObjectiveCount += isWithinObjective && openRequest.isUrgent ? 1 : 0;
        if (answer->status != 503)
            return true;
        ++outcome.refused;
        outcome.rejectedAfterCallsCount += m_calledAttemptIds.contains("attempt-" + std::to_string(token)) ? 1 : 0;
        outcome.rejectedWithoutRetryAfterCount += answer->error->retryAfter ? 0 : 1;
        outcome.longestRejectionTime = std::max<kernel::duration>(outcome.longestRejectionTime, latency);
        return true;
    });
}

simulation_outcome leaf_simulation::run(double requestsPerSecond, std::chrono::seconds arrivalTime)
{
    simulation_outcome outcome;
    auto const end = m_harness.now() + arrivalTime;
    static constexpr std::chrono::seconds drainTime { 2 };
    while (m_harness.now() < end + drainTime) {
        if (m_harness.now() < end)
            generateArrivals(requestsPerSecond);
        acceptNewCalls();
        m_harness.pass(stepDuration);
        completeCalls();
        collectAnswers(outcome);
    }
    return outcome;
}

}
