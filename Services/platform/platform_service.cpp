#include "Services/platform/platform_service.h"

#include "Kernel/event_log.h"
#include "Libraries/zinnialedge/wire/store_codec.h"
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace zinnialedge::services::platform {

using kernel::log_level;
using kernel::logEvent;

static constexpr std::chrono::milliseconds callTimeout { 2000 };
/// Time for which the store may hold a watch call open. An outage of the store is detected after this time plus callTimeout,
/// early enough for changes to be in effect within 11 s after the end of the outage.
static constexpr std::chrono::milliseconds maximumWatchDuration { 5000 };
static constexpr std::chrono::milliseconds minimumBackoff { 50 };
static constexpr std::chrono::milliseconds maximumBackoff { 2000 };
static constexpr unsigned maximumBackoffDoublings = 6;
/// Time for which a daemon that does not watch the store relies on the last confirmation by a peer.
static constexpr std::chrono::milliseconds confirmationLifetime { 5000 };
/// Intervals between reads of the VM list, for daemons that watch the store and for daemons that do not.
static constexpr std::chrono::milliseconds watchingVmListInterval { 2000 };
static constexpr std::chrono::milliseconds nonWatchingVmListInterval { 30'000 };
/// Number of calls in the budget that are reserved for the store watch and its retries.
static constexpr double callsReservedForWatch = 5;
static constexpr int statusOk = 200;

class platform_service::replaceable_timer {
public:
    explicit replaceable_timer(boost::asio::io_context& context)
        : m_timer(context)
    {
    }

    /// Schedules `work` and cancels previously scheduled work.
    void schedule(kernel::time_point at, std::function<void()> work)
    {
        m_timer.expires_at(at);
        m_timer.async_wait([work = std::move(work)](boost::system::error_code failure) {
            if (!failure)
                work();
        });
    }

private:
    boost::asio::steady_timer m_timer;
};

platform_service::platform_service(platform_settings settings, kernel::clock_hook clock, kernel::random_hook random, decisions::decision_service& decisionService)
    : m_workerThread(serviceName)
    , m_settings(std::move(settings))
    , m_clock(clock)
    , m_random(random)
    , m_decisionService(decisionService)
    , m_budget(m_settings.callsPerSecond, m_settings.maximumCallBurst)
    , m_commandWriter(m_settings.writer, {
                                             std::move(clock),
                                             std::move(random),
                                             [this](wire::http_request request, std::function<void(wire::http_result)> done) { callOverNewConnection(std::move(request), std::move(done)); },
                                             [this](kernel::time_point at, std::function<void()> work) { schedule(at, std::move(work)); },
                                             [this](configuration::stored_object object) { recordAcceptedObject(std::move(object)); },
                                             [this](std::string const& service) { return m_knownServiceVersions[service]; },
                                         })
    , m_sharedClient(std::make_unique<wire::http_client>(m_workerThread.context(), m_settings.store))
    , m_pollTimer(std::make_unique<replaceable_timer>(m_workerThread.context()))
{
}

platform_service::~platform_service() = default;

void platform_service::setRegistrationRecord(membership::daemon_record record)
{
    m_registration = std::move(record);
}

void platform_service::start()
{
    requestListing();
    pollVms();
    m_workerThread.start();
}

bool platform_service::submitCommands(std::vector<configuration::service_commands> commands, std::string const& partner, command_receiver receive)
{
    return m_workerThread.post([this, commands = std::move(commands), partner, receive = std::move(receive)] { m_commandWriter.enqueue(commands, partner, receive); });
}

bool platform_service::setWatching(bool isWatching)
{
    return m_workerThread.post([this, isWatching] {
        if (m_isWatching != isWatching)
            logEvent(log_level::info, isWatching ? "store_watch_begun" : "store_watch_ended");
        bool const shouldRequestChangesNow = isWatching && !m_isWatching && m_hasListing;
        m_isWatching = isWatching;
        // A watch call in flight continues until its reply; a scheduled poll is replaced at once.
        if (shouldRequestChangesNow)
            m_pollTimer->schedule(m_clock(), [this] { requestChanges(); });
    });
}

bool platform_service::recordConfirmation()
{
    return m_workerThread.post([this] { m_lastConfirmedAt = m_clock(); });
}

void platform_service::schedule(kernel::time_point at, std::function<void()> work)
{
    auto const delayTimer = std::make_shared<boost::asio::steady_timer>(m_workerThread.context(), at);
    delayTimer->async_wait([delayTimer, work = std::move(work)](boost::system::error_code failure) {
        if (!failure)
            work();
    });
}

void platform_service::callOverSharedConnection(wire::http_request request, std::chrono::milliseconds timeout, std::function<void(wire::http_result)> done)
{
    auto const now = m_clock();
    if (!m_budget.take(now)) {
        m_pollTimer->schedule(m_budget.nextAvailableAt(now), [this, request = std::move(request), timeout, done = std::move(done)] { callOverSharedConnection(request, timeout, done); });
        return;
    }
    m_lastCallSentAt = now;
    m_sharedClient->connectAndSend(std::move(request), timeout, std::move(done));
}

void platform_service::callOverNewConnection(wire::http_request request, std::function<void(wire::http_result)> done)
{
    auto const now = m_clock();
    if (!m_budget.take(now, callsReservedForWatch)) {
        schedule(m_budget.nextAvailableAt(now, callsReservedForWatch), [this, request = std::move(request), done = std::move(done)] { callOverNewConnection(request, done); });
        return;
    }
    auto const client = std::make_shared<wire::http_client>(m_workerThread.context(), m_settings.store);
    client->connectAndSend(std::move(request), callTimeout, [client, done = std::move(done)](wire::http_result const& result) { done(result); });
}

void platform_service::requestListing()
{
    callOverSharedConnection({ "GET", "/objects", {}, {} }, callTimeout, [this](wire::http_result const& result) { handleList(result); });
}

void platform_service::handleList(wire::http_result const& result)
{
    auto const listing = result && result->status == statusOk ? wire::parseStoreListing(result->body) : std::nullopt;
    if (!listing) {
        scheduleRetry();
        return;
    }
    setReachable(true);
    for (auto const& object : listing->objects)
        forwardObject(object);
    m_revision = listing->revision;
    m_hasListing = true;
    if (!m_isRegistered)
        registerDaemon();
    followChanges();
}

void platform_service::followChanges()
{
    if (!m_hasListing)
        requestListing();
    else if (m_isWatching)
        requestChanges();
    else
        schedulePoll();
}

void platform_service::requestChanges()
{
    auto const target = "/watch?after=" + std::to_string(m_revision) + "&wait_ms=" + std::to_string(maximumWatchDuration.count());
    callOverSharedConnection({ "GET", target, {}, {} }, maximumWatchDuration + callTimeout, [this](wire::http_result const& result) { handleChanges(result); });
}

void platform_service::schedulePoll()
{
    // The jitter spreads out the polls of daemons that lost their peers simultaneously.
    auto const jitter = std::chrono::milliseconds { static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(confirmationLifetime.count())) };
    m_pollTimer->schedule(m_clock() + confirmationLifetime / 2 + jitter / 2, [this] { pollChanges(); });
}

void platform_service::pollChanges()
{
    if (m_clock() - m_lastConfirmedAt < confirmationLifetime) {
        schedulePoll();
        return;
    }
    callOverSharedConnection({ "GET", "/watch?after=" + std::to_string(m_revision) + "&wait_ms=0", {}, {} }, callTimeout, [this](wire::http_result const& result) { handleChanges(result); });
}

void platform_service::handleChanges(wire::http_result const& result)
{
    auto const listing = result && result->status == statusOk ? wire::parseStoreListing(result->body) : std::nullopt;
    if (!listing) {
        // The store may have discarded the history of the revision, so the next attempt lists all objects again.
        m_hasListing = false;
        scheduleRetry();
        return;
    }
    setReachable(true);
    for (auto const& object : listing->objects)
        forwardObject(object);
    m_revision = std::max(m_revision, listing->revision);
    followChanges();
}

void platform_service::pollVms()
{
    callOverNewConnection({ "GET", "/vms", {}, {} }, [this](wire::http_result const& result) { handleVms(result); });
}

void platform_service::handleVms(wire::http_result const& result)
{
    auto const list = result && result->status == statusOk ? configuration::parseVmList(result->body) : std::nullopt;
    if (list && m_vmView.update(*list)) {
        if (!m_decisionService.platformInbox().push(decisions::vms_withdrawn { m_vmView.withdrawn() }))
            logEvent(log_level::warn, "event_dropped", { { "event_type", "vms_withdrawn" } });
    }
    auto const interval = m_isWatching ? watchingVmListInterval : nonWatchingVmListInterval;
    auto const jitter = std::chrono::milliseconds { static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(interval.count())) };
    schedule(m_clock() + interval / 2 + jitter / 2, [this] { pollVms(); });
}

