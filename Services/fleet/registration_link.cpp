#include "Services/fleet/registration_link.h"

#include "Kernel/clock.h"
#include "Kernel/event_log.h"

namespace zinnialedge::services::fleet {

using kernel::log_level;
using kernel::logEvent;

static constexpr std::chrono::milliseconds callTimeout { 2000 };
static constexpr std::chrono::milliseconds initialRetryDelay { 250 };
static constexpr std::chrono::milliseconds maximumRetryDelay { 4000 };
/// Maximum random delay of the write after a return of the store, so that a large fleet stays within the store's rates.
static constexpr std::chrono::milliseconds repeatedWriteSpread { 1500 };
static constexpr int statusCreated = 201;

registration_link::registration_link(boost::asio::io_context& context, model::endpoint store, zinnialedge::fleet::store_protocol const& protocol, zinnialedge::fleet::store_budget& budget, std::function<void(std::uint64_t)> eraSeen)
    : m_context(context)
    , m_store(std::move(store))
    , m_protocol(protocol)
    , m_budget(budget)
    , m_eraSeen(std::move(eraSeen))
    , m_timer(context)
    , m_random(kernel::makeRandom())
    , m_retryDelay(initialRetryDelay)
{
}

void registration_link::registerDaemon(std::string name, boost::json::value content)
{
    m_objectName = std::move(name);
    m_objectContent = std::move(content);
    writeRegistration();
}

void registration_link::writeRegistration()
{
    if (m_isWritten || m_isUnregistered)
        return;
    auto const now = std::chrono::steady_clock::now();
    if (!m_budget.writes().take(now)) {
        scheduleWrite(m_budget.writes().nextAvailableAt(now));
        return;
    }
    ++m_callCount;
    m_writeClient = std::make_unique<wire::http_client>(m_context, m_store);
    m_writeClient->connectAndSend(m_protocol.write(m_objectName, m_objectContent, m_replacedRevision), callTimeout, [this, number = ++m_writeNumber](wire::http_result const& result) {
        if (number == m_writeNumber)
            handleWriteResult(result);
    });
}

std::uint64_t registration_link::eraOf(wire::http_response const& reply) const
{
    return m_protocol.parseEra(reply).value_or(m_era);
}

void registration_link::handleWriteResult(wire::http_result const& result)
{
    if (result && m_era == 0)
        m_era = eraOf(*result);
    if (result && eraOf(*result) != m_era) {
        // The condition of the write and the reply belong to different eras, so the write says nothing about the present object.
        m_replacedRevision.reset();
        scheduleRetry();
        m_eraSeen(eraOf(*result));
        return;
    }
    if (result && (result->status == zinnialedge::fleet::statusOk || result->status == statusCreated)) {
        m_isWritten = true;
        if (auto const written = m_protocol.parseObject(result->body))
            m_writtenAt = { m_era, written->revision };
        logEvent(log_level::info, "registered", { { "name", m_objectName }, { "calls", m_callCount } });
        return;
    }
    if (result && result->status == zinnialedge::fleet::statusConflict) {
        // The object belongs to an earlier process on this VM: replace exactly that revision.
        if (auto const current = m_protocol.parseObject(result->body)) {
            m_replacedRevision = current->revision;
            if (current->content == m_objectContent) {
                m_isWritten = true;
                m_writtenAt = { m_era, current->revision };
                return;
            }
        }
    } else if (result && result->status == 404) {
        m_replacedRevision.reset();
    }
    scheduleRetry();
}

void registration_link::scheduleRetry()
{
    auto const delay = m_retryDelay + std::chrono::milliseconds { m_random() % static_cast<std::uint64_t>(m_retryDelay.count()) };
    m_retryDelay = std::min(m_retryDelay * 2, maximumRetryDelay);
    scheduleWrite(std::chrono::steady_clock::now() + delay);
}

void registration_link::scheduleWrite(kernel::time_point at)
{
    m_timer.expires_at(at);
    m_timer.async_wait([this](boost::system::error_code failure) {
        if (!failure)
            writeRegistration();
    });
}

void registration_link::registerAgain(zinnialedge::fleet::store_position asOf)
{
    // A list that is older than the write cannot contain the object.
    if (!m_isWritten || m_isUnregistered || !m_writtenAt || asOf < *m_writtenAt)
        return;
    ++m_repeatedWriteCount;
    logEvent(log_level::info, "registration_missing", { { "name", m_objectName }, { "era", asOf.era }, { "as_of", asOf.revision } });
    m_isWritten = false;
    m_replacedRevision.reset();
    m_retryDelay = initialRetryDelay;
    writeRegistration();
}

void registration_link::enterEra(std::uint64_t era)
{
    bool const isReturn = m_era != 0;
    m_era = era;
    if (!isReturn || m_objectName.empty())
        return;
    ++m_repeatedWriteCount;
    // A revision of the earlier era may belong to another state of the object by now.
    m_replacedRevision.reset();
    m_writtenAt.reset();
    ++m_writeNumber;
    m_isWritten = false;
    m_retryDelay = initialRetryDelay;
    if (m_isUnregistered) {
        removeRegistration();
        return;
    }
    auto const delay = std::chrono::milliseconds { m_random() % static_cast<std::uint64_t>(repeatedWriteSpread.count()) };
    logEvent(log_level::info, "registration_repeated", { { "name", m_objectName }, { "era", era }, { "delay_ms", delay.count() } });
    scheduleWrite(std::chrono::steady_clock::now() + delay);
}

void registration_link::removeStaleRegistration(std::string const& name, std::uint64_t revision)
{
    if (!m_budget.writes().take(std::chrono::steady_clock::now()))
        return;
    ++m_callCount;
    m_removalClient = std::make_unique<wire::http_client>(m_context, m_store);
    m_removalClient->connectAndSend(m_protocol.remove(name, revision), callTimeout, [name, revision](wire::http_result const& result) {
        // A registration that could not be removed is retried later.
        logEvent(log_level::info, "lost_daemon_removed", { { "name", name }, { "revision", revision }, { "status", result ? result->status : 0 }, { "reason", result ? "" : result.error().reason } });
    });
}

void registration_link::unregisterDaemon()
{
    m_isUnregistered = true;
    m_timer.cancel();
    if (!m_objectName.empty())
        removeRegistration();
}

void registration_link::removeRegistration()
{
    // The removal is sent even when the budget is exhausted: it is the last store call of this process.
    (void)m_budget.writes().take(std::chrono::steady_clock::now());
    ++m_callCount;
    m_writeClient = std::make_unique<wire::http_client>(m_context, m_store);
    m_writeClient->connectAndSend(m_protocol.remove(m_objectName, std::nullopt), callTimeout, [this](wire::http_result const& result) {
        // When the removal fails, other daemons detect and remove the stale registration.
        if (!result || result->status != zinnialedge::fleet::statusOk)
            logEvent(log_level::info, "registration_not_removed", { { "name", m_objectName }, { "reason", result ? std::to_string(result->status) : result.error().reason } });
    });
}

}
