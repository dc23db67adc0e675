#include "Services/fleet/fleet_service.h"

#include "Kernel/event_log.h"
#include "Kernel/metrics_text.h"
#include "Services/fleet/snapshot_codec.h"
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <random>
#include <set>
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
/// Long, because each new watch consumes store budget; the probe detects an unresponsive store sooner.
static constexpr std::chrono::milliseconds watchWait { 20'000 };
/// Daemons outside the serving group get few requests, so that four of them need as many connections to a leaf as one daemon in the
/// group.
static constexpr std::size_t idleDaemonsPerShare = 4;
/// Interval between snapshot requests to peers while the store is unreachable.
static constexpr std::chrono::milliseconds tickInterval { 500 };
/// Interval between comparisons of the registrations with the live daemons.
static constexpr std::chrono::milliseconds registrationsInterval { 5000 };
static constexpr std::chrono::milliseconds peerTimeout { 1000 };
static constexpr int statusOk = 200;
static constexpr int statusNoContent = 204;
static constexpr int statusUnavailable = 503;
static constexpr char const* snapshotPath = "/fleet/snapshot";

fleet_service::fleet_service(fleet_settings settings, zinnialedge::fleet::store_protocol protocol, traffic::traffic_service& traffic)
    : m_settings(std::move(settings))
    , m_duty(serviceName)
    , m_protocol(std::move(protocol))
    , m_traffic(traffic)
    , m_storeBudget(m_settings.storeRates)
    , m_routes(m_duty.context(), m_settings.store, object_kind::routes, m_protocol, m_storeBudget, mirror_settings { .batchPause = routesBatchPause, .returnWait = std::chrono::milliseconds { 0 } }, watchWait, [this] { routesChanged(); })
    , m_leafs(m_duty.context(), m_settings.store, object_kind::leafs, m_protocol, m_storeBudget, mirror_settings { .batchPause = leafsBatchPause }, watchWait, [this] { leafsChanged(); })
    , m_daemons(m_duty.context(), m_settings.store, object_kind::daemons, m_protocol, m_storeBudget, mirror_settings { .returnWait = std::chrono::milliseconds { 0 }, .relistInterval = daemonsRelistInterval }, watchWait, [this] { daemonsChanged(); })
    , m_probe(m_duty.context(), m_settings.store, m_protocol.probe(m_settings.name), m_storeBudget, [this] {
        for (auto* const link : { &m_routes, &m_leafs, &m_daemons })
            link->reconnect();
    })
    , m_registration(m_duty.context(), m_settings.store, m_protocol, m_storeBudget)
    , m_members(m_duty.context(), { .self = makeRecord(), .seeds = m_settings.seeds }, { [this] { membersChanged(); }, [this](model::endpoint const& place) { askPeer(place); } })
    , m_tickTimer(m_duty.context())
    , m_random(kernel::makeRandom())
{
}

errors::error_or<std::shared_ptr<fleet_service>> fleet_service::create(fleet_settings settings, zinnialedge::fleet::store_protocol protocol, traffic::traffic_service& traffic)
{
    std::shared_ptr<fleet_service> made { new fleet_service(std::move(settings), std::move(protocol), traffic) };
    if (auto listening = made->listen(); !listening)
        return tl::unexpected(listening.error());
    return made;
}

/// Includes the incarnation, because an earlier process on this VM counts as a different member: its clock may have been ahead.
static std::string memberName(fleet_settings const& settings)
{
    std::ostringstream name;
    name << settings.name << "." << std::hex << settings.incarnation;
    return name.str();
}

membership::daemon_record fleet_service::makeRecord() const
{
    return {
        .name = memberName(m_settings),
        .partner = "all",
        .region = m_settings.region,
        .dataCentre = m_settings.dataCentre,
        .incarnation = m_settings.incarnation,
        .callers = m_settings.callers,
        .peers = m_settings.peers,
    };
}

errors::error_or<void> fleet_service::listen()
{
    auto const serve = [this](model::endpoint const& place, wire::http_handler handler) {
        return wire::http_server::listen(m_duty.context(), place, {}, std::move(handler));
    };
    auto directory = serve(m_settings.directory, [this](wire::http_request const& request, wire::http_responder const& respond) {
        if (auto const dataCentre = m_protocol.parseDirectoryQuestion(request))
            answerDirectory(*dataCentre, respond);
        else
            respond({ errors::answerFor(errors::error_kind::unknown_route).httpStatus, "{}", {} });
    });
    if (!directory)
        return tl::unexpected(directory.error());
    m_directoryServer = std::move(*directory);
    auto readiness = serve(m_settings.readiness, [this](wire::http_request const& request, wire::http_responder const& respond) {
        if (m_protocol.isReadinessAsked(request))
            answerReadiness(respond);
        else
            respond({ errors::answerFor(errors::error_kind::unknown_route).httpStatus, "{}", {} });
    });
    if (!readiness)
        return tl::unexpected(readiness.error());
    m_readinessServer = std::move(*readiness);
    auto peers = serve(m_settings.peers, [this](wire::http_request const& request, wire::http_responder const& respond) { answerPeer(request, respond); });
    if (!peers)
        return tl::unexpected(peers.error());
    m_peerServer = std::move(*peers);
    return m_members.open(m_settings.peers);
}

void fleet_service::start()
{
    m_duty.start();
    bool const isPosted = m_duty.post([this] {
        m_routes.start();
        m_leafs.start();
        m_daemons.start();
        m_probe.start();
        m_registration.put(m_settings.name, boost::json::parse(membership::formatDaemonRecord(makeRecord())));
        m_members.step(membership::membership_timer_due {});
        tick();
    });
    VERIFY(isPosted);
}

void fleet_service::tell(traffic::traffic_event event)
{
    // The traffic service drains its inbox on each turn of its event loop; a full inbox means that the loop is stalled.
    if (!m_traffic.inbox().push(std::move(event)))
        logEvent(log_level::error, "traffic_inbox_full");
}

void fleet_service::routesChanged()
{
    for (auto const& [name, object] : m_routes.mirror().objects()) {
        auto declarations = m_protocol.parseRoutes(object);
        if (!declarations) {
            ++m_malformedObjects;
            logEvent(log_level::warn, "configuration_unusable", { { "object", name }, { "revision", object.revision }, { "reason", declarations.error().message }, { "version_kept", m_table ? m_table->version() : 0 } });
            continue;
        }
        if (m_table && declarations->version <= m_table->version())
            continue;
        m_table = std::make_shared<forwarding::route_table const>(std::move(*declarations));
        logEvent(log_level::info, "configuration_read", { { "version", m_table->version() }, { "revision", object.revision } });
        tell(m_table);
        m_members.step(membership::configuration_changed { m_table->version() });
    }
    serveWhenReady();
}

void fleet_service::leafsChanged()
{
    m_leafList.clear();
    std::size_t draining = 0;
    std::size_t unusable = 0;
    for (auto const& [name, object] : m_leafs.mirror().objects()) {
        auto registration = m_protocol.parseLeaf(object);
        if (!registration) {
            // An entry of a foreign writer describes no leaf and must not affect the other entries.
            ++unusable;
            logEvent(log_level::debug, "leaf_entry_unusable", { { "object", name }, { "reason", registration.error().message } });
            continue;
        }
        draining += registration->isDraining ? 1 : 0;
        m_leafList.push_back(std::move(*registration));
    }
    logEvent(log_level::info, "leafs_read", { { "leafs", m_leafList.size() }, { "draining", draining }, { "unusable", unusable }, { "as_of", m_leafs.mirror().asOf() } });
    tell(traffic::leafs_changed { m_leafList });
    serveWhenReady();
}

void fleet_service::daemonsChanged()
{
    m_registeredMembers.clear();
    for (auto const& [name, object] : m_daemons.mirror().objects()) {
        auto const record = membership::parseDaemonRecord(boost::json::serialize(object.content));
        if (!record) {
            ++m_malformedObjects;
            logEvent(log_level::warn, "daemon_entry_unusable", { { "object", name }, { "reason", record.error().message } });
            continue;
        }
        m_registeredMembers[name] = record->name;
        m_members.step(membership::daemon_registered { *record });
    }
}

void fleet_service::tendRegistrations()
{
    auto const now = std::chrono::steady_clock::now();
    if (now - m_registrationsSeenAt < registrationsInterval)
        return;
    m_registrationsSeenAt = now;
    if (m_daemons.mirror().hasListed() && !m_daemons.mirror().objects().contains(m_settings.name))
        m_registration.putAgain(m_daemons.mirror().asOf());
    auto const& members = m_members.engine().members();
    std::vector<zinnialedge::fleet::registered_daemon> registered;
    std::string firstLiving = m_settings.name;
    for (auto const& [name, memberName] : m_registeredMembers) {
        auto const object = m_daemons.mirror().objects().find(name);
        if (name == m_settings.name || object == m_daemons.mirror().objects().end())
            continue;
        auto const* const member = members.find(memberName);
        bool const isLiving = member && member->status != member_status::dead;
        registered.push_back({ name, object->second.revision, isLiving });
        if (isLiving)
            firstLiving = std::min(firstLiving, name);
    }
    auto const lost = m_lostDaemons.update(registered, now);
    if (lost && m_daemons.mirror().isConnected() && firstLiving == m_settings.name)
        m_registration.removeLost(lost->name, lost->revision);
}

void fleet_service::membersChanged()
{
    auto share = makeShare();
    if (share == m_share)
        return;
    m_share = share;
    tell(traffic::fleet_share_changed { std::move(share) });
}

forwarding::fleet_share fleet_service::makeShare()
{
    std::set<model::endpoint> living { m_settings.callers };
    for (auto const& [name, member] : m_members.engine().members().all()) {
        if (member.status != member_status::dead)
            living.insert(member.record.callers);
    }
    m_livingCount = living.size();
    m_storeBudget.setDaemonCount(m_livingCount, std::chrono::steady_clock::now());
    auto const group = zinnialedge::fleet::chooseGroup(servingDaemons());
    forwarding::fleet_share share;
    bool const isInGroup = std::any_of(group.begin(), group.end(), [this](auto const& each) { return each.place == m_settings.callers; });
    if (group.empty() || group.size() > living.size()) {
        share.connectionHolders = living.size();
        share.slackHolders = living.size();
        return share;
    }
    share.connectionHolders = group.size() + (living.size() - group.size()) / idleDaemonsPerShare;
    // One extra holder is counted: a member that some daemons do not know yet must not make the sum of shares exceed the total.
    share.slackHolders = isInGroup ? std::max(group.size(), std::min(living.size(), group.size() + 1)) : 0;
    for (auto const& each : group) {
        if (each.dataCentre != m_settings.dataCentre)
            share.relays.push_back({ each.dataCentre, { each.place.address, m_settings.relays.port } });
    }
    return share;
}

void fleet_service::serveWhenReady()
{
    if (m_isServing || m_isLeaving || !m_table || m_leafList.empty())
        return;
    m_isServing = true;
    logEvent(log_level::info, "ready", { { "version", m_table->version() }, { "leafs", m_leafList.size() } });
    m_members.step(membership::status_declared { member_status::serving });
    membersChanged();
}

void fleet_service::tick()
{
    if (!m_routes.mirror().isConnected() || !m_leafs.mirror().isConnected())
        askPeers();
    tendRegistrations();
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](boost::system::error_code failure) {
        if (!failure)
            tick();
    });
}

