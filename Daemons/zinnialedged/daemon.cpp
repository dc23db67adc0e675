#include "Daemons/zinnialedged/daemon.h"

#include "Kernel/event_log.h"
#include "Kernel/try.h"
#include "Libraries/zinnialedge/configuration/partner_keys.h"
#include "Services/callers/caller_service.h"
#include "Services/decisions/decision_service.h"
#include "Services/operators/operator_service.h"
#include "Services/peers/peer_service.h"
#include "Services/platform/platform_service.h"
#include "Services/targets/target_service.h"
#include <boost/json.hpp>
#include <future>
#include <thread>

namespace zinnialedge::daemons {

using kernel::log_level;
using kernel::logEvent;
using services::callers::caller_service;
using services::decisions::decision_service;
using services::operators::operator_service;
using services::peers::peer_service;
using services::platform::platform_service;
using services::targets::target_service;

static constexpr std::chrono::milliseconds idleCheckInterval { 20 };
/// Upper bound on draining. Requests in flight end at their deadlines, which are at most one minute away.
static constexpr std::chrono::seconds maximumDrainTime { 70 };
static constexpr std::chrono::seconds serviceAnswerTimeout { 1 };

errors::error_or<std::unique_ptr<daemon>> daemon::create(configuration::daemon_settings const& settings)
{
    std::unique_ptr<daemon> created { new daemon(settings) };
    TRY_VOID(created->createServices());
    return created;
}

daemon::daemon(configuration::daemon_settings settings)
    : m_settings(std::move(settings))
    , m_incarnation(kernel::makeIncarnation())
{
}

errors::error_or<void> daemon::createServices()
{
    auto const clock = kernel::makeSteadyClock();
    services::decisions::decision_settings decisionSettings;
    decisionSettings.engine = {
        .daemon = m_settings.name,
        .incarnation = m_incarnation,
        .queryCapacity = m_settings.limits.queries,
        .leafCallCapacity = m_settings.limits.leafCalls,
        .ticketCapacity = m_settings.limits.tickets,
        .sharePercentByPartner = m_settings.sharePercentByPartner,
        .policy = m_settings.isFullLoadPolicy ? queries::load_policy {} : queries::naiveLoadPolicy,
    };
    auto const decisions = std::make_shared<decision_service>(decisionSettings, clock, kernel::makeRandom());
    auto const callPrefix = m_settings.name + "-" + std::to_string(m_incarnation) + "-";
    auto const targets = std::make_shared<target_service>(callPrefix, clock, *decisions, m_settings.limits.leafCalls);
    auto const peers = TRY(peer_service::create(m_settings.peers, *decisions));
    auto const callers = TRY(caller_service::create({ m_settings.callers, m_settings.limits.callerConnections, m_settings.limits.bodyBytes }, clock, *decisions));
    auto const platform = std::make_shared<platform_service>(services::platform::platform_settings { m_settings.platform, m_settings.name + "-" + std::to_string(m_incarnation), m_settings.limits.storeCallsPerSecond, m_settings.limits.storeCallBurst }, clock, kernel::makeRandom(), *decisions);
    m_settings.callers.port = callers->port();
    boost::json::object const daemonInfo { { "daemon", m_settings.name }, { "partner", m_settings.partner }, { "callers", toString(m_settings.callers) }, { "data_centre", m_settings.dataCentre }, { "incarnation", m_incarnation }, { "version", ZINNIALEDGE_VERSION } };
    auto const operators = TRY(operator_service::create(m_settings.operators, boost::json::serialize(daemonInfo), TRY(configuration::partner_keys::load(m_settings.keyFilesByPartner)), m_registry));
    m_settings.peers.port = peers->port();
    m_settings.operators.port = operators->port();
    membership::daemon_record const self {
        .name = m_settings.name,
        .partner = m_settings.partner,
        .region = m_settings.region,
        .dataCentre = m_settings.dataCentre,
        .incarnation = m_incarnation,
        .callerEndpoint = m_settings.callers,
        .peerEndpoint = m_settings.peers,
    };
    platform->setRegistrationRecord(self);
    decisions->enableMembership({ .self = self, .seeds = m_settings.seeds });
    // Services stop in reverse order: the decision service last, since the other services push events into its rings.
    m_registry.add(decisions);
    m_registry.add(targets);
    m_registry.add(peers);
    m_registry.add(platform);
    m_registry.add(callers);
    m_registry.add(operators);
    return {};
}

void daemon::start()
{
    m_registry.startAll();
    logEvent(log_level::info, "ready", { { "callers", toString(m_settings.callers) }, { "operators", toString(m_settings.operators) }, { "peers", toString(m_settings.peers) } });
}

/// Requests a count from a service and waits for the result. Returns nothing when the service does not answer in time.
static std::optional<std::size_t> requestCountAndWait(std::function<bool(std::function<void(std::size_t)>)> const& request)
{
    auto const pendingCount = std::make_shared<std::promise<std::size_t>>();
    auto answer = pendingCount->get_future();
    bool const isPosted = request([pendingCount](std::size_t count) { pendingCount->set_value(count); });
    if (!isPosted || answer.wait_for(serviceAnswerTimeout) != std::future_status::ready)
        return std::nullopt;
    return answer.get();
}

bool daemon::isIdle()
{
    auto& callers = m_registry.find<caller_service>(caller_service::serviceName);
    auto& peers = m_registry.find<peer_service>(peer_service::serviceName);
    auto const callersWaiting = requestCountAndWait([&](auto receiver) { return callers.requestWaitingCallerCount(std::move(receiver)); });
    auto const inboundRelays = requestCountAndWait([&](auto receiver) { return peers.requestIncomingRelayCount(std::move(receiver)); });
    return callersWaiting == 0 && inboundRelays == 0;
}

static void logIfStepFailed(bool isDone, std::string_view step)
{
    if (!isDone)
        logEvent(log_level::warn, "stop_step_failed", { { "step", step } });
}

void daemon::announceLeaving()
{
    logIfStepFailed(m_registry.find<decision_service>(decision_service::serviceName).announceLeaving(), "membership");
    logIfStepFailed(m_registry.find<platform_service>(platform_service::serviceName).announceLeaving(), "registration");
    logIfStepFailed(m_registry.find<caller_service>(caller_service::serviceName).announceLeaving(), "health");
}

void daemon::rejectNewRequests()
{
    logIfStepFailed(m_registry.find<decision_service>(decision_service::serviceName).startRejectingTickets(), "refuse_tickets");
    logIfStepFailed(m_registry.find<peer_service>(peer_service::serviceName).startRejectingQueries(), "refuse_peers");
    logIfStepFailed(m_registry.find<caller_service>(caller_service::serviceName).startRejectingQueries(), "refuse_callers");
}

void daemon::announceStop()
{
    auto& decisions = m_registry.find<decision_service>(decision_service::serviceName);
    auto& peers = m_registry.find<peer_service>(peer_service::serviceName);
    auto const isAnnounced = requestCountAndWait([&](std::function<void(std::size_t)> const& receiver) { return decisions.announceStop([receiver] { receiver(0); }); });
    // The peer service's worker thread drains its ring before it answers, so all datagrams have been sent by then.
    auto const isSent = requestCountAndWait([&](auto receiver) { return peers.requestIncomingRelayCount(std::move(receiver)); });
    logIfStepFailed(isAnnounced && isSent, "announce_stop");
}

void daemon::stopGracefully(std::function<bool()> const& isStopRepeated)
{
    logEvent(log_level::info, "leaving");
    announceLeaving();
    auto const stopStartedAt = std::chrono::steady_clock::now();
    auto const waitUntil = [&](std::chrono::steady_clock::time_point end, std::function<bool()> const& isDone) {
        while (!isDone() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(idleCheckInterval);
    };
    // Callers use a directory answer for its validity, and other daemons may issue such answers until they receive the
    // announcement: hence twice the validity.
    waitUntil(stopStartedAt + 2 * membership::directoryValidity, isStopRepeated);
    rejectNewRequests();
    waitUntil(stopStartedAt + maximumDrainTime, [&] {
        // Further signals are handled, and change nothing.
        std::ignore = isStopRepeated();
        return isIdle();
    });
    bool const isInterrupted = !isIdle();
    announceStop();
    m_registry.stopAll();
    logEvent(log_level::info, "stopped", { { "interrupted", isInterrupted ? "yes" : "no" } });
}

}
