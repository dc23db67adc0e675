#pragma once

#include "Tests/Support/edge_bench.h"
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace zinnialedge::tests::soak {

/// Compares the answers that callers receive with the requests that leafs executed. Thread-safe.
class soak_checker {
public:
    /// Records the number of shards of a declared version.
    void recordDeclaredShardCount(std::size_t shards);
    /// Records that a leaf starts to execute a request.
    void recordExecution(std::string const& attemptId);

    /// Checks that a daemon which was neither killed nor paused has not cut a request that it had read.
    void checkEnd(std::string const& attemptId, caller_answer const&, std::chrono::steady_clock::duration elapsed);
    void checkSingle(std::string const& attemptId, caller_answer const&);
    void checkGather(std::string const& attemptId, caller_answer const&);
    /// Checks the answer to a request that ends the leafs that run it.
    void checkMarked(std::string const& attemptId, caller_answer const&);
    /// Checks the answer to a request that may be rejected because of its access key or quota.
    void checkUncounted(std::string const& attemptId, caller_answer const&);
    /// Runs the checks that are possible only after all requests have ended.
    void checkFinalState();

    std::vector<std::string> findings() const;
    std::size_t servedCount() const;
    std::size_t requestCount() const;
    /// Resets servedCount() and requestCount() to zero.
    void resetCounts();

private:
    void addFinding(std::string const& attemptId, std::string description);

    void recordPromise(std::string const& attemptId, caller_answer const&);

    mutable std::mutex m_mutex;
    std::set<std::size_t> m_declaredShardCounts;
    std::map<std::string, unsigned> m_executionCounts;
    std::set<std::string> m_promisedNotExecuted;
    std::vector<std::string> m_findings;
    std::size_t m_servedCount { 0 };
    std::size_t m_requestCount { 0 };
};

/// Returns the records with which a leaf of the shard service replies.
std::string makeRecords(std::string const& service);
/// Returns the body with which a leaf replies to a single request.
std::string makeBody(std::string const& attemptId);
/// Returns the seal by which a leaf proves its reply: the service name and the attempt id.
std::string makeSeal(std::string const& service, std::string const& attemptId);

}