// The directory.

std::vector<zinnialedge::fleet::directory_entry> fleet_service::servingDaemons() const
{
    std::vector<zinnialedge::fleet::directory_entry> daemons;
    if (m_isServing && !m_isLeaving)
        daemons.push_back({ m_settings.name, m_settings.dataCentre, m_settings.callers });
    for (auto const& [name, member] : m_members.engine().members().all()) {
        // A restarted daemon counts as two members until its earlier incarnation is declared dead.
        bool const isKnown = std::any_of(daemons.begin(), daemons.end(), [&](auto const& each) { return each.place == member.record.callers; });
        if (member.status == member_status::serving && !isKnown)
            daemons.push_back({ name.substr(0, name.rfind('.')), member.record.dataCentre, member.record.callers });
    }
    return daemons;
}

void fleet_service::answerDirectory(std::string const& dataCentre, wire::http_responder const& respond)
{
    ++m_directoryAnswers;
    auto addresses = zinnialedge::fleet::chooseDaemons(servingDaemons(), dataCentre);
    if (addresses.empty()) {
        respond({ statusUnavailable, "{}", {} });
        return;
    }
    std::shuffle(addresses.begin(), addresses.end(), std::minstd_rand { static_cast<std::uint32_t>(m_random()) });
    respond({ statusOk, m_protocol.formatDirectory(addresses, m_settings.directoryValidity), {} });
}

