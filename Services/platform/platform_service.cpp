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
static constexpr std::chrono::milliseconds watchWait { 5000 };
static constexpr std::chrono::milliseconds firstBackoff { 50 };
static constexpr std::chrono::milliseconds longestBackoff { 2000 };
static constexpr unsigned mostDoublings = 6;
/// Time for which a daemon that does not watch the store relies on the last confirmation by a peer.
static constexpr std::chrono::milliseconds confirmationLifetime { 5000 };
/// Intervals between reads of the VM list, for daemons that watch the store (vmInterval) and for daemons that do not.
static constexpr std::chrono::milliseconds vmInterval { 2000 };
static constexpr std::chrono::milliseconds idleVmInterval { 30'000 };
/// Number of calls in the budget that are reserved for the store watch and its retries.
static constexpr double callsKeptForWatching = 5;
static constexpr int statusOk = 200;

class platform_service::timer {
public:
    explicit timer(boost::asio::io_context& context)
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

platform_service::platform_service(platform_settings settings, kernel::clock_hook clock, kernel::random_hook random, decisions::decision_service& decisions)
    : m_duty(serviceName)
    , m_settings(std::move(settings))
    , m_clock(clock)
    , m_random(random)
    , m_decisions(decisions)
    , m_budget(m_settings.callsPerSecond, m_settings.callBurst)
    , m_writer(m_settings.writer, {
                                      std::move(clock),
                                      std::move(random),
                                      [this](wire::http_request request, std::function<void(wire::http_result)> done) { callOverNewConnection(std::move(request), std::move(done)); },
                                      [this](kernel::time_point at, std::function<void()> work) { schedule(at, std::move(work)); },
                                      [this](configuration::stored_object object) { noteAccepted(std::move(object)); },
                                      [this](std::string const& service) { return m_knownVersions[service]; },
                                  })
    , m_client(std::make_unique<wire::http_client>(m_duty.context(), m_settings.store))
    , m_pollTimer(std::make_unique<timer>(m_duty.context()))
{
}

platform_service::~platform_service() = default;

void platform_service::setRegistration(membership::daemon_record record)
{
    m_registration = std::move(record);
}

void platform_service::start()
{
    list();
    pollVms();
    m_duty.start();
}

bool platform_service::submit(std::vector<configuration::object_commands> commands, std::string const& partner, command_receiver receive)
{
    return m_duty.post([this, commands = std::move(commands), partner, receive = std::move(receive)] { m_writer.submit(commands, partner, receive); });
}

bool platform_service::setWatching(bool isWatching)
{
    return m_duty.post([this, isWatching] {
        if (m_isWatching != isWatching)
            logEvent(log_level::info, isWatching ? "store_watch_begun" : "store_watch_ended");
        bool const mustWake = isWatching && !m_isWatching && m_isListed;
        m_isWatching = isWatching;
        // A watch call in flight continues until its reply; a scheduled poll is replaced at once.
        if (mustWake)
            m_pollTimer->schedule(m_clock(), [this] { watch(); });
    });
}

bool platform_service::noteConfirmed()
{
    return m_duty.post([this] { m_confirmedAt = m_clock(); });
}

void platform_service::schedule(kernel::time_point at, std::function<void()> work)
{
    auto const made = std::make_shared<boost::asio::steady_timer>(m_duty.context(), at);
    made->async_wait([made, work = std::move(work)](boost::system::error_code failure) {
        if (!failure)
            work();
    });
}

void platform_service::call(wire::http_request request, std::chrono::milliseconds timeout, std::function<void(wire::http_result)> done)
{
    auto const now = m_clock();
    if (!m_budget.take(now)) {
        m_pollTimer->schedule(m_budget.nextAt(now), [this, request = std::move(request), timeout, done = std::move(done)] { call(request, timeout, done); });
        return;
    }
    m_askedAt = now;
    m_client->connectAndSend(std::move(request), timeout, std::move(done));
}

void platform_service::callOverNewConnection(wire::http_request request, std::function<void(wire::http_result)> done)
{
    auto const now = m_clock();
    if (!m_budget.take(now, callsKeptForWatching)) {
        schedule(m_budget.nextAt(now, callsKeptForWatching), [this, request = std::move(request), done = std::move(done)] { callOverNewConnection(request, done); });
        return;
    }
    auto const client = std::make_shared<wire::http_client>(m_duty.context(), m_settings.store);
    client->connectAndSend(std::move(request), callTimeout, [client, done = std::move(done)](wire::http_result const& result) { done(result); });
}

void platform_service::list()
{
    call({ "GET", "/objects", {}, {} }, callTimeout, [this](wire::http_result const& result) { handleList(result); });
}

void platform_service::handleList(wire::http_result const& result)
{
    auto const listing = result && result->status == statusOk ? wire::parseStoreListing(result->body) : std::nullopt;
    if (!listing) {
        retryLater();
        return;
    }
    setReachable(true);
    for (auto const& object : listing->objects)
        pass(object);
    m_revision = listing->revision;
    m_isListed = true;
    if (!m_isRegistered)
        registerDaemon();
    followChanges();
}

void platform_service::followChanges()
{
    if (!m_isListed)
        list();
    else if (m_isWatching)
        watch();
    else
        pollLater();
}

void platform_service::watch()
{
    auto const target = "/watch?after=" + std::to_string(m_revision) + "&wait_ms=" + std::to_string(watchWait.count());
    call({ "GET", target, {}, {} }, watchWait + callTimeout, [this](wire::http_result const& result) { handleChanges(result); });
}

void platform_service::pollLater()
{
    // The jitter spreads out the polls of daemons that lost their peers simultaneously.
    auto const jitter = std::chrono::milliseconds { static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(confirmationLifetime.count())) };
    m_pollTimer->schedule(m_clock() + confirmationLifetime / 2 + jitter / 2, [this] { poll(); });
}

void platform_service::poll()
{
    if (m_clock() - m_confirmedAt < confirmationLifetime) {
        pollLater();
        return;
    }
    call({ "GET", "/watch?after=" + std::to_string(m_revision) + "&wait_ms=0", {}, {} }, callTimeout, [this](wire::http_result const& result) { handleChanges(result); });
}

void platform_service::handleChanges(wire::http_result const& result)
{
    auto const listing = result && result->status == statusOk ? wire::parseStoreListing(result->body) : std::nullopt;
    if (!listing) {
        // The store may have discarded the history of the revision, so the next attempt lists all objects again.
        m_isListed = false;
        retryLater();
        return;
    }
    setReachable(true);
    for (auto const& object : listing->objects)
        pass(object);
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
    if (list && m_vms.update(*list)) {
        if (!m_decisions.platformInbox().push(decisions::vms_withdrawn { m_vms.withdrawn() }))
            logEvent(log_level::warn, "event_dropped", { { "event_type", "vms_withdrawn" } });
    }
    auto const interval = m_isWatching ? vmInterval : idleVmInterval;
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
    return m_duty.post([this] {
        m_registration.isLeaving = true;
        registerDaemon();
    });
}

void platform_service::retryLater()
{
    ++m_failures;
    setReachable(false);
    auto const ceiling = std::min(longestBackoff, firstBackoff * (1U << std::min(m_failuresInARow, mostDoublings)));
    ++m_failuresInARow;
    auto const jitter = std::chrono::milliseconds { static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(ceiling.count())) };
    m_pollTimer->schedule(m_clock() + ceiling / 2 + jitter / 2, [this] { list(); });
}

