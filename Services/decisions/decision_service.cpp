#include "Services/decisions/decision_service.h"

#include "Kernel/event_log.h"
#include "Libraries/zinnialedge/configuration/service_object.h"
#include <algorithm>

namespace zinnialedge::services::decisions {

using kernel::log_level;
using kernel::logEvent;

/// Maximum sleep of the worker thread when no timer is set.
static constexpr std::chrono::seconds maximumIdleSleep { 1 };
/// Ring slots per leaf call: half of the ring is reserved for replies, the other half is for status reports.
static constexpr std::size_t targetEventSlotsPerCall = 2;
/// Maximum number of daemons to which an accepted change is pushed directly.
static constexpr std::size_t maximumPushCount = 16;
/// Time without messages after which a daemon counts as cut off. An accepted change is in effect within this time on every
/// daemon that is not cut off.
static constexpr std::chrono::seconds cutOffTimeout { 11 };
static constexpr std::chrono::milliseconds cutOffRetryAfter { 1000 };
static constexpr std::chrono::milliseconds startingRetryAfter { 100 };
/// Time limit for the first status reports of the leafs; the daemon then serves even if some leafs have not reported.
static constexpr std::chrono::seconds leafStatusTimeout { 2 };

decision_service::decision_service(decision_settings settings, kernel::clock_hook clock, kernel::random_hook random)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_workerThread(serviceName, std::move(clock), [this] { return handleTimers(); })
    , m_random(std::move(random))
    , m_engine(m_settings.engine, m_random)
    , m_callerInbox(m_workerThread.createInbox<caller_event>(m_settings.callerInboxCapacity, [this](caller_event&& event) { handle(std::move(event)); }))
    , m_targetInbox(m_workerThread.createInbox<target_event>(targetEventSlotsPerCall * m_settings.engine.leafCallCapacity, [this](target_event&& event) { handle(std::move(event)); }))
    , m_platformInbox(m_workerThread.createInbox<platform_event>(m_settings.platformInboxCapacity, [this](platform_event&& event) { handle(std::move(event)); }))
    , m_peerInbox(m_workerThread.createInbox<peer_event>(m_settings.peerInboxCapacity, [this](peer_event&& event) { handle(std::move(event)); }))
{
}

kernel::time_point decision_service::handleTimers()
{
    auto const now = m_clock();
    if (auto const next = m_engine.nextTimerTime(); next && *next <= now)
        stepQueries(queries::timer_due {});
    if (m_isDigestOutdated) {
        m_isDigestOutdated = false;
        stepMembership(membership::configuration_changed { configuration::computeDigest(m_objects) });
    }
    serveWhenReady(now);
    updateCutOffState(now);
    if (m_membership && m_membership->nextTimerTime() <= now)
        stepMembership(membership::membership_timer_due {});
    auto next = m_engine.nextTimerTime().value_or(now + maximumIdleSleep);
    if (m_membership)
        next = std::min(next, m_membership->nextTimerTime());
    return next;
}

void decision_service::updateCutOffState(kernel::time_point now)
{
    if (!m_membership)
        return;
    if (!m_firstCutOffCheckAt)
        m_firstCutOffCheckAt = now;
    auto lastMessageAt = std::max(*m_firstCutOffCheckAt, m_storeLastReachableAt);
    if (auto const lastPeerMessageAt = m_membership->lastAcknowledgedPingTime())
        lastMessageAt = std::max(lastMessageAt, *lastPeerMessageAt);
    bool const isCutOff = now - lastMessageAt >= cutOffTimeout;
    if (isCutOff == m_isCutOff)
        return;
    m_isCutOff = isCutOff;
    logEvent(log_level::warn, isCutOff ? "cut_off" : "no_longer_cut_off");
    updateTicketAdmission();
}

void decision_service::updateTicketAdmission()
{
    queries::ticket_admission_changed changed;
    if (m_isRejectingTickets)
        changed.refusal = errors::error { errors::error_kind::leaving, "this daemon is stopping", std::chrono::milliseconds { 0 } };
    else if (m_isCutOff)
        changed.refusal = errors::error { errors::error_kind::cut_off, "this daemon hears neither the store nor its peers", cutOffRetryAfter };
    stepQueries(changed);
}

bool decision_service::announceLeaving()
{
    return m_workerThread.post([this] { stepMembership(membership::status_declared { membership::member_status::leaving }); });
}

bool decision_service::startRejectingTickets()
{
    return m_workerThread.post([this] {
        m_isRejectingTickets = true;
        updateTicketAdmission();
    });
}

bool decision_service::announceStop(std::function<void()> done)
{
    return m_workerThread.post([this, done = std::move(done)] {
        stepMembership(membership::process_stopping {});
        done();
    });
}

std::optional<errors::error> decision_service::findDirectoryError() const
{
    if (!m_membership)
        return std::nullopt;
    // Addresses from a joining or cut-off daemon are of no use to the caller, and a ticket prefix from a leaving daemon would
    // outlive its process.
    if (m_membership->self().status == membership::member_status::joining)
        return errors::error { errors::error_kind::no_live_target, "this daemon is starting and can't answer queries yet", startingRetryAfter };
    if (m_isCutOff)
        return errors::error { errors::error_kind::cut_off, "this daemon receives messages from neither the store nor its peers; use another daemon", cutOffRetryAfter };
    if (m_membership->self().status != membership::member_status::serving)
        return errors::error { errors::error_kind::leaving, "this daemon is stopping; use another daemon", std::chrono::milliseconds { 0 } };
    return std::nullopt;
}

void decision_service::enableMembership(membership::membership_settings settings)
{
    // Directory answers contain at least this daemon.
    m_directory.insertOrUpdate(settings.self, true);
    m_membership.emplace(std::move(settings), m_random);
}

void decision_service::serveWhenReady(kernel::time_point now)
{
    if (!m_membership || m_membership->self().status != membership::member_status::joining)
        return;
    if (!m_firstConfiguredAt && (m_isStoreReachable || m_objects.size() > 0))
        m_firstConfiguredAt = now;
    if (!m_firstConfiguredAt)
        return;
    bool isLeafStatusMissing = false;
    for (routing::leaf_handle leaf = 0; leaf < m_engine.leafs().size(); ++leaf)
        isLeafStatusMissing |= m_engine.leafs().at(leaf).state() == routing::target_state::joining;
    // A leaf that is down must not prevent the daemon from serving.
    if (isLeafStatusMissing && now < *m_firstConfiguredAt + leafStatusTimeout)
        return;
    stepMembership(membership::status_declared { membership::member_status::serving });
    logEvent(log_level::info, "serving");
}

void decision_service::stepMembership(membership::membership_event const& event)
{
    if (!m_membership)
        return;
    for (auto& action : m_membership->step(event, m_clock()))
        std::visit([this](auto&& each) { perform(std::forward<decltype(each)>(each)); }, std::move(action));
}

void decision_service::perform(membership::send_datagram&& sent)
{
    // Datagrams may be lost, so they leave the ring slots that are reserved for messages that must not be lost.
    if (m_peerOutbox->freeSlotCount() > m_settings.engine.queryCapacity)
        std::ignore = m_peerOutbox->push(peer_action { std::move(sent) });
}

void decision_service::perform(membership::member_changed const& changed)
{
    auto const& record = changed.record;
    logEvent(log_level::info, "member_changed", { { "daemon", record.name }, { "incarnation", record.incarnation }, { "status", membership::toString(changed.status) } });
    if (changed.status != membership::member_status::dead) {
        m_directory.insertOrUpdate(record, changed.status == membership::member_status::serving);
        return;
    }
    m_directory.remove(record.name);
    if (m_membership->members().isLiveAt(record.peerEndpoint))
        return;
    bool const isEnqueued = m_peerOutbox->push(peer_action { close_peer_connection { record.peerEndpoint } });
    VERIFY(isEnqueued);
}

void decision_service::perform(membership::suspects_received const& received)
{
    stepQueries(queries::suspects_told { received.suspects });
}

void decision_service::perform(membership::configuration_difference_found const& differs)
{
    for (auto& page : configuration::makeObjectsRequests(m_objects, m_membership->self().record.peerEndpoint)) {
        if (!m_peerOutbox->push(peer_action { request_objects { differs.endpoint, std::move(page) } }))
            return;
    }
}

void decision_service::handle(caller_event&& event)
{
    // After a pause of the process, requests are handled before overdue timers, so the cut-off check runs here too.
    updateCutOffState(m_clock());
    std::visit(
        [this](auto&& each) {
            if constexpr (std::is_same_v<std::decay_t<decltype(each)>, directory_request>)
                answerDirectory(each);
            else
                stepQueries(queries::event { std::forward<decltype(each)>(each) });
        },
        std::move(event));
}

void decision_service::handle(target_event&& event)
{
    std::visit([this](auto&& each) { stepQueries(queries::event { std::forward<decltype(each)>(each) }); }, std::move(event));
}

void decision_service::handle(peer_event&& event)
{
    updateCutOffState(m_clock());
    if (auto const* object = std::get_if<configuration::stored_object>(&event)) {
        handleObject(*object);
        return;
    }
    if (auto const* received = std::get_if<membership::datagram_received>(&event)) {
        stepMembership(*received);
        return;
    }
    if (auto const* objectRequest = std::get_if<configuration::objects_request>(&event)) {
        sendNewerObjects(*objectRequest);
        return;
    }
    std::visit(
        [this](auto&& each) {
            if constexpr (std::is_constructible_v<queries::event, decltype(each)>)
                stepQueries(queries::event { std::forward<decltype(each)>(each) });
        },
        std::move(event));
}

void decision_service::sendNewerObjects(configuration::objects_request const& request)
{
    // The peer requests objects that do not fit into the ring again when the next digest differs.
    for (auto& object : configuration::findNewerObjects(m_objects, request)) {
        if (!m_peerOutbox->push(peer_action { push_object { request.replyTo, std::move(object) } }))
            return;
    }
}

void decision_service::handle(platform_event&& event)
{
    if (auto* object = std::get_if<configuration::stored_object>(&event)) {
        handleObject(*object);
        return;
    }
    if (auto* withdrawal = std::get_if<vms_withdrawn>(&event)) {
        handleWithdrawnVms(std::move(withdrawal->addresses));
        return;
    }
    if (auto* acceptedChange = std::get_if<object_accepted>(&event)) {
        handleObject(acceptedChange->object);
        pushToPeers(acceptedChange->object);
        return;
    }
    auto const& state = std::get<store_state_changed>(event);
    if (state.isReachable)
        m_storeLastReachableAt = state.calledAt;
    if (m_isStoreReachable == state.isReachable)
        return;
    m_isStoreReachable = state.isReachable;
    logEvent(log_level::info, m_isStoreReachable ? "store_reachable" : "store_unreachable");
}

void decision_service::handleObject(configuration::stored_object const& object)
{
    if (!m_objects.offer(object))
        return;
    m_isDigestOutdated = true;
    std::string_view const servicePrefix { configuration::servicePrefix };
    std::string_view const daemonPrefix { configuration::daemonPrefix };
    if (object.key.starts_with(servicePrefix))
        handleService(object, object.key.substr(servicePrefix.size()));
    else if (object.key.starts_with(daemonPrefix))
        handleDaemon(object, object.key.substr(daemonPrefix.size()));
}

void decision_service::handleService(configuration::stored_object const& object, std::string const& service)
{
    if (!object.body) {
        stepQueries(queries::service_removed { service });
        return;
    }
    auto parsed = configuration::parseServiceObject(*object.body);
    if (parsed && !parsed->declaration) {
        stepQueries(queries::service_removed { service });
        return;
    }
    if (!parsed || parsed->name != service) {
        // The last valid declaration stays in effect.
        logEvent(log_level::error, "declaration_refused", { { "key", object.key }, { "version", object.version }, { "reason", parsed ? "the service name in the object differs from the service name in the key" : parsed.error().message } });
        return;
    }
    logEvent(log_level::info, "declaration_in_force", { { "service", service }, { "version", object.version }, { "epoch", parsed->declaration->epoch } });
    declareService(std::move(*parsed->declaration));
}

void decision_service::declareService(model::service_declaration declaration)
{
    // A target drains as soon as either the declaration or the VM list says so; a target on a withdrawn VM always drains.
    for (auto& target : declaration.targets)
        target.isDraining = target.isDraining || m_withdrawnVmAddresses.contains(target.place.address);
    stepQueries(queries::service_declared { std::make_shared<model::service_declaration const>(std::move(declaration)) });
}

void decision_service::handleWithdrawnVms(std::set<std::string> addresses)
{
    std::set<std::string> changed;
    std::set_symmetric_difference(addresses.begin(), addresses.end(), m_withdrawnVmAddresses.begin(), m_withdrawnVmAddresses.end(), std::inserter(changed, changed.end()));
    m_withdrawnVmAddresses = std::move(addresses);
    logEvent(log_level::info, "vms_withdrawn", { { "count", m_withdrawnVmAddresses.size() }, { "changed", changed.size() } });
    m_objects.forEachWithPrefix(configuration::servicePrefix, [&](configuration::stored_object const& object) {
        auto parsed = object.body ? configuration::parseServiceObject(*object.body) : errors::makeError(errors::error_kind::unknown_service, "");
        if (!parsed || !parsed->declaration)
            return;
        auto const& targets = parsed->declaration->targets;
        if (std::any_of(targets.begin(), targets.end(), [&](auto const& target) { return changed.contains(target.place.address); }))
            declareService(std::move(*parsed->declaration));
    });
}

void decision_service::pushToPeers(configuration::stored_object const& object)
{
    auto const daemons = m_directory.findUsableDaemons({}, {});
    auto const count = std::min(daemons.size(), maximumPushCount);
    for (std::size_t index = 0; index < count; ++index) {
        // The version selects which daemons receive the push, so consecutive changes go to different daemons. Daemons that receive
        // no push, and pushes that do not fit into the ring, are covered by the store watch or a digest.
        auto const& daemon = daemons[(object.version * maximumPushCount + index) % daemons.size()];
        if (daemon.name != m_settings.engine.daemon)
            (void)m_peerOutbox->push(peer_action { push_object { daemon.peerEndpoint, object } });
    }
}

void decision_service::handleDaemon(configuration::stored_object const& object, std::string const& daemon)
{
    if (!object.body) {
        stepMembership(membership::daemon_unregistered { daemon });
        return;
    }
    auto parsed = membership::parseDaemonRecord(*object.body);
    if (!parsed) {
        logEvent(log_level::error, "daemon_record_refused", { { "key", object.key }, { "reason", parsed.error().message } });
        return;
    }
    stepMembership(membership::daemon_registered { std::move(*parsed) });
}

void decision_service::answerDirectory(directory_request const& request)
{
    directory_response response { request.caller, errors::makeError(errors::error_kind::unknown_service, "no service is declared with the name " + request.service) };
    if (auto directoryError = findDirectoryError())
        response.result = tl::unexpected(std::move(*directoryError));
    else if (m_engine.leafs().findService(request.service))
        response.result = membership::directory_answer { request.service, m_directory.findUsableDaemons(request.service, request.dataCentre), m_engine.issueTicketPrefix(m_clock()) };
    bool const isEnqueued = m_callerOutbox->push(caller_action { std::move(response) });
    VERIFY(isEnqueued);
}

void decision_service::stepQueries(queries::event const& event)
{
    for (auto& action : m_engine.step(event, m_clock()))
        perform(std::move(action));
}

void decision_service::perform(queries::action&& action)
{
    // Each ring has space for the maximum number of actions in flight, so no push can fail.
    bool isEnqueued = true;
    std::visit(
        [&](auto&& each) {
            using action_type = std::decay_t<decltype(each)>;
            if constexpr (std::is_same_v<action_type, queries::answer_caller>) {
                if (each.result && m_isCutOff)
                    each.result->isCutOff = true;
                if (each.caller & peerTokenBit)
                    isEnqueued = m_peerOutbox->push(peer_action { std::forward<decltype(each)>(each) });
                else
                    isEnqueued = m_callerOutbox->push(caller_action { std::forward<decltype(each)>(each) });
            } else if constexpr (std::is_same_v<action_type, queries::relay_query>) {
                relayQuery(std::forward<decltype(each)>(each));
            } else if constexpr (std::is_same_v<action_type, queries::abandon_relay>) {
                isEnqueued = m_peerOutbox->push(peer_action { each });
            } else if constexpr (std::is_same_v<action_type, queries::share_suspects>) {
                stepMembership(membership::suspects_changed { std::forward<decltype(each)>(each).suspects });
            } else if constexpr (std::is_same_v<action_type, queries::report_quarantine>) {
                logEvent(log_level::info, each.event, { { "request", quarantine::toString(each.request) }, { "leaf", each.leaf }, { "losses", each.lossCount } });
            } else {
                isEnqueued = m_targetOutbox->push(target_action { std::forward<decltype(each)>(each) });
            }
        },
        std::move(action));
    VERIFY(isEnqueued);
}

void decision_service::relayQuery(queries::relay_query&& relayed)
{
    auto const* daemon = m_directory.find(relayed.daemon);
    auto const ticket = queries::parseTicket(relayed.request.ticket);
    if (!daemon || (ticket && ticket->incarnation != daemon->incarnation)) {
        stepQueries(queries::relay_ended { relayed.caller, errors::makeError(errors::error_kind::outcome_unknown, "the daemon named in the ticket no longer exists") });
        return;
    }
    bool const isEnqueued = m_peerOutbox->push(peer_action { relay_to_daemon { relayed.caller, daemon->peerEndpoint, std::move(relayed.request) } });
    VERIFY(isEnqueued);
}

bool decision_service::requestState(kernel::text_receiver receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] { receiver(describeState()); });
}

bool decision_service::requestObjects(std::string prefix, std::function<void(std::vector<configuration::stored_object>)> receiver)
{
    return m_workerThread.post([this, prefix = std::move(prefix), receiver = std::move(receiver)] {
        std::vector<configuration::stored_object> objects;
        m_objects.forEachWithPrefix(prefix, [&](configuration::stored_object const& object) { objects.push_back(object); });
        receiver(std::move(objects));
    });
}

bool decision_service::requestMetrics(kernel::text_receiver receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] { receiver(describeMetrics()); });
}

}
