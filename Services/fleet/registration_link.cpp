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

registration_link::registration_link(boost::asio::io_context& context, model::endpoint store, zinnialedge::fleet::store_protocol const& protocol)
    : m_context(context)
    , m_store(std::move(store))
    , m_protocol(protocol)
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
    ++m_calls;
    m_client = std::make_unique<wire::http_client>(m_context, m_store);
    m_client->connectAndSend(m_protocol.write(m_name, m_content, m_revision), callTimeout, [this](wire::http_result const& result) { handle(result); });
}

void registration_link::handle(wire::http_result const& result)
{
    if (result && (result->status == zinnialedge::fleet::statusOk || result->status == statusCreated)) {
        m_isWritten = true;
        logEvent(log_level::info, "registered", { { "name", m_name }, { "calls", m_calls } });
        return;
    }
    if (result && result->status == zinnialedge::fleet::statusConflict) {
        // The object of an earlier process of this VM: replace just that one.
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
    m_timer.expires_after(m_pause + std::chrono::milliseconds { m_random() % static_cast<std::uint64_t>(m_pause.count()) });
    m_pause = std::min(m_pause * 2, longestPause);
    m_timer.async_wait([this](boost::system::error_code failure) {
        if (!failure)
            write();
    });
}

void registration_link::remove()
{
    m_isRemoved = true;
    m_timer.cancel();
    if (m_name.empty())
        return;
    ++m_calls;
    m_client = std::make_unique<wire::http_client>(m_context, m_store);
    m_client->connectAndSend(m_protocol.remove(m_name), callTimeout, [this](wire::http_result const& result) {
        // What stays is found to be dead by the others.
        if (!result || result->status != zinnialedge::fleet::statusOk)
            logEvent(log_level::info, "registration_not_removed", { { "name", m_name }, { "reason", result ? std::to_string(result->status) : result.error().reason } });
    });
}

}
