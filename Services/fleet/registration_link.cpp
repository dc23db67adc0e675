#include "Services/fleet/registration_link.h"

#include "Kernel/clock.h"
#include "Kernel/event_log.h"

namespace zinnialedge::services::fleet {

using kernel::log_level;
using kernel::logEvent;

static constexpr std::chrono::milliseconds callTimeout { 2000 };
static constexpr std::chrono::milliseconds firstPause { 250 };
static constexpr std::chrono::milliseconds longestPause { 4000 };
static constexpr int statusCreated = 201;

registration_link::registration_link(boost::asio::io_context& context, model::endpoint store, zinnialedge::fleet::store_protocol const& protocol, zinnialedge::fleet::store_budget& budget)
    : m_context(context)
    , m_store(std::move(store))
    , m_protocol(protocol)
    , m_budget(budget)
    , m_timer(context)
    , m_random(kernel::makeRandom())
    , m_pause(firstPause)
{
}

void registration_link::put(std::string name, boost::json::value content)
{
    m_name = std::move(name);
    m_content = std::move(content);
    write();
}

void registration_link::write()
{
    if (m_isWritten || m_isRemoved)
        return;
    auto const now = std::chrono::steady_clock::now();
    if (!m_budget.writes().take(now)) {
        writeAt(m_budget.writes().nextAt(now));
        return;
    }
    ++m_calls;
    m_client = std::make_unique<wire::http_client>(m_context, m_store);
    m_client->connectAndSend(m_protocol.write(m_name, m_content, m_revision), callTimeout, [this](wire::http_result const& result) { handle(result); });
}

void registration_link::handle(wire::http_result const& result)
{
    if (result && (result->status == zinnialedge::fleet::statusOk || result->status == statusCreated)) {
        m_isWritten = true;
        if (auto const written = m_protocol.parseObject(result->body))
            m_writtenRevision = written->revision;
        logEvent(log_level::info, "registered", { { "name", m_name }, { "calls", m_calls } });
        return;
    }
    if (result && result->status == zinnialedge::fleet::statusConflict) {
        // The object belongs to an earlier process on this VM: replace exactly that revision.
        if (auto const known = m_protocol.parseObject(result->body)) {
            m_revision = known->revision;
            if (known->content == m_content) {
                m_isWritten = true;
                return;
            }
        }
    } else if (result && result->status == 404) {
        m_revision.reset();
    }
    retryLater();
}

void registration_link::retryLater()
{
    auto const pause = m_pause + std::chrono::milliseconds { m_random() % static_cast<std::uint64_t>(m_pause.count()) };
    m_pause = std::min(m_pause * 2, longestPause);
    writeAt(std::chrono::steady_clock::now() + pause);
}

void registration_link::writeAt(kernel::time_point at)
{
    m_timer.expires_at(at);
    m_timer.async_wait([this](boost::system::error_code failure) {
        if (!failure)
            write();
    });
}

void registration_link::putAgain(std::uint64_t asOf)
{
    // A list that is older than the write cannot contain the object.
    if (!m_isWritten || m_isRemoved || !m_writtenRevision || asOf < *m_writtenRevision)
        return;
    logEvent(log_level::info, "registration_missing", { { "name", m_name }, { "as_of", asOf } });
    m_isWritten = false;
    m_revision.reset();
    m_pause = firstPause;
    write();
}

void registration_link::removeLost(std::string const& name, std::uint64_t revision)
{
    if (!m_budget.writes().take(std::chrono::steady_clock::now()))
        return;
    ++m_calls;
    m_removalClient = std::make_unique<wire::http_client>(m_context, m_store);
    m_removalClient->connectAndSend(m_protocol.remove(name, revision), callTimeout, [name, revision](wire::http_result const& result) {
        // A registration that could not be removed is retried later.
        logEvent(log_level::info, "lost_daemon_removed", { { "name", name }, { "revision", revision }, { "status", result ? result->status : 0 }, { "reason", result ? "" : result.error().reason } });
    });
}

void registration_link::remove()
{
    m_isRemoved = true;
    m_timer.cancel();
    if (m_name.empty())
        return;
    // The removal is sent even when the budget is exhausted: it is the last store call of this process.
    (void)m_budget.writes().take(std::chrono::steady_clock::now());
    ++m_calls;
    m_client = std::make_unique<wire::http_client>(m_context, m_store);
    m_client->connectAndSend(m_protocol.remove(m_name, std::nullopt), callTimeout, [this](wire::http_result const& result) {
        // When the removal fails, other daemons detect and remove the stale registration.
        if (!result || result->status != zinnialedge::fleet::statusOk)
            logEvent(log_level::info, "registration_not_removed", { { "name", m_name }, { "reason", result ? std::to_string(result->status) : result.error().reason } });
    });
}

}
