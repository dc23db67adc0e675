#pragma once

#include "Kernel/service_registry.h"
#include "Kernel/worker_thread.h"
#include "Libraries/zinnialedge/forwarding/edge_protocol.h"
#include "Libraries/zinnialedge/forwarding/request_engine.h"
#include "Libraries/zinnialedge/limits/vm_shares.h"
#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <variant>

namespace zinnialedge::services::traffic {

struct traffic_settings {
    model::endpoint callers;
    /// Endpoint on which peers relay calls to leafs of this data centre.
    model::endpoint relays;
    /// Local address of the connections to leafs; empty when the system chooses it.
    std::string leafCallSource;
    limits::connection_shares connections { limits::shareDescriptors(4096) };
    limits::memory_shares memory { limits::shareMemory(256) };
    forwarding::engine_settings engine;
};

// Events that the fleet service sends to the traffic service.

struct leafs_changed {
    std::vector<forwarding::leaf_registration> leafs;
};

/// The set of data centres to whose leafs nothing may be sent has changed.
struct evacuations_changed {
    std::set<std::string> dataCentres;
};

struct fleet_share_changed {
    forwarding::fleet_share share;
};

struct extra_calls_changed {
    forwarding::extra_call_limits limits;
};

/// Other daemons have told of requests under which leafs were lost.
struct suspects_told {
    std::vector<quarantine::suspect> suspects;
};

struct quota_tolerance_changed {
    allowances::quota_tolerance tolerance;
};

/// Another daemon has reported requests that count towards quotas.
struct usage_told {
    allowances::usage_report report;
};

/// Another daemon has told that it has lost its links to the leafs.
struct link_loss_told {
    std::size_t daemonCount { 0 };
};

/// Whether changes of the leafs' registrations are delivered at the moment.
struct registrations_delivered {
    bool areDelivered { false };
};

using traffic_event = std::variant<forwarding::route_table_pointer, leafs_changed, evacuations_changed, fleet_share_changed, extra_calls_changed, suspects_told, quota_tolerance_changed, usage_told, link_loss_told, registrations_delivered>;

/// Receives requests from callers and calls leafs, all on one event loop: a leaf's reply costs one wake-up and no hand-over between
/// threads.
class traffic_service final : public kernel::service {
public:
    static errors::error_or<std::shared_ptr<traffic_service>> create(traffic_settings, forwarding::edge_protocol, kernel::random_hook);
    ~traffic_service() override;

    std::string const& name() const override { return m_workerThread.name(); }
    void start() override { m_workerThread.start(); }
    void stop() override { m_workerThread.stop(); }
    bool requestState(kernel::text_receiver) override;
    bool requestMetrics(kernel::text_receiver) override;

    /// Returns the inbox for events from the fleet service, which is the only producer.
    kernel::ring<traffic_event>& inbox() { return *m_inbox; }
    /// Sets the receiver of the requests under which leafs were lost, which is called on the service's thread. Call before start().
    void setSuspectsReceiver(std::function<void(std::vector<quarantine::suspect>)>);
    /// Sets the receiver of reports of requests that count towards quotas, which is called on the service's thread. Call before start().
    void setUsageReceiver(std::function<void(std::vector<allowances::addressed_report>)>);
    /// Sets the receiver of whether this daemon reaches leafs, which is called on the service's thread. Call before start().
    void setLeafReachReceiver(std::function<void(bool)>);
    /// Sets the receiver of relay endpoints of daemons that were found to reach no leafs, which is called on the service's thread. Call
    /// before start().
    void setDaemonWithoutLeafsReceiver(std::function<void(model::endpoint const&)>);
    std::uint16_t port() const;
    /// Returns the number of requests that wait for an answer. Safe to call from any thread.
    std::size_t requestsInFlight() const { return m_requestsInFlight.load(); }

    // Planned stop. The functions return false when the service can't take the order.

    /// Makes all further answers ask callers to close their connections. Requests that can't be expected to be served until `answersDueAt` are
    /// rejected as not run, and those that are open then are answered without their leafs.
    [[nodiscard]] bool announceLeaving(kernel::time_point answersDueAt);
    /// Rejects all further requests as not run.
    [[nodiscard]] bool rejectNewRequests();
    /// Closes idle connections, and passes the number of those with a request that is not completely answered to `receiver` on the service's
    /// thread.
    bool drainConnections(std::function<void(std::size_t)> receiver);
    /// Accepts no further connections.
    [[nodiscard]] bool stopAccepting();

    /// Logs each request that waits for its answer as interrupted, and passes the number of requests whose answers are not written completely to
    /// `receiver` on the service's thread. Returns false when the service has stopped.
    bool reportInterruptedRequests(std::function<void(std::size_t)> receiver);

    /// Passes an explanation of what would become of the request now, as a JSON object, to the receiver on the service's thread. `parameters`
    /// are those of GET /route. Returns false when the service has stopped.
    bool requestExplanation(std::map<std::string, std::string> const& parameters, std::function<void(errors::error_or<std::string>)> receiver);

    static constexpr char const* serviceName = "traffic";

private:
    class implementation;

    explicit traffic_service(traffic_settings, forwarding::edge_protocol, kernel::random_hook);

    kernel::io_worker_thread m_workerThread;
    std::atomic<std::size_t> m_requestsInFlight { 0 };
    std::unique_ptr<implementation> m_implementation;
    std::shared_ptr<kernel::ring<traffic_event>> m_inbox;
};

}
