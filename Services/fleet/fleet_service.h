#pragma once

#include "Kernel/service_registry.h"
#include "Kernel/worker_thread.h"
#include "Libraries/zinnialedge/fleet/difference_exchange.h"
#include "Libraries/zinnialedge/fleet/directory_choice.h"
#include "Libraries/zinnialedge/fleet/lost_daemons.h"
#include "Libraries/zinnialedge/fleet/reach_marks.h"
#include "Libraries/zinnialedge/fleet/store_budget.h"
#include "Libraries/zinnialedge/wire/http_server.h"
#include "Services/fleet/evacuation_link.h"
#include "Services/fleet/membership_link.h"
#include "Services/fleet/poll_server.h"
#include "Services/fleet/reader_link.h"
#include "Services/fleet/registration_link.h"
#include "Services/fleet/store_link.h"
#include "Services/fleet/store_probe.h"
#include "Services/traffic/traffic_service.h"
#include <atomic>

namespace zinnialedge::services::fleet {

struct fleet_settings {
    std::string name;
    std::string region;
    std::string dataCentre;
    std::uint64_t incarnation { 0 };
    model::endpoint callerEndpoint;
    model::endpoint readinessEndpoint;
    model::endpoint directoryEndpoint;
    /// Endpoint for UDP and TCP between daemons.
    model::endpoint peerEndpoint;
    /// TCP endpoint on which peers relay leaf calls. All daemons use the same port.
    model::endpoint relayEndpoint;
    model::endpoint storeEndpoint;
    zinnialedge::fleet::store_rates storeRates;
    /// Peer endpoints of daemons for the first contact; a listed daemon may be gone or down.
    std::vector<model::endpoint> seeds;
    /// Time for which callers may use a directory answer.
    std::chrono::milliseconds directoryValidity { 1000 };
    /// Processor share of this VM in cores, if known. Strong daemons carry the traffic.
    std::optional<double> strength {};
    /// Whether evacuations of data centres are read from the store.
    bool readsEvacuations { false };
    limits::connection_shares connections { limits::shareDescriptors(4096) };
    limits::memory_shares memory { limits::shareMemory(256) };
};

/// Settings that may change while a daemon runs.
struct runtime_fleet_settings {
    std::vector<model::endpoint> seeds;
    forwarding::extra_call_limits extraCalls;
    zinnialedge::fleet::store_rates storeRates;
    allowances::quota_tolerance quotaTolerance {};

    bool operator==(runtime_fleet_settings const&) const = default;
};

/// Tracks the fleet: reads the configuration and the leafs from the store or from peers, takes part in membership, and serves
/// the directory that assigns daemons to callers.
class fleet_service final : public kernel::service {
public:
    static errors::error_or<std::shared_ptr<fleet_service>> create(fleet_settings, zinnialedge::fleet::store_protocol, traffic::traffic_service&);

    std::string const& name() const override { return m_workerThread.name(); }
    void start() override;
    void stop() override { m_workerThread.stop(); }
    bool requestState(kernel::text_receiver) override;
    bool requestMetrics(kernel::text_receiver) override;
    [[nodiscard]] bool applyRuntimeSettings(runtime_fleet_settings);
    /// Withdraws this daemon from the directory and from readiness. Requests are still accepted.
    [[nodiscard]] bool announceLeaving();
    [[nodiscard]] bool announceStop(std::function<void()> done);

    static constexpr char const* serviceName = "fleet";

private:
    fleet_service(fleet_settings, zinnialedge::fleet::store_protocol, traffic::traffic_service&);
    errors::error_or<void> listen();
    /// Returns the name of this process among the members.
    std::string memberName() const;
    membership::daemon_record makeDaemonRecord() const;

    store_link_hooks makeLinkHooks(std::function<void()> changed);
    /// Makes all links begin a later era of the store, whichever link saw the era first.
    void handleStoreEra(std::uint64_t era);
    void handleRoutesChanged();
    /// Puts a configuration object in force if its version is higher than the version in force. Returns whether it did.
    bool adoptIfNewer(zinnialedge::fleet::store_object const&);
    void logHeldNumbers() const;
    void handleLeafsChanged();
    void handleEvacuationsChanged();
    /// Passes the leafs on, unless leafs must not be called before the evacuations are known.
    void sendLeafsToTraffic();
    /// Tells the other daemons by a digest which configuration and evacuations this daemon knows.
    void shareDigest();
    /// Returns the links to the store.
    std::vector<store_link*> storeLinks();
    /// Returns the links that watch the store.
    std::vector<store_link*> watchingLinks();
    void handleDaemonsChanged();
    void handleMembersChanged();
    /// Tells the other daemons whether this daemon reaches leafs, and leaves or enters the directory.
    void handleLeafReachChanged(bool reachesLeafs);
    /// Takes what a member says of its links.
    void noteLeafReach(membership::member_changed const&);
    /// Takes that the daemon at the address reaches no leafs although membership has not told yet.
    void markWithoutLeafs(std::string const& address);
    forwarding::fleet_share computeFleetShare();
    /// Sets the daemons of the group with which this daemon keeps quotas.
    void addQuotaMembers(forwarding::fleet_share&, std::vector<zinnialedge::fleet::serving_daemon> const& group) const;
    void sendToTraffic(traffic::traffic_event);
    void startServingWhenReady();
    void runPeriodicTasks();
    /// Writes this daemon's registration again when the store no longer has the object, and removes the registration of a
    /// daemon that is dead for good. Only one live daemon removes stale registrations, on behalf of all.
    void reconcileRegistrations();