void platform_service::registerDaemon()
{
    wire::http_request request { "PUT", std::string { "/objects/" } + configuration::daemonPrefix + m_registration.name, membership::formatDaemonRecord(m_registration), {} };
    callOverNewConnection(std::move(request), [this](wire::http_result const& result) {
        m_isRegistered = result && result->status == statusOk;
        if (!m_isRegistered)
            logEvent(log_level::warn, "registration_failed");
    });
}

bool platform_service::announceLeaving()
{
    return m_workerThread.post([this] {
        m_registration.isLeaving = true;
        registerDaemon();
    });
}

void platform_service::scheduleRetry()
{
    ++m_failureCount;
    setReachable(false);
    auto const ceiling = std::min(maximumBackoff, minimumBackoff * (1U << std::min(m_consecutiveFailureCount, maximumBackoffDoublings)));
    ++m_consecutiveFailureCount;
    auto const jitter = std::chrono::milliseconds { static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(ceiling.count())) };
    m_pollTimer->schedule(m_clock() + ceiling / 2 + jitter / 2, [this] { requestListing(); });
}

void platform_service::setReachable(bool isReachable)
{
    if (isReachable)
        m_consecutiveFailureCount = 0;
    if (!isReachable && !m_isReachable)
        return;
    m_isReachable = isReachable;
    if (!m_decisionService.platformInbox().push(decisions::store_state_changed { isReachable, m_lastCallSentAt }))
        logEvent(log_level::warn, "event_dropped", { { "event_type", "store_state_changed" } });
}