void fleet_service::answerReadiness(wire::http_responder const& respond)
{
    respond({ m_isServing && !m_isLeaving ? statusOk : statusUnavailable, "{}", {} });
}

// Snapshots between daemons.

void fleet_service::answerPeer(wire::http_request const& request, wire::http_responder const& respond)
{
    if (wire::pathOf(request) != snapshotPath) {
        respond({ errors::answerFor(errors::error_kind::unknown_route).httpStatus, "{}", {} });
        return;
    }
    if (!m_routes.mirror().hasListed() && !m_table) {
        respond({ statusNoContent, {}, {} });
        return;
    }
    respond({ statusOk, formatSnapshot({ { m_routes.mirror().asOf(), m_routes.mirror().objects() }, { m_leafs.mirror().asOf(), m_leafs.mirror().objects() } }), {} });
}

void fleet_service::askPeers()
{
    std::vector<model::endpoint> places;
    for (auto const& [name, member] : m_members.engine().members().all()) {
        if (member.status != member_status::dead)
            places.push_back(member.record.peers);
    }
    if (places.empty())
        places = m_settings.seeds;
    std::erase(places, m_settings.peers);
    if (!places.empty())
        askPeer(places[m_random() % places.size()]);
}

void fleet_service::askPeer(model::endpoint const& place)
{
    if (m_isAskingPeer)
        return;
    m_isAskingPeer = true;
    auto const client = std::make_shared<wire::http_client>(m_duty.context(), place);
    client->connectAndSend({ "GET", snapshotPath, {}, {}, 0 }, peerTimeout, [this, client, place](wire::http_result const& result) {
        m_isAskingPeer = false;
        if (result && result->status == statusOk)
            takeSnapshot(result->body, place);
        else if (!result)
            logEvent(log_level::debug, "peer_not_reached", { { "peer", toString(place) }, { "reason", result.error().reason } });
    });
}