void platform_service::setReachable(bool isReachable)
{
    if (isReachable)
        m_failuresInARow = 0;
    if (!isReachable && !m_isReachable)
        return;
    m_isReachable = isReachable;
    if (!m_decisions.platformInbox().push(decisions::store_state_changed { isReachable, m_askedAt }))
        logEvent(log_level::warn, "event_dropped", { { "event_type", "store_state_changed" } });
}

void platform_service::pass(configuration::stored_object object)
{
    if (object.key.starts_with(configuration::servicePrefix)) {
        auto& known = m_knownVersions[object.key.substr(std::string_view { configuration::servicePrefix }.size())];
        // A deleted object has no version, so its next write creates the object anew.
        known = object.body ? std::max(known, object.version) : 0;
    }
    // FIXME: A listing that is larger than the ring should be forwarded in parts instead of being requested again.
    if (m_decisions.platformInbox().push(std::move(object)))
        return;
    logEvent(log_level::warn, "event_dropped", { { "event_type", "stored_object" } });
    m_isListed = false;
}

void platform_service::noteAccepted(configuration::stored_object object)
{
    logEvent(log_level::info, "change_accepted", { { "key", object.key }, { "version", object.version } });
    auto& known = m_knownVersions[object.key.substr(std::string_view { configuration::servicePrefix }.size())];
    known = std::max(known, object.version);
    if (!m_decisions.platformInbox().push(decisions::object_accepted { std::move(object) }))
        logEvent(log_level::warn, "event_dropped", { { "event_type", "object_accepted" } });
}

bool platform_service::requestState(kernel::state_receiver receiver)
{
    return m_duty.post([this, receiver = std::move(receiver)] {
        receiver(boost::json::serialize(boost::json::object {
            { "reachable", m_isReachable },
            { "registered", m_isRegistered },
            { "watching", m_isWatching },
            { "revision", m_revision },
            { "calls", m_budget.taken() },
            { "calls_delayed", m_budget.refused() },
            { "calls_available", m_budget.available(m_clock()) },
            { "vms", m_vms.size() },
            { "vms_withdrawn", m_vms.withdrawn().size() },
            { "commands_waiting", m_writer.waiting() },
            { "failures", m_failures },
        }));
    });
}

}
