#pragma once

#include "Libraries/zinnialedge/forwarding/request_engine.h"
#include <map>
#include <vector>

namespace zinnialedge::tests {

/// A request engine on virtual time; the test plays callers and leafs.
class engine_harness {
public:
    explicit engine_harness(forwarding::engine_settings = defaultSettings());

    static forwarding::engine_settings defaultSettings();
    /// A route to one service.
    static forwarding::route singleRoute(bool isRepeatable);
    /// A route over so many shards, named shard0 and so on.
    static forwarding::route gatherRoute(std::size_t shards, double leastShare);

    void declare(std::uint64_t version, std::vector<forwarding::route>);
    /// `perService` leafs of each service, named SERVICE/0 and so on; the first is in the own data centre.
    void registerLeafs(std::vector<std::string> const& services, std::size_t perService);

    /// Of the requests that arrive from now on.
    void setTransit(std::optional<kernel::duration> transit) { m_transit = transit; }
    forwarding::request_token arrive(std::string const& path, std::chrono::milliseconds patience = std::chrono::milliseconds { 1500 });
    /// The same from another daemon, for a part of the shards.
    forwarding::request_token arriveRelayed(std::string const& path, forwarding::relayed_request);
    /// Lets time pass and runs the timers that are due on the way.
    void pass(std::chrono::milliseconds);
    kernel::time_point now() const { return m_now; }

    // What leafs do with the calls that are open.
    void succeed(forwarding::call_number, std::string body = std::string(16, 'r'));
    void reply(forwarding::call_number, forwarding::leaf_reply);
    void fail(forwarding::call_number, forwarding::call_failure);
    void shed(forwarding::call_number);

    /// The open calls to a service, oldest first; of all services with an empty name.
    std::vector<forwarding::leaf_call> openCalls(std::string const& service = {}) const;
    std::vector<forwarding::call_number> const& cancelled() const { return m_cancelled; }
    forwarding::final_answer const* answerOf(forwarding::request_token) const;

private:
    forwarding::engine_hooks makeHooks();
    forwarding::request_token take(std::string const& path, std::chrono::milliseconds patience, std::optional<forwarding::relayed_request>);

    std::optional<kernel::duration> m_transit;
    kernel::time_point m_now { std::chrono::hours { 1 } };
    std::map<forwarding::call_number, forwarding::leaf_call> m_open;
    std::vector<forwarding::call_number> m_cancelled;
    std::map<forwarding::request_token, forwarding::final_answer> m_answers;
    forwarding::request_token m_lastToken { 0 };

public:
    /// Built last: it starts at the harness's time.
    forwarding::request_engine engine;
};

}
