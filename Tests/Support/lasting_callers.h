#pragma once

#include "Tests/Support/edge_bench.h"
#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace zinnialedge::tests {

/// Attempt ids that leafs have received. Thread-safe.
class received_attempts {
public:
    void insert(std::string const& request)
    {
        std::scoped_lock const lock { m_mutex };
        m_ids.insert(rawHeaderValue(request, "Zinnialedge-Attempt-Id"));
    }

    bool contains(std::string const& id) const
    {
        std::scoped_lock const lock { m_mutex };
        return m_ids.contains(id);
    }

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_ids;
};

/// A request of a caller, and what became of it.
struct caller_outcome {
    std::string id;
    std::chrono::steady_clock::time_point sentAt;
    std::chrono::steady_clock::time_point endedAt;
    caller_answer answer;
};

/// Callers that send one request after another to a daemon until they are stopped, whether the daemon is stopping or not. Half of them use a
/// connection for as long as it is open; the others open one for each request.
class lasting_callers {
public:
    /// `makeRequest` returns the bytes of a request with the given attempt id.
    lasting_callers(model::endpoint const&, std::size_t count, std::function<std::string(std::string const& id)> const& makeRequest);
    ~lasting_callers();
    lasting_callers(lasting_callers const&) = delete;
    lasting_callers& operator=(lasting_callers const&) = delete;

    /// Ends the callers and returns the outcomes of their requests.
    std::vector<caller_outcome> stop();

private:
    void callLoop(model::endpoint const&, std::size_t number, std::function<std::string(std::string const&)> const& makeRequest);

    std::atomic<bool> m_shouldStop { false };
    std::mutex m_mutex;
    std::vector<caller_outcome> m_outcomes;
    std::vector<std::thread> m_threads;
};

/// Returns the ids of the requests that ended without a complete answer although a leaf had received them, or although the daemon had time to
/// read them.
std::vector<std::string> findCutRequests(std::vector<caller_outcome> const&, received_attempts const&);
/// Returns the ids of the requests that leafs have received although their answers say that they have not run.
std::vector<std::string> findFalseRejections(std::vector<caller_outcome> const&, received_attempts const&);

}
