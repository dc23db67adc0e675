#pragma once

#include "Tests/Support/edge_bench.h"
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace zinnialedge::tests::soak {

/// Compares what callers get with what leafs did. Any thread may call it.
class soak_checker {
public:
    /// A version has that many shards.
    void noteDeclared(std::size_t shards);
    /// A leaf begins to work on a request.
    void noteRun(std::string const& attemptId);

    void checkSingle(std::string const& attemptId, raw_answer const&);
    void checkGather(std::string const& attemptId, raw_answer const&);
    /// Checks what can only be known when nothing runs any more.
    void finish();

    std::vector<std::string> findings() const;
    std::size_t served() const;
    std::size_t asked() const;
    /// Since when served() and asked() count.
    void restartCounts();

private:
    void find(std::string const& attemptId, std::string what);

    mutable std::mutex m_mutex;
    std::set<std::size_t> m_shardCounts;
    std::map<std::string, unsigned> m_runs;
    std::set<std::string> m_promisedNotRun;
    std::vector<std::string> m_findings;
    std::size_t m_served { 0 };
    std::size_t m_asked { 0 };
};

/// The records that a shard's leaf gives, and the body of a single request.
std::string recordsOf(std::string const& service);
std::string bodyOf(std::string const& attemptId);
/// What a leaf proves its answer with: its service and the request.
std::string sealOf(std::string const& service, std::string const& attemptId);

}
