#include "Services/fleet/fleet_service.h"

#include "Kernel/event_log.h"
#include "Services/fleet/snapshot_codec.h"
#include <boost/asio/io_context.hpp>
#include <set>

namespace zinnialedge::services::fleet {

using kernel::log_level;
using kernel::logEvent;
using membership::member_status;
using zinnialedge::fleet::snapshot_selection;

static constexpr std::chrono::milliseconds snapshotTimeout { 1000 };
/// Time for which a reader that has lost the store does not say so. The first retry after a lost connection takes less.
static constexpr std::chrono::milliseconds storeLossGrace { 300 };
/// Time for which subscribers wait for a reader without the store to find a source. The first poll of another reader takes less.
static constexpr std::chrono::milliseconds sourceGrace { 200 };
/// One in this many requests goes to any data centre, since all daemons of this one may have lost the store.
static constexpr std::uint64_t localRequestShare = 4;
static constexpr int statusOk = 200;
static constexpr int statusNoContent = 204;

// Snapshots between daemons.

void fleet_service::answerSnapshotRequest(wire::http_request const& request, wire::http_responder const& respond)
{
    if (wire::requestPath(request) != snapshotPath) {
        respond({ errors::propertiesOf(errors::error_kind::unknown_route).httpStatus, "{}", {} });
        return;
    }
    if (auto const poll = parsePoll(request)) {
        m_pollServer.handlePoll(*poll, respond);
        return;
    }
    if (!m_configurationInForce) {
        respond({ statusNoContent, {}, {} });
        return;
    }
    object_snapshot const routes { m_configurationInForce->position(), { { m_configurationInForce->name, *m_configurationInForce } } };
    respond({ statusOk, formatSnapshot({ routes, { m_leafLink.mirror().position(), m_leafLink.mirror().objects() }, m_evacuationLink.snapshot() }), {} });
}

void fleet_service::requestSnapshotFromRandomPeer()
{
    std::vector<model::endpoint> endpoints;
    for (auto const& [name, member] : m_membershipLink.engine().members().members()) {
        if (member.status != member_status::dead)
            endpoints.push_back(member.record.peerEndpoint);
    }
    if (endpoints.empty())
        endpoints = m_settings.seeds;
    std::erase(endpoints, m_settings.peerEndpoint);
    // Traffic between data centres is charged.
    if (std::any_of(endpoints.begin(), endpoints.end(), [this](auto const& each) { return isInThisDataCentre(each); }) && m_random() % localRequestShare != 0)
        std::erase_if(endpoints, [this](auto const& each) { return !isInThisDataCentre(each); });
    if (!endpoints.empty())
        requestSnapshot(endpoints[m_random() % endpoints.size()]);
}

void fleet_service::requestSnapshot(model::endpoint const& endpoint)
{
    if (m_isSnapshotRequestInFlight)
        return;
    m_isSnapshotRequestInFlight = true;
    auto const client = std::make_shared<wire::http_client>(m_workerThread.context(), endpoint, m_settings.memory.peers);
    client->connectAndSend({ "GET", snapshotPath, {}, {}, 0 }, snapshotTimeout, [this, client, endpoint](wire::http_result const& result) {
        m_isSnapshotRequestInFlight = false;
        if (result && result->status == statusOk)
            adoptSnapshot(result->body, endpoint);
        else if (!result)
            logEvent(log_level::debug, "peer_not_reached", { { "peer", toString(endpoint) }, { "reason", result.error().reason } });
    });
}

bool fleet_service::isInThisDataCentre(model::endpoint const& peer) const
{
    auto const& members = m_membershipLink.engine().members().members();
    return std::any_of(members.begin(), members.end(), [&](auto const& each) { return each.second.record.peerEndpoint == peer && each.second.record.dataCentre == m_settings.dataCentre; });
}

// Differences of the configuration and the evacuations.

void fleet_service::handleDifference(model::endpoint const& endpoint)
{
    bool const hasOwnSource = isStoreConnected() || m_readerLink.hasReader();
    m_differences.recordDifference(endpoint, isInThisDataCentre(endpoint), hasOwnSource, std::chrono::steady_clock::now());
    requestDueDifference();
}

void fleet_service::requestDueDifference()
{
    if (auto const endpoint = m_differences.takeDueRequest(std::chrono::steady_clock::now()))
        requestDifference(*endpoint);
    auto const dueAt = m_differences.dueTime();
    if (!dueAt)
        return;
    m_differenceTimer.expires_at(*dueAt);
    m_differenceTimer.async_wait([this](boost::system::error_code failure) {
        if (!failure)
            requestDueDifference();
    });
}

void fleet_service::requestDifference(model::endpoint const& endpoint)
{
    zinnialedge::fleet::snapshot_poll poll { .configurationVersion = m_routeTable ? m_routeTable->version() : 0, .storeEra = m_storeEra };
    if (auto const known = m_evacuationLink.snapshot())
        poll.parts[evacuationsPart] = { known->position, 0 };
    else if (m_settings.readsEvacuations)
        poll.parts[evacuationsPart] = {};
    auto const client = std::make_shared<wire::http_client>(m_workerThread.context(), endpoint, m_settings.memory.peers);
    client->connectAndSend({ "GET", formatPoll(poll), {}, {}, 0 }, snapshotTimeout, [this, client, endpoint](wire::http_result const& result) {
        if (!result || result->status != statusOk)
            return;
        auto const answer = parseAnswer(result->body);
        // A daemon of an earlier version answers with a complete snapshot.
        if (!answer || !answer->state.holdsPolls) {
            adoptSnapshot(result->body, endpoint);
            return;
        }
        if (answer->routes)
            adoptConfiguration(*answer->routes, endpoint);
        if (auto const told = answer->parts.find(evacuationsPart); told != answer->parts.end())
            m_evacuationLink.adopt(object_snapshot { told->second.position.position, told->second.changes.objects }, endpoint);
        if (!answer->tellsEvacuations && m_settings.readsEvacuations)
            requestSnapshot(endpoint);
        startServingWhenReady();
    });
}

void fleet_service::adoptSnapshot(std::string const& body, model::endpoint const& origin)
{
    auto const snapshot = parseSnapshot(body);
    if (!snapshot) {
        logEvent(log_level::warn, "snapshot_unusable", { { "peer", toString(origin) }, { "reason", snapshot.error().message } });
        return;
    }
    // Leafs are adopted from a peer only while this daemon cannot reach the store. A subscriber without leafs adopts them as well, but
    // later ones only from its reader, because the reader's history does not tell what other daemons have seen.
    adoptConfiguration(snapshot->routes, origin);
    // Evacuations are adopted before the leafs, to which they apply.
    m_evacuationLink.adopt(snapshot->evacuations, origin);
    std::vector<zinnialedge::fleet::store_object> leafs;
    leafs.reserve(snapshot->leafs.objects.size());
    for (auto const& [name, object] : snapshot->leafs.objects)
        leafs.push_back(object);
    bool const isWanted = !m_leafLink.mirror().isConnected() && (m_readerLink.roles().readsStore() || m_leafRegistrations.empty());
    if (isWanted && m_leafLink.adopt(leafs, snapshot->leafs.position)) {
        logEvent(log_level::info, "leafs_from_peer", { { "peer", toString(origin) }, { "era", snapshot->leafs.position.era }, { "as_of", snapshot->leafs.position.revision } });
        handleLeafsChanged();
    }
    startServingWhenReady();
}

// Readers of the store and their subscribers.

void fleet_service::tellReaderLink()
{
    std::vector<zinnialedge::fleet::serving_daemon> daemons;
    std::set<model::endpoint> endpoints;
    if (!m_isLeaving) {
        daemons.push_back({ m_settings.name, m_settings.dataCentre, m_settings.peerEndpoint, true, m_settings.strength });
        endpoints.insert(m_settings.peerEndpoint);
    }
    for (auto const& [name, member] : m_membershipLink.engine().members().members()) {
        // A restarted daemon counts as two members until its earlier incarnation is declared dead.
        if (member.status != member_status::dead && member.status != member_status::leaving && endpoints.insert(member.record.peerEndpoint).second)
            daemons.push_back({ name.substr(0, name.rfind('.')), member.record.dataCentre, member.record.peerEndpoint, true, member.strength });
    }
    m_readerLink.setDaemons(std::move(daemons));
}

bool fleet_service::isStoreConnected() const
{
    return m_routeLink.mirror().isConnected() && m_leafLink.mirror().isConnected() && m_evacuationLink.isConnected();
}

void fleet_service::reportDelivery()
{
    bool const areDelivered = isStoreConnected() || m_readerLink.hasReader();
    if (std::exchange(m_areRegistrationsDelivered, areDelivered) != areDelivered)
        sendToTraffic(traffic::registrations_delivered { areDelivered });
}

void fleet_service::handleStoreReached()
{
    if (!isStoreConnected())
        return;
    stopStoreLossTimer();
    m_isAwaitingSource = false;
    m_readerLink.setStoreLost(false);
    if (!std::exchange(m_isStoreReached, true))
        m_pollServer.answerDuePolls();
}

void fleet_service::handleStoreFailure()
{
    if (isStoreConnected() || m_readerLink.roles().isStoreLost() || m_storeLossTimer.expiry() > std::chrono::steady_clock::now())
        return;
    m_storeLossTimer.expires_after(storeLossGrace);
    m_storeLossTimer.async_wait([this](boost::system::error_code failure) {
        if (!failure && !isStoreConnected() && m_readerLink.roles().readsStore())
            seekSource();
    });
}

void fleet_service::stopStoreLossTimer()
{
    // cancel() leaves the expiry as it is, and a store that is lost again before that time would seem to have a timer already.
    m_storeLossTimer.expires_at(std::chrono::steady_clock::time_point::min());
}

void fleet_service::seekSource()
{
    m_isAwaitingSource = std::exchange(m_isStoreReached, false);
    m_knownGenerations.clear();
    m_readerLink.setStoreLost(true);
    m_storeLossTimer.expires_after(sourceGrace);
    m_storeLossTimer.async_wait([this](boost::system::error_code failure) {
        if (failure)
            return;
        m_isAwaitingSource = false;
        m_pollServer.answerDuePolls();
    });
}

void fleet_service::handleReadingChanged(bool readsStore)
{
    m_origin = 0;
    m_knownGenerations.clear();
    for (auto* const link : storeLinks()) {
        if (readsStore)
            link->resume(m_readerLink.roles().hasHeardOfOutage());
        else
            link->suspend();
    }
    if (readsStore) {
        m_storeProbe.start();
    } else {
        m_storeProbe.stop();
        stopStoreLossTimer();
        m_isStoreReached = false;
        m_isAwaitingSource = false;
    }
    m_pollServer.answerDuePolls();
}

zinnialedge::fleet::snapshot_poll fleet_service::makePoll() const
{
    zinnialedge::fleet::snapshot_poll poll {
        .origin = m_origin,
        .configurationVersion = m_routeTable ? m_routeTable->version() : 0,
        .storeEra = m_storeEra,
    };
    auto const& roles = m_readerLink.roles();
    if (roles.readsStore() && !roles.isStoreLost())
        return poll;
    auto const generationOf = [this](char const* part) {
        auto const generation = m_knownGenerations.find(part);
        return generation == m_knownGenerations.end() ? 0 : generation->second;
    };
    if (!m_leafLink.mirror().isConnected())
        poll.parts[leafsPart] = { m_leafLink.mirror().position(), generationOf(leafsPart) };
    if (m_settings.readsEvacuations && !m_evacuationLink.isConnected())
        poll.parts[evacuationsPart] = { m_evacuationLink.snapshot().value_or(object_snapshot {}).position, generationOf(evacuationsPart) };
    return poll;
}

zinnialedge::fleet::snapshot_state fleet_service::currentSnapshotState() const
{
    zinnialedge::fleet::snapshot_state state {
        .incarnation = m_settings.incarnation,
        .configurationVersion = m_routeTable ? m_routeTable->version() : 0,
        .storeEra = m_storeEra,
        .readsStore = m_readerLink.roles().readsStore() && !m_isLeaving,
        .isStoreReached = m_isStoreReached,
        .hasSource = m_readerLink.roles().isStoreLost() && (m_isAwaitingSource || m_readerLink.hasReader()),
    };
    if (m_leafLink.mirror().hasCompletedListing())
        state.parts[leafsPart] = { m_leafLink.mirror().position(), m_leafHistory.generation() };
    if (auto const known = m_evacuationLink.snapshot())
        state.parts[evacuationsPart] = { known->position, m_evacuationHistory.generation() };
    return state;
}

std::string fleet_service::formatPollAnswer(snapshot_selection const& selection) const
{
    auto const state = currentSnapshotState();
    poll_answer answer { .incarnation = state.incarnation, .storeEra = state.storeEra, .state = { state.readsStore, state.isStoreReached, m_readerLink.roles().role() == zinnialedge::fleet::store_role::reader, state.hasSource } };
    if (selection.hasConfiguration && m_configurationInForce)
        answer.routes = object_snapshot { m_configurationInForce->position(), { { m_configurationInForce->name, *m_configurationInForce } } };
    if (auto const leafs = selection.parts.find(leafsPart); leafs != selection.parts.end())
        answer.parts[leafsPart] = { state.parts.at(leafsPart), m_leafHistory.changesSince(leafs->second.value_or(0), m_leafLink.mirror().objects()), m_leafLink.mirror().isSettled() };
    if (selection.parts.contains(evacuationsPart)) {
        if (auto const known = m_evacuationLink.snapshot())
            answer.parts[evacuationsPart] = { state.parts.at(evacuationsPart), { true, known->objects, {} }, m_evacuationLink.isSettled() };
    }
    return formatAnswer(answer);
}

void fleet_service::adoptLeafs(poll_answer const& answer)
{
    auto const leafs = answer.parts.find(leafsPart);
    if (leafs == answer.parts.end() || m_leafLink.mirror().isConnected())
        return;
    auto const& [position, changes, isSettled] = leafs->second;
    auto const mirrorGeneration = m_leafLink.mirror().generation();
    if (m_leafLink.replicate(changes.objects, changes.removed, changes.isComplete, position.position, isSettled))
        m_knownGenerations[leafsPart] = position.generation;
    if (m_leafLink.mirror().generation() != mirrorGeneration)
        handleLeafsChanged();
}

void fleet_service::handlePollAnswer(poll_answer const& answer, model::endpoint const& origin)
{
    handleStoreEra(answer.storeEra);
    if (answer.routes)
        adoptConfiguration(*answer.routes, origin);
    if (m_readerLink.roles().readsStore() && !m_readerLink.roles().isStoreLost())
        return;
    if (m_origin != answer.incarnation)
        m_knownGenerations.clear();
    m_origin = answer.incarnation;
    // Evacuations are adopted before the leafs, to which they apply.
    if (auto const told = answer.parts.find(evacuationsPart); told != answer.parts.end()) {
        auto const& [position, changes, isSettled] = told->second;
        if (m_evacuationLink.replicate({ position.position, changes.objects }, isSettled, origin))
            m_knownGenerations[evacuationsPart] = position.generation;
    }
    adoptLeafs(answer);
    startServingWhenReady();
}

void fleet_service::adoptConfiguration(object_snapshot const& routes, model::endpoint const& origin)
{
    // A configuration takes effect as soon as the store has accepted it, whichever daemon reads it first.
    for (auto const& [name, object] : routes.objects) {
        if (adoptIfNewer(object))
            logEvent(log_level::info, "configuration_from_peer", { { "peer", toString(origin) }, { "version", m_routeTable->version() } });
    }
}

}