void platform_service::forwardObject(configuration::stored_object object)
{
    if (object.key.starts_with(configuration::servicePrefix)) {
        auto& knownVersion = m_knownServiceVersions[object.key.substr(std::string_view { configuration::servicePrefix }.size())];
        // A deleted object has no version, so its next write creates the object anew.
        knownVersion = object.body ? std::max(knownVersion, object.version) : 0;
    }
    // FIXME: A listing that is larger than the ring should be forwarded in parts instead of being requested again.
    if (m_decisionService.platformInbox().push(std::move(object)))
        return;
    logEvent(log_level::warn, "event_dropped", { { "event_type", "stored_object" } });
    m_hasListing = false;
}

void platform_service::recordAcceptedObject(configuration::stored_object object)
{
    logEvent(log_level::info, "change_accepted", { { "key", object.key }, { "version", object.version } });
    auto& knownVersion = m_knownServiceVersions[object.key.substr(std::string_view { configuration::servicePrefix }.size())];
    knownVersion = std::max(knownVersion, object.version);
    if (!m_decisionService.platformInbox().push(decisions::object_accepted { std::move(object) }))
        logEvent(log_level::warn, "event_dropped", { { "event_type", "object_accepted" } });
}

bool platform_service::requestState(kernel::text_receiver receiver)
{
    return m_workerThread.post([this, receiver = std::move(receiver)] {
        receiver(boost::json::serialize(boost::json::object {
            { "reachable", m_isReachable },
            { "registered", m_isRegistered },
            { "watching", m_isWatching },
            { "revision", m_revision },
            { "calls", m_budget.taken() },
            { "calls_delayed", m_budget.refused() },
            { "calls_available", m_budget.available(m_clock()) },
            { "vms", m_vmView.size() },
            { "vms_withdrawn", m_vmView.withdrawn().size() },
            { "commands_waiting", m_commandWriter.queuedTextCount() },
            { "failures", m_failureCount },
        }));
    });
}

}
