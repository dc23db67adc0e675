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
    struct asking {
        model::query_request request;
        kernel::time_point deadline;
        bool isRepeatable { true };
        bool isOverAllShards { true };
        bool isAnswered { false };
        bool hasLeft { false };
        bool isRelayed { false };
    };

    /// State of one call to a leaf, as far as the engine was informed.
    struct leaf_call {
        queries::send_leaf_call sent;
        bool isAnswerDelivered { false };
        bool isKnownUnrun { false };
        bool hasEnded { false };
    };

    struct leaf_view {
        std::vector<std::uint64_t> epochs { 1 };
        std::vector<std::uint64_t> versions { 1 };
        bool isDraining { false };
        /// Whether the last status delivered to the engine said that the leaf accepts new work.
        bool isTakingNewWork { false };
        bool isGone { false };
    };

    void at(kernel::duration delay, std::function<void()> what);
    std::uint64_t draw(std::uint64_t below);
    bool chance(std::uint64_t percent) { return draw(100) < percent; }
    kernel::duration drawDelay(std::uint64_t belowMilliseconds);
    void step(queries::event const&);
    void fail(std::string const& what);

    void declare();
    void redeclare();
    void changeLeaf();
    void tellStatus(routing::leaf_handle);
    void ask();
    void askAgain(model::query_request, bool isOther);
    void submit(model::query_request const&);

    void check(queries::send_leaf_call const&);
    void check(queries::cancel_leaf_call const&) const { }
    void check(queries::abandon_relay const&) const { }
    void check(queries::change_leaf_connections const&);
    void check(queries::relay_query const&);
    void check(queries::answer_caller const&);
    void checkAnswer(asking const&, model::answer const&);
    void checkNoneForgotten(asking const&, model::answer const&);
    void checkUnrun(asking const&, errors::error const&);
    void checkEnd();

    queries::leaf_outcome drawOutcome(queries::send_leaf_call const&);
    void deliver(queries::call_id, queries::leaf_outcome const&);
    static std::vector<model::row> rowsOf(std::uint32_t shard, model::snapshot);
    bool isSameRun(leaf_call const&, asking const&) const;

    std::mt19937_64 m_random;
    kernel::time_point m_now;
    queries::query_engine m_engine;
    std::multimap<kernel::time_point, std::function<void()>> m_agenda;
    model::service_declaration m_declared;
    bool m_isDeclared { false };
    std::map<std::uint64_t, std::uint32_t> m_shardsOfEpoch;
    std::map<routing::leaf_handle, leaf_view> m_leafs;
    std::map<std::string, routing::leaf_handle> m_handles;
    std::map<queries::caller_token, asking> m_askings;
    std::map<queries::call_id, leaf_call> m_calls;
    queries::caller_token m_lastCaller { 0 };
    bool m_isTimerStep { false };
    std::optional<std::string> m_fault;
};

}
