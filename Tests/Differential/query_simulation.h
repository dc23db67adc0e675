#pragma once

#include "Libraries/zinnialedge/queries/query_engine.h"
#include <array>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

namespace zinnialedge::tests {

/// Drives the query engine on virtual time through one seeded schedule of queries, replies, faults and declarations,
/// and checks every action against a record of the calls sent and the replies delivered.
class query_simulation {
public:
    explicit query_simulation(std::uint64_t seed);

    /// Runs the schedule. Returns a description of the first violated invariant, or nothing.
    std::optional<std::string> run();

private:
    /// A query of one caller, with the deadline of its answer.
    struct caller_query {
        model::query_request request;
        kernel::time_point deadline;
        bool isRepeatable { true };
        bool isAllShardsQuery { true };
        bool isAnswered { false };
        bool hasDisconnected { false };
        bool isRelayed { false };
    };

    /// State of one call to a leaf, as far as the engine was informed.
    struct leaf_call {
        queries::send_leaf_call sent;
        bool hasUsableReply { false };
        bool isKnownNotExecuted { false };
        bool hasEnded { false };
    };

    struct simulated_leaf {
        std::vector<std::uint64_t> epochs { 1 };
        std::vector<std::uint64_t> versions { 1 };
        bool isDraining { false };
        /// Whether the last status delivered to the engine said that the leaf accepts new work.
        bool isAcceptingNewWork { false };
        bool isRemoved { false };
    };

    /// Schedules the work at the current virtual time plus the delay.
    void schedule(kernel::duration delay, std::function<void()> work);
    std::uint64_t drawNumber(std::uint64_t below);
    bool drawBool(std::uint64_t percent) { return drawNumber(100) < percent; }
    kernel::duration drawDelay(std::uint64_t belowMilliseconds);
    void step(queries::event const&);
    void recordViolation(std::string const& message);

    void declare();
    void redeclare();
    void changeLeaf();
    void deliverStatus(routing::leaf_handle);
    void submitRandomQuery();
    void resubmit(model::query_request, bool hasOtherKey);
    void submit(model::query_request const&);

    void check(queries::send_leaf_call const&);
    void check(queries::cancel_leaf_call const&) const { }
    void check(queries::abandon_relay const&) const { }
    void check(queries::share_suspects const&) const { }
    void check(queries::report_quarantine const&) const { }
    void check(queries::change_leaf_connections const&);
    void check(queries::relay_query const&);
    void check(queries::answer_caller const&);
    void checkAnswer(caller_query const&, model::answer const&);
    void checkNoShardSkipped(caller_query const&, model::answer const&);
    void checkNotExecuted(caller_query const&, errors::error const&);
    void checkFinalState();

    queries::leaf_outcome drawOutcome(queries::send_leaf_call const&);
    void deliverOutcome(queries::call_id, queries::leaf_outcome const&);
    static std::vector<model::row> makeRows(std::uint32_t shard, model::snapshot);
    bool isCallOf(leaf_call const&, caller_query const&) const;

    std::mt19937_64 m_random;
    kernel::time_point m_now;
    queries::query_engine m_engine;
    std::multimap<kernel::time_point, std::function<void()>> m_events;
    model::service_declaration m_declaration;
    bool m_isDeclared { false };
    std::map<std::uint64_t, std::uint32_t> m_shardCountByEpoch;
    std::map<routing::leaf_handle, simulated_leaf> m_leafs;
    std::map<std::string, routing::leaf_handle> m_handleByName;
    std::map<queries::caller_token, caller_query> m_callerQueries;
    std::map<queries::call_id, leaf_call> m_calls;
    queries::caller_token m_lastCaller { 0 };
    bool m_isTimerStep { false };
    std::optional<std::string> m_violation;
};

}
