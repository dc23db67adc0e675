#include "Daemons/zinnialedge-edge/edge_daemon.h"

#include "Kernel/event_log.h"
#include "Kernel/try.h"
#include "Libraries/zinnialedge/configuration/partner_keys.h"
#include "Services/fleet/fleet_service.h"
#include "Services/operators/operator_service.h"
#include "Services/traffic/traffic_service.h"
#include <boost/algorithm/string/join.hpp>
#include <boost/json.hpp>
#include <future>
#include <thread>

namespace zinnialedge::daemons {

using kernel::log_level;
using kernel::logEvent;
using services::fleet::fleet_service;
using services::operators::operator_service;
using services::traffic::traffic_service;

static constexpr std::chrono::milliseconds idleCheckInterval { 20 };
/// A caller that sends about one request a second would otherwise look up the directory for nearly each of them, and the lookup is a part of
/// the time that its request takes. Longer, callers would go on for too long to daemons that are lost or stop.
static constexpr std::chrono::milliseconds directoryValidity { 2000 };
/// Some callers use a directory answer for three times its validity.
static constexpr int callerValidityFactor = 3;
/// Time for requests that were sent on a directory answer just before that answer expired.
static constexpr std::chrono::milliseconds directorySlack { 300 };
/// Part of the stop time that is reserved for the end of the process before it is killed.
static constexpr std::chrono::milliseconds stopMargin { 300 };
/// Time in which the last answers are written before the process ends.
static constexpr std::chrono::milliseconds answerWriteTime { 150 };
/// Time for the requests in flight after the last request was accepted.
static constexpr std::chrono::milliseconds minimumDrainTime { 500 };
/// Time in which the requests of the last accepted connections arrive.
static constexpr std::chrono::milliseconds lastRequestTime { 40 };
static constexpr std::chrono::milliseconds serviceAnswerTimeout { 200 };
/// Operators send log levels.
static constexpr std::size_t maximumOperatorBodyBytes = 65'536;

edge_daemon::edge_daemon(configuration::edge_settings settings)
    : m_settings(std::move(settings))
    , m_incarnation(kernel::makeIncarnation())
{
}

errors::error_or<std::unique_ptr<edge_daemon>> edge_daemon::create(configuration::edge_settings const& settings, edge_protocols protocols)
{
    std::unique_ptr<edge_daemon> created { new edge_daemon(settings) };
    TRY_VOID(created->createServices(std::move(protocols)));
    return created;
}

errors::error_or<void> edge_daemon::createServices(edge_protocols protocols)
{
    services::traffic::traffic_settings traffic;
    traffic.callers = m_settings.callers;
    traffic.relays = m_settings.relays;
    traffic.leafCallSource = m_settings.leafCallSource;
    auto const capacity = m_settings.capacity.value_or(configuration::vm_capacity {});
    auto const connections = limits::shareDescriptors(capacity.descriptors);
    auto const memory = limits::shareMemory(capacity.memoryMegabytes);
    traffic.connections = connections;
    traffic.memory = memory;
    traffic.engine.dataCentre = m_settings.dataCentre;
    traffic.engine.extraCalls = m_settings.extraCalls;
    traffic.engine.quotaTolerance = m_settings.quotaTolerance;
    traffic.engine.maximumLeafPause = m_settings.maximumLeafPause;
    traffic.engine.daemonSeed = m_incarnation;
    traffic.engine.leafStarts.coldLeafs = m_settings.coldLeafs;
    traffic.engine.leafStarts.paceScope = m_settings.leafPace;
    traffic.engine.leafStarts.wallClockOffset = std::chrono::duration_cast<kernel::duration>(std::chrono::system_clock::now().time_since_epoch() - std::chrono::steady_clock::now().time_since_epoch());
    auto const trafficService = TRY(traffic_service::create(traffic, std::move(protocols.edge), kernel::makeRandom()));
    services::fleet::fleet_settings fleet {
        .name = m_settings.name,
        .region = m_settings.region,
        .dataCentre = m_settings.dataCentre,
        .incarnation = m_incarnation,
        .callerEndpoint = { m_settings.callers.address, trafficService->port() },
        .readinessEndpoint = m_settings.readiness,
        .directoryEndpoint = m_settings.directory,
        .peerEndpoint = m_settings.peers,
        .relayEndpoint = m_settings.relays,
        .storeEndpoint = m_settings.store,
        .storeRates = m_settings.storeRates,
        .seeds = m_settings.seeds,
        .directoryValidity = directoryValidity,
        .readsEvacuations = m_settings.readsEvacuations,
        .connections = connections,
        .memory = memory,
    };
    if (m_settings.capacity)
        fleet.strength = m_settings.capacity->processor;
    auto const fleetService = TRY(fleet_service::create(std::move(fleet), std::move(protocols.store), *trafficService));
    boost::json::object const daemonInfo { { "daemon", m_settings.name }, { "callers", toString(m_settings.callers) }, { "data_centre", m_settings.dataCentre }, { "incarnation", m_incarnation }, { "version", ZINNIALEDGE_VERSION } };
    auto const operators = TRY(operator_service::create(m_settings.operators, boost::json::serialize(daemonInfo), TRY(configuration::partner_keys::load({})), m_registry, { .bodyBytes = maximumOperatorBodyBytes, .connections = connections.operators, .memoryBytes = memory.otherPort }));
    operators->setRouteExplainer([traffic = trafficService](auto const& parameters, auto receiver) { return traffic->requestExplanation(parameters, std::move(receiver)); });
    // Services stop in reverse order: the traffic service last, since the other services send events to its inbox.
    m_registry.add(trafficService);
    m_registry.add(fleetService);
    m_registry.add(operators);
    return {};
}

void edge_daemon::start()
{
    m_registry.startAll();
    logEvent(log_level::info, "started", { { "callers", toString(m_settings.callers) }, { "data_centre", m_settings.dataCentre }, { "incarnation", m_incarnation }, { "version", ZINNIALEDGE_VERSION } });
}

void edge_daemon::applySettings(configuration::edge_settings const& settings)
{
    auto const change = configuration::compareSettings(m_settings, settings);
    logEvent(log_level::info, "settings_changed", { { "in_force", boost::algorithm::join(change.appliedAtOnce, ",") }, { "at_next_start", boost::algorithm::join(change.appliedAtNextStart, ",") } });
    m_settings.seeds = settings.seeds;
    m_settings.extraCalls = settings.extraCalls;
    m_settings.storeRates = settings.storeRates;
    m_settings.quotaTolerance = settings.quotaTolerance;
    m_settings.stopTimeLimit = settings.stopTimeLimit;
    m_settings.logLevel = settings.logLevel;
    if (!kernel::setLogLevel(settings.logLevel))
        logEvent(log_level::warn, "log_level_unknown", { { "level", settings.logLevel } });
    if (!m_registry.find<fleet_service>(fleet_service::serviceName).applyRuntimeSettings({ settings.seeds, settings.extraCalls, settings.storeRates, settings.quotaTolerance }))
        logEvent(log_level::error, "settings_not_taken", { { "service", fleet_service::serviceName } });
}

/// Requests a number from a service and waits for it. Returns nothing when the service does not answer in time.
static std::optional<std::size_t> requestNumberAndWait(std::function<bool(std::function<void(std::size_t)>)> const& request)
{
    auto const number = std::make_shared<std::promise<std::size_t>>();
    auto answer = number->get_future();
    if (!request([number](std::size_t value) { number->set_value(value); }) || answer.wait_for(serviceAnswerTimeout) != std::future_status::ready)
        return std::nullopt;
    return answer.get();
}

static void logIfStepFailed(bool isDone, std::string_view step)
{
    if (!isDone)
        logEvent(log_level::warn, "stop_step_failed", { { "step", step } });
}

void edge_daemon::stopGracefully(std::function<bool()> const& isStopRepeated)
{
    auto& fleet = m_registry.find<fleet_service>(fleet_service::serviceName);
    auto& traffic = m_registry.find<traffic_service>(traffic_service::serviceName);
    auto const now = [] { return std::chrono::steady_clock::now(); };
    auto const stopStartedAt = now();
    auto const latestStopAt = stopStartedAt + std::max<kernel::duration>(m_settings.stopTimeLimit - stopMargin, answerWriteTime);
    auto const answersDueAt = latestStopAt - answerWriteTime;
    auto const callersGoneAt = std::min(stopStartedAt + directoryValidity * callerValidityFactor + directorySlack, answersDueAt - minimumDrainTime);
    auto const waitUntil = [&](kernel::time_point end, std::function<bool()> const& isDone) {
        while (!isDone() && now() < end) {
            // The stop is short, so that a further signal is only logged.
            std::ignore = isStopRepeated();
            std::this_thread::sleep_for(idleCheckInterval);
        }
    };
    auto const isNeverDone = [] { return false; };
    // Without an answer of the service, a request may be open.
    auto const isDrained = [&] { return requestNumberAndWait([&](auto receiver) { return traffic.drainConnections(std::move(receiver)); }).value_or(1) == 0; };
    logIfStepFailed(fleet.announceLeaving(), "leaving");
    logIfStepFailed(traffic.announceLeaving(answersDueAt), "leaving_traffic");
    waitUntil(callersGoneAt, isNeverDone);
    logIfStepFailed(traffic.rejectNewRequests(), "reject_requests");
    waitUntil(latestStopAt, isDrained);
    auto const drainEnd = now() < latestStopAt ? "drained" : "time";
    logIfStepFailed(traffic.stopAccepting(), "stop_accepting");
    // Requests may still arrive over connections that have just opened.
    waitUntil(now() + lastRequestTime, isNeverDone);
    auto const announced = std::make_shared<std::promise<void>>();
    logIfStepFailed(fleet.announceStop([announced] { announced->set_value(); }) && announced->get_future().wait_for(serviceAnswerTimeout) == std::future_status::ready, "announce_stop");
    auto const interruptedCount = requestNumberAndWait([&](auto receiver) { return traffic.reportInterruptedRequests(std::move(receiver)); }).value_or(traffic.requestsInFlight());
    m_registry.stopAll();
    auto const sinceSignal = std::chrono::duration_cast<std::chrono::milliseconds>(now() - stopStartedAt);
    logEvent(interruptedCount > 0 ? log_level::warn : log_level::info, "stopped", { { "requests_interrupted", interruptedCount }, { "since_signal_ms", sinceSignal.count() }, { "drain_end", drainEnd } });
}

}
