#include "Services/fleet/fleet_service.h"

#include "Kernel/event_log.h"
#include "Kernel/metrics_text.h"
#include "Libraries/zinnialedge/fleet/evacuations.h"
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <sstream>

namespace zinnialedge::services::fleet {

using kernel::log_level;
using kernel::logEvent;
using membership::member_status;
using zinnialedge::fleet::mirror_settings;
using zinnialedge::fleet::object_kind;

/// Configurations may change in quick succession, and each must take effect within seconds.
static constexpr std::chrono::milliseconds routesBatchPause { 40 };
static constexpr std::chrono::milliseconds leafsBatchPause { 800 };
/// Daemons discover each other from the store's list at startup and through membership afterwards. Later lists repair entries that both
/// missed.
static constexpr std::chrono::milliseconds daemonsRelistInterval { 15'000 };
/// Maximum delay of the daemons' list after a return of the store.
static constexpr std::chrono::milliseconds daemonsReturnSpread { 2000 };
/// Longer than the time after which the store removes the entry of a leaf that no longer renews it.
static constexpr std::chrono::milliseconds restoredLeafHold { 5000 };
/// Long, because each new watch consumes store budget; the probe detects an unresponsive store sooner.
static constexpr std::chrono::milliseconds watchHoldTime { 20'000 };
/// Interval between snapshot requests to peers while the store is unreachable.
static constexpr std::chrono::milliseconds periodicInterval { 500 };
/// Neither callers nor other daemons send requests with bodies to the fleet service.
static constexpr std::size_t maximumBodyBytes = 4096;
/// Interval between comparisons of the registrations with the live daemons.
static constexpr std::chrono::milliseconds registrationCheckInterval { 5000 };

fleet_service::fleet_service(fleet_settings settings, zinnialedge::fleet::store_protocol protocol, traffic::traffic_service& traffic)
    : m_settings(std::move(settings))
    , m_workerThread(serviceName)
    , m_protocol(std::move(protocol))
    , m_trafficService(traffic)
    , m_storeBudget(m_settings.storeRates)
    , m_routeLink(m_workerThread.context(), m_settings.storeEndpoint, object_kind::routes, m_protocol, m_storeBudget, mirror_settings { .batchDelay = routesBatchPause, .renewalPeriod = std::chrono::milliseconds { 0 } }, watchHoldTime, makeLinkHooks([this] { handleRoutesChanged(); }))
    , m_leafLink(m_workerThread.context(), m_settings.storeEndpoint, object_kind::leafs, m_protocol, m_storeBudget, mirror_settings { .batchDelay = leafsBatchPause, .restoredObjectHold = restoredLeafHold }, watchHoldTime, makeLinkHooks([this] { handleLeafsChanged(); }))
    , m_daemonLink(m_workerThread.context(), m_settings.storeEndpoint, object_kind::daemons, m_protocol, m_storeBudget, mirror_settings { .renewalPeriod = std::chrono::milliseconds { 0 }, .relistInterval = daemonsRelistInterval, .returnSpread = daemonsReturnSpread }, watchHoldTime, makeLinkHooks([this] { handleDaemonsChanged(); }))
    , m_evacuationLink(m_workerThread.context(), m_settings.storeEndpoint, m_settings.readsEvacuations, m_protocol, m_storeBudget, makeLinkHooks([this] { handleEvacuationsChanged(); }))
    , m_storeProbe(m_workerThread.context(), m_settings.storeEndpoint, m_storeBudget, watchingLinks(), [this] {
        for (auto* const link : storeLinks())
            link->reconnect(); }, [this](wire::http_response const& reply) {
        if (auto const era = m_protocol.parseEra(reply))
            handleStoreEra(*era); })
    , m_registrationLink(m_workerThread.context(), m_settings.storeEndpoint, m_protocol, m_storeBudget, [this](std::uint64_t era) { handleStoreEra(era); })
    , m_membershipLink(m_workerThread.context(), { .self = makeDaemonRecord(), .strength = m_settings.strength, .seeds = m_settings.seeds }, { [this] { handleMembersChanged(); }, [this](model::endpoint const& endpoint) { handleDifference(endpoint); }, [this](std::vector<quarantine::suspect> const& suspects) { sendToTraffic(traffic::suspects_told { suspects }); }, [this](allowances::usage_report const& report) { sendToTraffic(traffic::usage_told { report }); }, [this](membership::member_changed const& change) { noteLeafReach(change); } })
    , m_readerLink(m_workerThread.context(), { m_settings.name, m_settings.dataCentre, m_settings.peerEndpoint, m_settings.seeds }, { [this] { return makePoll(); }, [this](poll_answer const& answer, model::endpoint const& origin) { handlePollAnswer(answer, origin); }, [this](std::string const& body, model::endpoint const& origin) { adoptSnapshot(body, origin); }, [this] { m_pollServer.answerDuePolls(); }, [this](bool readsStore) { handleReadingChanged(readsStore); }, m_settings.memory.peers })
    , m_pollServer(m_workerThread.context(), { [this] { return currentSnapshotState(); }, [this](zinnialedge::fleet::snapshot_selection const& selection) { return formatPollAnswer(selection); }, m_settings.connections.peers })
    , m_differenceTimer(m_workerThread.context())
    , m_storeLossTimer(m_workerThread.context())
    , m_periodicTimer(m_workerThread.context())
    , m_random(kernel::makeRandom())
{
}

errors::error_or<std::shared_ptr<fleet_service>> fleet_service::create(fleet_settings settings, zinnialedge::fleet::store_protocol protocol, traffic::traffic_service& traffic)
{
    std::shared_ptr<fleet_service> created { new fleet_service(std::move(settings), std::move(protocol), traffic) };
    if (auto listening = created->listen(); !listening)
        return tl::unexpected(listening.error());
    traffic.setSuspectsReceiver([self = created.get()](std::vector<quarantine::suspect> suspects) {
        // A service that has stopped tells the other daemons nothing more.
        std::ignore = self->m_workerThread.post([self, suspects = std::move(suspects)] { self->m_membershipLink.step(membership::suspects_changed { suspects }); });
    });
    traffic.setUsageReceiver([self = created.get()](std::vector<allowances::addressed_report> reports) {
        std::ignore = self->m_workerThread.post([self, reports = std::move(reports)] { self->m_membershipLink.step(membership::usage_reported { reports }); });
    });
    traffic.setLeafReachReceiver([self = created.get()](bool reachesLeafs) {
        std::ignore = self->m_workerThread.post([self, reachesLeafs] { self->handleLeafReachChanged(reachesLeafs); });
    });
    traffic.setDaemonWithoutLeafsReceiver([self = created.get()](model::endpoint const& relayEndpoint) {
        std::ignore = self->m_workerThread.post([self, address = relayEndpoint.address] { self->markWithoutLeafs(address); });
    });
    return created;
}

std::string fleet_service::memberName() const
{
    // Includes the incarnation, because an earlier process on this VM counts as a different member: its clock may have been ahead.
    std::ostringstream name;
    name << m_settings.name << "." << std::hex << m_settings.incarnation;
    return name.str();
}

membership::daemon_record fleet_service::makeDaemonRecord() const
{
    return {
        .name = memberName(),
        .partner = "all",
        .region = m_settings.region,
        .dataCentre = m_settings.dataCentre,
        .incarnation = m_settings.incarnation,
        .callerEndpoint = m_settings.callerEndpoint,
        .peerEndpoint = m_settings.peerEndpoint,
    };
}

errors::error_or<void> fleet_service::listen()
{
    auto const startListening = [this](model::endpoint const& endpoint, std::size_t connections, std::size_t memoryBytes, wire::http_handler handler) {
        return wire::http_server::listen(m_workerThread.context(), endpoint, { .bodyBytes = maximumBodyBytes, .connections = connections, .memoryBytes = memoryBytes }, std::move(handler));
    };
    auto directory = startListening(m_settings.directoryEndpoint, m_settings.connections.directory, m_settings.memory.otherPort, [this](wire::http_request const& request, wire::http_responder const& respond) {
        if (auto const dataCentre = m_protocol.parseDirectoryQuery(request))
            answerDirectory(*dataCentre, respond);
        else
            respond({ errors::propertiesOf(errors::error_kind::unknown_route).httpStatus, "{}", {} });
    });
    if (!directory)
        return tl::unexpected(directory.error());
    m_directoryServer = std::move(*directory);
    auto readiness = startListening(m_settings.readinessEndpoint, m_settings.connections.readiness, m_settings.memory.otherPort, [this](wire::http_request const& request, wire::http_responder const& respond) {
        if (m_protocol.isReadinessRequest(request))
            answerReadiness(respond);
        else
            respond({ errors::propertiesOf(errors::error_kind::unknown_route).httpStatus, "{}", {} });
    });
    if (!readiness)
        return tl::unexpected(readiness.error());
    m_readinessServer = std::move(*readiness);
    auto peers = startListening(m_settings.peerEndpoint, m_settings.connections.peers, m_settings.memory.peers, [this](wire::http_request const& request, wire::http_responder const& respond) { answerSnapshotRequest(request, respond); });
    if (!peers)
        return tl::unexpected(peers.error());
    m_peerServer = std::move(*peers);
    return m_membershipLink.open(m_settings.peerEndpoint);
}

void fleet_service::start()
{
    m_workerThread.start();
    bool const isPosted = m_workerThread.post([this] {
        tellReaderLink();
        m_readerLink.start();
        m_registrationLink.registerDaemon(m_settings.name, boost::json::parse(membership::formatDaemonRecord(makeDaemonRecord())));
        m_membershipLink.step(membership::membership_timer_due {});
        runPeriodicTasks();
    });
    VERIFY(isPosted);
}

store_link_hooks fleet_service::makeLinkHooks(std::function<void()> changed)
{
    return { std::move(changed), [this](std::uint64_t era) { handleStoreEra(era); }, [this] { handleStoreFailure(); } };
}

std::vector<store_link*> fleet_service::storeLinks()
{
    std::vector<store_link*> links { &m_routeLink, &m_leafLink, &m_daemonLink };
    if (auto* const link = m_evacuationLink.link())
        links.push_back(link);
    return links;
}

std::vector<store_link*> fleet_service::watchingLinks()
{
    std::vector<store_link*> links { &m_leafLink, &m_routeLink };
    if (auto* const link = m_evacuationLink.link())
        links.push_back(link);
    return links;
}

void fleet_service::handleStoreEra(std::uint64_t era)
{
    if (era <= m_storeEra)
        return;
    if (m_storeEra != 0) {
        ++m_storeReturnCount;
        logEvent(log_level::warn, "store_returned", { { "era", era }, { "era_before", m_storeEra }, { "leafs_as_of", m_leafLink.mirror().asOf() }, { "version_kept", m_routeTable ? m_routeTable->version() : 0 } });
    }
    m_storeEra = era;
    for (auto* const link : storeLinks())
        link->enterEra(era);
    m_registrationLink.enterEra(era);
    m_pollServer.answerDuePolls();
}

void fleet_service::sendToTraffic(traffic::traffic_event event)
{
    // The traffic service drains its inbox on each turn of its event loop; a full inbox means that the loop is stalled.
    if (!m_trafficService.inbox().push(std::move(event)))
        logEvent(log_level::error, "traffic_inbox_full");
}

void fleet_service::handleRoutesChanged()
{
    for (auto const& [name, object] : m_routeLink.mirror().objects())
        adoptIfNewer(object);
    handleStoreReached();
    startServingWhenReady();
}

bool fleet_service::adoptIfNewer(zinnialedge::fleet::store_object const& object)
{
    auto declarations = m_protocol.parseRoutes(object);
    if (!declarations) {
        ++m_malformedObjectCount;
        logEvent(log_level::warn, "configuration_unusable", { { "object", object.name }, { "revision", object.revision }, { "reason", declarations.error().message }, { "version_kept", m_routeTable ? m_routeTable->version() : 0 } });
        return false;
    }
    // Versions are the operator's and are compared across eras of the store, whose copy may hold an older version.
    if (m_routeTable && declarations->version <= m_routeTable->version())
        return false;
    m_routeTable = std::make_shared<forwarding::route_table const>(std::move(*declarations));
    m_configurationInForce = object;
    logEvent(log_level::info, "configuration_read", { { "version", m_routeTable->version() }, { "era", object.era }, { "revision", object.revision } });
    logHeldNumbers();
    sendToTraffic(m_routeTable);
    shareDigest();
    m_pollServer.answerDuePolls();
    return true;
}

void fleet_service::shareDigest()
{
    auto const digest = zinnialedge::fleet::digestOf(m_routeTable ? m_routeTable->version() : 0, m_evacuationLink.dataCentres());
    if (std::exchange(m_digest, digest) != digest)
        m_differences.recordOwnChange();
    m_membershipLink.step(membership::configuration_changed { digest });
}

void fleet_service::handleEvacuationsChanged()
{
    sendToTraffic(traffic::evacuations_changed { m_evacuationLink.dataCentres() });
    if (m_evacuationLink.isConnected())
        m_knownGenerations.erase(evacuationsPart);
    m_evacuationHistory.update(m_evacuationLink.snapshot().value_or(object_snapshot {}).objects);
    shareDigest();
    handleStoreReached();
    m_pollServer.answerDuePolls();
    sendLeafsToTraffic();
}

void fleet_service::sendLeafsToTraffic()
{
    if (!m_areLeafsHeldBack || !m_evacuationLink.mayCallLeafs(std::chrono::steady_clock::now()))
        return;
    m_areLeafsHeldBack = false;
    sendToTraffic(traffic::leafs_changed { m_leafRegistrations });
    startServingWhenReady();
}

void fleet_service::handleLeafsChanged()
{
    m_leafRegistrations.clear();
    std::size_t draining = 0;
    std::size_t unusable = 0;
    for (auto const& [name, object] : m_leafLink.mirror().objects()) {
        auto registration = m_protocol.parseLeaf(object);
        if (!registration) {
            // An entry of a foreign writer describes no leaf and must not affect the other entries.
            ++unusable;
            logEvent(log_level::debug, "leaf_entry_unusable", { { "object", name }, { "reason", registration.error().message } });
            continue;
        }
        draining += registration->isDraining ? 1 : 0;
        m_leafRegistrations.push_back(std::move(*registration));
    }
    logEvent(log_level::info, "leafs_read", { { "leafs", m_leafRegistrations.size() }, { "draining", draining }, { "unusable", unusable }, { "as_of", m_leafLink.mirror().asOf() } });
    m_areLeafsHeldBack = true;
    m_leafHistory.update(m_leafLink.mirror().objects());
    // What the store has shown since is not in another daemon's history.
    if (m_leafLink.mirror().isConnected())
        m_knownGenerations.erase(leafsPart);
    handleStoreReached();
    m_pollServer.answerDuePolls();
    sendLeafsToTraffic();
}

void fleet_service::handleDaemonsChanged()
{
    m_memberNamesByObject.clear();
    for (auto const& [name, object] : m_daemonLink.mirror().objects()) {
        auto const record = membership::parseDaemonRecord(boost::json::serialize(object.content));
        if (!record) {
            ++m_malformedObjectCount;
            logEvent(log_level::warn, "daemon_entry_unusable", { { "object", name }, { "reason", record.error().message } });
            continue;
        }
        m_memberNamesByObject[name] = record->name;
        m_membershipLink.step(membership::daemon_registered { *record });
    }
}

void fleet_service::reconcileRegistrations()
{
    auto const now = std::chrono::steady_clock::now();
    auto const& roles = m_readerLink.roles();
    if (now - m_registrationsCheckedAt < registrationCheckInterval || !roles.readsStore())
        return;
    m_registrationsCheckedAt = now;
    if (m_daemonLink.mirror().hasCompletedListing() && m_daemonLink.mirror().isConnected() && !m_daemonLink.mirror().objects().contains(m_settings.name))
        m_registrationLink.registerAgain(m_daemonLink.mirror().position());
    auto const& members = m_membershipLink.engine().members();
    std::vector<zinnialedge::fleet::registered_daemon> registered;
    std::string firstLiveDaemon = m_settings.name;
    for (auto const& [name, memberName] : m_memberNamesByObject) {
        auto const object = m_daemonLink.mirror().objects().find(name);
        if (name == m_settings.name || object == m_daemonLink.mirror().objects().end())
            continue;
        auto const* const member = members.find(memberName);
        bool const isLive = member && member->status != member_status::dead;
        registered.push_back({ name, object->second.position(), isLive });
        if (isLive && roles.isReader(name))
            firstLiveDaemon = std::min(firstLiveDaemon, name);
    }
    auto const stale = m_staleRegistrations.update(registered, now);
    // A revision of an earlier era may be assigned to a newer registration by now.
    bool const isOfCurrentEra = stale && stale->position.era == m_storeEra;
    if (isOfCurrentEra && roles.role() == zinnialedge::fleet::store_role::reader && m_daemonLink.mirror().isConnected() && firstLiveDaemon == m_settings.name)
        m_registrationLink.removeStaleRegistration(stale->name, stale->position.revision);
}

void fleet_service::handleMembersChanged()
{
    tellReaderLink();
    auto share = computeFleetShare();
    if (share == m_fleetShare)
        return;
    m_fleetShare = share;
    sendToTraffic(traffic::fleet_share_changed { std::move(share) });
}

void fleet_service::startServingWhenReady()
{
    if (m_isServing || m_isLeaving || !m_routeTable || m_leafRegistrations.empty() || m_areLeafsHeldBack)
        return;
    m_isServing = true;
    logEvent(log_level::info, "ready", { { "version", m_routeTable->version() }, { "leafs", m_leafRegistrations.size() } });
    m_membershipLink.step(membership::status_declared { member_status::serving });
    handleMembersChanged();
}

void fleet_service::runPeriodicTasks()
{
    // Polls supply what changes.
    if (!isStoreConnected() && (!m_routeTable || m_leafRegistrations.empty()))
        requestSnapshotFromRandomPeer();
    sendLeafsToTraffic();
    reportDelivery();
    reconcileRegistrations();
    if (m_reachMarks.removeExpired(std::chrono::steady_clock::now()))
        handleMembersChanged();
    m_periodicTimer.expires_after(periodicInterval);
    m_periodicTimer.async_wait([this](boost::system::error_code failure) {
        if (!failure)
            runPeriodicTasks();
    });
}

// Settings that may change at run time.

bool fleet_service::applyRuntimeSettings(runtime_fleet_settings settings)
{
    return m_workerThread.post([this, settings = std::move(settings)] {
        m_settings.seeds = settings.seeds;
        m_membershipLink.setSeeds(settings.seeds);
        m_readerLink.setSeeds(settings.seeds);
        m_storeBudget.setRates(settings.storeRates, std::chrono::steady_clock::now());
        sendToTraffic(traffic::extra_calls_changed { settings.extraCalls });
        sendToTraffic(traffic::quota_tolerance_changed { settings.quotaTolerance });
    });
}

// Stopping.

bool fleet_service::announceLeaving()
{
    return m_workerThread.post([this] {
        m_isLeaving = true;
        logEvent(log_level::info, "leaving", { { "requests_in_flight", m_trafficService.requestsInFlight() } });
        m_membershipLink.step(membership::status_declared { member_status::leaving });
        m_registrationLink.unregisterDaemon();
        m_pollServer.answerDuePolls();
    });
}

bool fleet_service::announceStop(std::function<void()> done)
{
    return m_workerThread.post([this, done = std::move(done)] {
        m_membershipLink.step(membership::process_stopping {});
        done();
    });
}

}