    /// Returns the daemons that the directory may offer to callers.
    std::vector<zinnialedge::fleet::serving_daemon> servingDaemons() const;
    void answerDirectory(std::string const& dataCentre, wire::http_responder const&);
    void answerReadiness(wire::http_responder const&);

    // Snapshots between daemons.
    void answerSnapshotRequest(wire::http_request const&, wire::http_responder const&);
    void requestSnapshotFromRandomPeer();
    void requestSnapshot(model::endpoint const&);
    /// Notes that another daemon knows another configuration or other evacuations.
    void handleDifference(model::endpoint const&);
    /// Asks another daemon for the configuration and the evacuations, when that is due.
    void requestDueDifference();
    void requestDifference(model::endpoint const&);
    bool isInThisDataCentre(model::endpoint const& peer) const;
    void adoptSnapshot(std::string const& body, model::endpoint const& origin);
    void adoptConfiguration(object_snapshot const&, model::endpoint const& origin);

    // Readers of the store and their subscribers.
    /// Tells the reader link which daemons are live.
    void tellReaderLink();
    bool isStoreConnected() const;
    /// Tells the traffic service when it changes whether registrations of leafs are delivered, by the store or by a reader.
    void reportDelivery();
    void handleStoreReached();
    void handleStoreFailure();
    /// Begins to poll a daemon that reaches the store, because this one has lost it.
    void seekSource();
    /// Ends a wait after the loss of the store, so that the next loss begins one of its own.
    void stopStoreLossTimer();
    void handleReadingChanged(bool readsStore);
    zinnialedge::fleet::snapshot_poll makePoll() const;
    zinnialedge::fleet::snapshot_state currentSnapshotState() const;
    std::string formatPollAnswer(zinnialedge::fleet::snapshot_selection const&) const;
    void adoptLeafs(poll_answer const&);
    void handlePollAnswer(poll_answer const&, model::endpoint const& origin);

    fleet_settings m_settings;
    kernel::io_worker_thread m_workerThread;
    zinnialedge::fleet::store_protocol m_protocol;
    traffic::traffic_service& m_trafficService;
    zinnialedge::fleet::store_budget m_storeBudget;
    store_link m_routeLink;
    store_link m_leafLink;
    store_link m_daemonLink;
    evacuation_link m_evacuationLink;
    store_probe m_storeProbe;
    registration_link m_registrationLink;
    membership_link m_membershipLink;
    reader_link m_readerLink;
    poll_server m_pollServer;
    zinnialedge::fleet::snapshot_history m_leafHistory;
    zinnialedge::fleet::snapshot_history m_evacuationHistory;
    /// Daemon in whose history the generations of the parts count; zero for none.
    std::uint64_t m_origin { 0 };
    std::map<std::string, std::uint64_t> m_knownGenerations;
    zinnialedge::fleet::difference_exchange m_differences;
    boost::asio::steady_timer m_differenceTimer;
    std::uint64_t m_digest { 0 };
    boost::asio::steady_timer m_storeLossTimer;
    std::unique_ptr<wire::http_server> m_directoryServer;
    std::unique_ptr<wire::http_server> m_readinessServer;
    std::unique_ptr<wire::http_server> m_peerServer;
    boost::asio::steady_timer m_periodicTimer;
    kernel::random_hook m_random;
    std::vector<forwarding::leaf_registration> m_leafRegistrations;
    forwarding::route_table_pointer m_routeTable;
    /// Object from which the route table in force was parsed.
    std::optional<zinnialedge::fleet::store_object> m_configurationInForce;
    std::uint64_t m_storeEra { 0 };
    std::uint64_t m_storeReturnCount { 0 };
    forwarding::fleet_share m_fleetShare { .daemonsSharingConnections = 0 };
    std::size_t m_liveDaemonCount { 1 };
    /// Member names, keyed by the names of the members' objects in the store.
    std::map<std::string, std::string> m_memberNamesByObject;
    zinnialedge::fleet::stale_registration_finder m_staleRegistrations;
    kernel::time_point m_registrationsCheckedAt;
    std::uint64_t m_malformedObjectCount { 0 };
    std::uint64_t m_directoryAnswerCount { 0 };
    bool m_isServing { false };
    /// True when the leafs are known and have not been passed on yet.
    bool m_areLeafsHeldBack { false };
    bool m_isLeaving { false };
    bool m_reachesLeafs { true };
    zinnialedge::fleet::reach_marks m_reachMarks;
    bool m_isSnapshotRequestInFlight { false };
    bool m_areRegistrationsDelivered { true };
    /// Whether this daemon tells its subscribers that it reaches the store.
    bool m_isStoreReached { false };
    /// Whether this daemon has lost the store so recently that its subscribers wait for it to find a source.
    bool m_isAwaitingSource { false };
};

}
