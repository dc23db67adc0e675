#include "Tests/Support/leaf_simulation.h"

namespace zinnialedge::tests {

static constexpr std::chrono::milliseconds step { 1 };
static constexpr std::uint64_t simulationSeed = 17;

leaf_simulation::leaf_simulation(simulated_leafs plan)
    : m_plan(plan)
    , m_random(kernel::makeSeededRandom(simulationSeed))
{
    auto urgent = engine_harness::gatherRoute(plan.shards, 0.89);
    urgent.priority = 1;
    auto other = urgent;
    other.name = "other";
    other.pathPrefix = "/other/";
    other.priority = 2;
    m_harness.declare(1, { urgent, other });
    m_harness.registerLeafs(urgent.gather.shards, plan.leafs);
}

void leaf_simulation::arriveAtRandom(double perSecond)
{
    static constexpr std::uint64_t grain = 1'000'000;
    auto const chance = perSecond * std::chrono::duration<double> { step }.count() / 2;
    // Two draws in each step allow rates of up to two requests per step.
    for (int turn = 0; turn < 2; ++turn) {
        if (static_cast<double>(m_random() % grain) >= chance * grain)
            continue;
        bool const isUrgent = m_random() % 4 != 0;
        auto const token = m_harness.arrive(isUrgent ? "/gather/1" : "/other/1");
        m_open[token] = { m_harness.now(), isUrgent };
    }
}

void leaf_simulation::takeCalls()
{
    for (auto const& call : m_harness.openCalls()) {
        if (!m_seenCalls.insert(call.number).second)
            continue;
        m_calledAttempts.insert(call.request->attemptId);
        auto& leaf = m_leafs[call.leafId];
        if (leaf.running.size() < m_plan.slots)
            leaf.running.emplace_back(m_harness.now() + m_plan.work, call.number);
        else if (leaf.waiting.size() < m_plan.queue)
            leaf.waiting.push_back(call.number);
        else
            m_harness.shed(call.number);
    }
}

void leaf_simulation::work()
{
    auto const now = m_harness.now();
    for (auto& [id, leaf] : m_leafs) {
        std::vector<forwarding::call_number> done;
        std::erase_if(leaf.running, [&](auto const& each) {
            if (each.first <= now)
                done.push_back(each.second);
            return each.first <= now;
        });
        while (leaf.running.size() < m_plan.slots && !leaf.waiting.empty()) {
            leaf.running.emplace_back(now + m_plan.work, leaf.waiting.front());
            leaf.waiting.pop_front();
        }
        for (auto const number : done)
            m_harness.succeed(number);
    }
}

void leaf_simulation::collect(simulation_outcome& outcome)
{
    std::erase_if(m_open, [&](auto const& entry) {
        auto const& [token, arrived] = entry;
        auto const* const answer = m_harness.answerOf(token);
        if (!answer)
            return false;
        auto const taken = m_harness.now() - arrived.at;
        ++outcome.requests;
        outcome.urgentRequests += arrived.isUrgent ? 1 : 0;
        bool const isInTime = answer->status == 200 && taken <= std::chrono::milliseconds { 100 };
        outcome.inTime += isInTime ? 1 : 0;
        outcome.urgentServed += isInTime && arrived.isUrgent ? 1 : 0;
        if (answer->status != 503)
            return true;
        ++outcome.refused;
        outcome.refusedAfterCalls += m_calledAttempts.contains("attempt-" + std::to_string(token)) ? 1 : 0;
        outcome.refusedWithoutRetryAfter += answer->refused->retryAfter ? 0 : 1;
        outcome.longestRefusal = std::max<kernel::duration>(outcome.longestRefusal, taken);
        return true;
    });
}

simulation_outcome leaf_simulation::run(double perSecond, std::chrono::seconds span)
{
    simulation_outcome outcome;
    auto const end = m_harness.now() + span;
    static constexpr std::chrono::seconds drainTime { 2 };
    while (m_harness.now() < end + drainTime) {
        if (m_harness.now() < end)
            arriveAtRandom(perSecond);
        takeCalls();
        m_harness.pass(step);
        work();
        collect(outcome);
    }
    return outcome;
}

}
