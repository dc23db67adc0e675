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
static constexpr std::chrono::milliseconds watchWait { 20'000 };
static constexpr std::chrono::milliseconds firstBackoff { 50 };
static constexpr std::chrono::milliseconds longestBackoff { 2000 };
static constexpr unsigned mostDoublings = 6;
static constexpr int statusOk = 200;

class platform_service::retry_timer {
public:
    explicit retry_timer(boost::asio::io_context& context)
        : m_timer(context)
    {
    }

    void schedule(std::chrono::milliseconds delay, std::function<void()> work)
    {
        m_timer.expires_after(delay);
        m_timer.async_wait([work = std::move(work)](boost::system::error_code failure) {
            if (!failure)
                work();
        });
    }

private:
    boost::asio::steady_timer m_timer;
};

platform_service::platform_service(model::endpoint store, kernel::random_hook random, decisions::decision_service& decisions)
    : m_duty(serviceName)
    , m_random(std::move(random))
    , m_decisions(decisions)
    , m_store(std::move(store))
    , m_watchClient(std::make_unique<wire::http_client>(m_duty.context(), m_store))
    , m_writeClient(std::make_unique<wire::http_client>(m_duty.context(), m_store))
    , m_timer(std::make_unique<retry_timer>(m_duty.context()))
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
    m_duty.start();
}

void platform_service::call(wire::http_request request, std::chrono::milliseconds timeout, std::function<void(wire::http_result)> done)
{
    ++m_calls;
    m_watchClient->connectAndSend(std::move(request), timeout, std::move(done));
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
    watch();
}

void platform_service::watch()
{
    auto const target = "/watch?after=" + std::to_string(m_revision) + "&wait_ms=" + std::to_string(watchWait.count());
    call({ "GET", target, {}, {} }, watchWait + callTimeout, [this](wire::http_result const& result) { handleWatch(result); });
}

void platform_service::handleWatch(wire::http_result const& result)
{
    auto const listing = result && result->status == statusOk ? wire::parseStoreListing(result->body) : std::nullopt;
    if (!listing) {
        // The store may have forgotten the revision, so the next attempt lists everything again.
        m_isListed = false;
        retryLater();
        return;
    }
    setReachable(true);
    for (auto const& object : listing->objects)
        pass(object);
    m_revision = std::max(m_revision, listing->revision);
    watch();
}

void platform_service::registerDaemon()
{
    ++m_calls;
    wire::http_request request { "PUT", std::string { "/objects/" } + configuration::daemonPrefix + m_registration.name, membership::formatDaemonRecord(m_registration), {} };
    m_writeClient->connectAndSend(std::move(request), callTimeout, [this](wire::http_result const& result) {
        m_isRegistered = result && result->status == statusOk;
        if (!m_isRegistered)
            logEvent(log_level::warn, "registration_failed");
    });
}

void platform_service::retryLater()
{
    ++m_failures;
    setReachable(false);
    auto const ceiling = std::min(longestBackoff, firstBackoff * (1U << std::min(m_failuresInARow, mostDoublings)));
    ++m_failuresInARow;
    auto const jitter = std::chrono::milliseconds { static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(ceiling.count())) };
    m_timer->schedule(ceiling / 2 + jitter / 2, [this] { list(); });
}

void platform_service::setReachable(bool isReachable)
{
    if (isReachable)
        m_failuresInARow = 0;
    if (m_isReachable == isReachable)
        return;
    m_isReachable = isReachable;
    if (!m_decisions.platformInbox().push(decisions::store_state_changed { isReachable }))
        logEvent(log_level::warn, "event_dropped", { { "event_type", "store_state_changed" } });
}

void platform_service::pass(configuration::stored_object object)
{
    // FIXME: A listing larger than the ring should be passed on in parts instead of being listed again.
    if (m_decisions.platformInbox().push(std::move(object)))
        return;
    logEvent(log_level::warn, "event_dropped", { { "event_type", "stored_object" } });
    m_isListed = false;
}

bool platform_service::requestState(kernel::state_receiver receiver)
{
    return m_duty.post([this, receiver = std::move(receiver)] {
        receiver(boost::json::serialize(boost::json::object {
            { "reachable", m_isReachable },
            { "registered", m_isRegistered },
            { "revision", m_revision },
            { "calls", m_calls },
            { "failures", m_failures },
        }));
    });
}

}