void fleet_service::takeSnapshot(std::string const& body, model::endpoint const& origin)
{
    auto const snapshot = parseSnapshot(body);
    if (!snapshot) {
        logEvent(log_level::warn, "snapshot_unusable", { { "peer", toString(origin) }, { "reason", snapshot.error().message } });
        return;
    }
    auto const objectsOf = [](snapshot_part const& part) {
        std::vector<zinnialedge::fleet::store_object> objects;
        objects.reserve(part.objects.size());
        for (auto const& [name, object] : part.objects)
            objects.push_back(object);
        return objects;
    };
    // A configuration takes effect as soon as the store has accepted it, whichever daemon reads it first. Leafs are adopted from a
    // peer only while this daemon cannot reach the store.
    if (m_routes.adopt(objectsOf(snapshot->routes), snapshot->routes.asOf)) {
        logEvent(log_level::info, "configuration_from_peer", { { "peer", toString(origin) }, { "as_of", snapshot->routes.asOf } });
        routesChanged();
    }
    if (!m_leafs.mirror().isConnected() && m_leafs.adopt(objectsOf(snapshot->leafs), snapshot->leafs.asOf)) {
        logEvent(log_level::info, "leafs_from_peer", { { "peer", toString(origin) }, { "as_of", snapshot->leafs.asOf } });
        leafsChanged();
    }
}

