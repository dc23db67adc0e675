#include "Services/fleet/store_probe.h"

#include "Kernel/event_log.h"
#include "Services/fleet/store_link.h"

namespace zinnialedge::services::fleet {

/// An unresponsive store must be detected and reconnected to within the platform's stable window of 4 s, and a lost change must be read again
/// before the drain time of 3 s has passed since the store accepted it.
static constexpr std::chrono::milliseconds probeInterval { 2000 };
/// A slow store takes several hundred milliseconds to reply.
static constexpr std::chrono::milliseconds probeTimeout { 1000 };

store_probe::store_probe(boost::asio::io_context& context, model::endpoint store, zinnialedge::fleet::store_budget& budget, std::vector<store_link*> links, std::function<void()> onUnresponsive, std::function<void(wire::http_response const&)> onReply)
    : m_context(context)
    , m_store(std::move(store))
    , m_budget(budget)
    , m_links(std::move(links))
    , m_onUnresponsive(std::move(onUnresponsive))
    , m_onReply(std::move(onReply))
    , m_client(std::make_unique<wire::http_client>(context, m_store))
    , m_timer(context)
{
}

void store_probe::start()
{
    if (!std::exchange(m_isRunning, true))
        startRound();
}

void store_probe::stop()
{
    m_isRunning = false;
    ++m_callNumber;
    m_timer.cancel();
    m_client = std::make_unique<wire::http_client>(m_context, m_store);
}

void store_probe::startRound()
{
    m_nextLink = 0;
    m_shownPosition.reset();
    checkNextLink();
}

void store_probe::checkNextLink()
{
    if (!m_isRunning)
        return;
    while (m_nextLink < m_links.size()) {
        auto& link = *m_links[m_nextLink++];
        // The calls of a link that does not wait for changes have short time limits.
        if (!link.isWatching() || (m_shownPosition && *m_shownPosition <= link.checkedPosition()))
            continue;
        // Skips the rest of the round when the budget is exhausted: watches also detect an unresponsive store, but later.
        if (!m_budget.reads().take(std::chrono::steady_clock::now()))
            break;
        sendCheck(link);
        return;
    }
    scheduleRound();
}

void store_probe::sendCheck(store_link& link)
{
    ++m_callCount;
    m_client->connectAndSend(link.beginCheck(), probeTimeout, [this, &link, number = ++m_callNumber](wire::http_result const& result) {
        if (number != m_callNumber)
            return;
        if (!result) {
            kernel::logEvent(kernel::log_level::warn, "store_probe_failed", { { "reason", result.error().reason } });
            m_client = std::make_unique<wire::http_client>(m_context, m_store);
            m_onUnresponsive();
            scheduleRound();
            return;
        }
        m_onReply(*result);
        m_shownPosition = std::max(m_shownPosition, link.endCheck(*result));
        checkNextLink();
    });
}

void store_probe::scheduleRound()
{
    m_timer.expires_after(probeInterval);
    m_timer.async_wait([this](boost::system::error_code failure) {
        if (!failure)
            startRound();
    });
}

}
