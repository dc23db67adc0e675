#pragma once

#include "Libraries/zinnialedge/forwarding/request_engine.h"
#include <map>
#include <vector>

namespace zinnialedge::tests {

/// A request engine on virtual time. The test takes the part of the callers and of the leafs.
class engine_harness {
public:
    using request_change = std::function<void(forwarding::caller_request&)>;

    explicit engine_harness(forwarding::engine_settings = defaultSettings());

    static forwarding::engine_settings defaultSettings();
    /// Returns a route "/single/" to the service "desk".
    static forwarding::route singleRoute(bool isRepeatable);
    /// Returns a route "/gather/" over `shards` shards with the names shard0, shard1 and so on.
    static forwarding::route gatherRoute(std::size_t shards, double minimumCoverage);

    void declare(std::uint64_t version, std::vector<forwarding::route>, std::vector<forwarding::tenant> tenants = {});
    /// Registers `perService` leafs of each service with the names SERVICE/0, SERVICE/1 and so on. Only the first leaf of a
    /// service is in the local data centre.
    void registerLeafs(std::vector<std::string> const& services, std::size_t perService);

    /// Registers a new incarnation of a leaf.
    void restartLeaf(std::string const& id);
    /// Sets the transit time of the requests that arrive after this call.
    void setTransitTime(std::optional<kernel::duration> transit) { m_transitTime = transit; }
    /// Passes a GET request to the engine as if a caller had sent the request.
    forwarding::request_token arrive(std::string const& path, std::chrono::milliseconds timeout = std::chrono::milliseconds { 1500 });
    /// Passes a GET request to the engine after `change` has been applied to it.
    forwarding::request_token arriveChanged(std::string const& path, request_change const& change, std::chrono::milliseconds timeout = std::chrono::milliseconds { 1500 });
    /// Passes a request to the engine as if another daemon had relayed the request for some of the shards.
    forwarding::request_token sendRelayedRequest(std::string const& path, forwarding::relayed_request);
    /// Passes a request to the engine as if another daemon had passed on the complete request.
    forwarding::request_token sendDetouredRequest(std::string const& path, forwarding::detoured_request);
    /// Sets whether probes of the links are answered; they are by default.
    void setProbesAnswered(bool areAnswered) { m_areProbesAnswered = areAnswered; }
    /// Sets whether the connections of probes open; they do so by default only in order to be answered.
    void setProbesConnected(bool areConnected) { m_areProbesConnected = areConnected; }
    /// Sets whether the connection of a call is open when the call is sent; it is by default.
    void setCallsConnected(bool areConnected) { m_areCallsConnected = areConnected; }
    /// Advances the virtual time and runs each timer at the time when the timer is due. Probes are answered at the end.
    void pass(std::chrono::milliseconds);
    kernel::time_point now() const { return m_now; }

    // Ends of open leaf calls: with a sealed reply, with any reply, with a failure, or shed by the leaf.
    void succeed(forwarding::call_number, std::string body = std::string(16, 'r'));
    void reply(forwarding::call_number, forwarding::leaf_reply);
    void fail(forwarding::call_number, forwarding::call_failure);
    void shed(forwarding::call_number);

    /// Returns the open calls to a service, or to all services when the name is empty, oldest first.
    std::vector<forwarding::leaf_call> openCalls(std::string const& service = {}) const;
    /// Returns all probes that were sent, oldest first.
    std::vector<forwarding::leaf_call> const& probes() const { return m_probes; }
    /// Returns the calls that were to end unless they had been delivered.
    std::vector<forwarding::call_number> const& checkedForDelivery() const { return m_checkedCalls; }
    std::vector<forwarding::call_number> const& cancelled() const { return m_cancelledCalls; }
    /// Reports for other daemons of requests that count towards quotas, oldest first.
    std::vector<allowances::addressed_report> const& usageReports() const { return m_usageReports; }
    /// Relay endpoints of daemons that were found to reach no leafs, oldest first.
    std::vector<model::endpoint> const& markedDaemons() const { return m_markedDaemons; }
    forwarding::final_answer const* answerOf(forwarding::request_token) const;

private:
    forwarding::engine_hooks makeHooks();
    void answerProbes();

    std::optional<kernel::duration> m_transitTime;
    std::vector<forwarding::leaf_registration> m_leafs;
    kernel::time_point m_now { std::chrono::hours { 1 } };
    std::map<forwarding::call_number, forwarding::leaf_call> m_openCalls;
    std::vector<forwarding::call_number> m_cancelledCalls;
    std::vector<forwarding::call_number> m_checkedCalls;
    std::vector<forwarding::leaf_call> m_probes;
    std::vector<forwarding::call_number> m_openProbes;
    std::vector<forwarding::call_number> m_connectedProbes;
    std::vector<forwarding::call_number> m_failedProbes;
    std::vector<model::endpoint> m_markedDaemons;
    bool m_areProbesAnswered { true };
    bool m_areProbesConnected { false };
    bool m_areCallsConnected { true };
    std::map<forwarding::request_token, forwarding::final_answer> m_answers;
    std::vector<allowances::addressed_report> m_usageReports;
    forwarding::request_token m_lastToken { 0 };

public:
    /// Initialized after all other members, since the engine starts at `m_now` and its hooks use the members above.
    forwarding::request_engine engine;
};

}