// Settings that change.

bool fleet_service::setLimits(fleet_limits limits)
{
    return m_duty.post([this, limits = std::move(limits)] {
        m_settings.seeds = limits.seeds;
        m_members.setSeeds(limits.seeds);
        m_storeBudget.setRates(limits.storeRates, std::chrono::steady_clock::now());
        tell(traffic::extra_calls_changed { limits.extraCalls });
    });
}

// Stopping.

bool fleet_service::announceLeaving()
{
    return m_duty.post([this] {
        m_isLeaving = true;
        logEvent(log_level::info, "leaving", { { "requests_in_flight", m_traffic.requestsInFlight() } });
        m_members.step(membership::status_declared { member_status::leaving });
        m_registration.remove();
        tell(traffic::leaving_begun {});
    });
}

bool fleet_service::announceStop(std::function<void()> done)
{
    return m_duty.post([this, done = std::move(done)] {
        m_members.step(membership::process_stopping {});
        done();
    });
}

// State.

bool fleet_service::requestState(kernel::state_receiver receiver)
{
    return m_duty.post([this, receiver = std::move(receiver)] {
        boost::json::array members;
        for (auto const& [name, member] : m_members.engine().members().all())
            members.push_back({ { "name", name }, { "status", membership::toString(member.status) }, { "callers", toString(member.record.callers) } });
        boost::json::object const state {
            { "serving", m_isServing },
            { "leaving", m_isLeaving },
            { "configuration_version", m_table ? m_table->version() : 0 },
            { "leafs", m_leafList.size() },
            { "store_reached", m_routes.mirror().isConnected() && m_leafs.mirror().isConnected() },
            { "store_calls", m_routes.counters().calls + m_leafs.counters().calls + m_daemons.counters().calls + m_registration.calls() + m_probe.calls() },
            { "store_reads_paid", m_storeBudget.reads().taken() },
            { "store_writes_paid", m_storeBudget.writes().taken() },
            { "store_calls_put_off", m_storeBudget.reads().refused() + m_storeBudget.writes().refused() },
            { "members", std::move(members) },
        };
        receiver(boost::json::serialize(state));
    });
}

bool fleet_service::requestMetrics(kernel::state_receiver receiver)
{
    return m_duty.post([this, receiver = std::move(receiver)] {
        kernel::metrics_text metrics;
        std::vector<std::pair<std::string_view, std::uint64_t>> calls;
        std::vector<std::pair<std::string_view, std::uint64_t>> failures;
        for (auto const& [kind, link] : { std::pair { object_kind::routes, &m_routes }, std::pair { object_kind::leafs, &m_leafs }, std::pair { object_kind::daemons, &m_daemons } }) {
            calls.emplace_back(nameOf(kind), link->counters().calls);
            failures.emplace_back(nameOf(kind), link->counters().failures);
        }
        metrics.counter("store_calls_total", "kind", calls);
        metrics.counter("store_call_failures_total", "kind", failures);
        metrics.counter("store_calls_put_off_total", m_storeBudget.reads().refused() + m_storeBudget.writes().refused());
        metrics.gauge("store_reached", m_leafs.mirror().isConnected() ? 1 : 0);
        metrics.gauge("members_living", m_livingCount);
        metrics.counter("directory_answers_total", m_directoryAnswers);
        metrics.counter("malformed_objects_total", m_malformedObjects);
        receiver(metrics.text());
    });
}

}
