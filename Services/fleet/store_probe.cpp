#include "Services/fleet/store_probe.h"

#include "Kernel/event_log.h"

namespace zinnialedge::services::fleet {

/// An unresponsive store must be detected and reconnected to within the platform's stable window of 4 s.
static constexpr std::chrono::milliseconds probeInterval { 2000 };
/// A slow store takes several hundred milliseconds to reply.
static constexpr std::chrono::milliseconds probeTimeout { 1000 };

store_probe::store_probe(boost::asio::io_context& context, model::endpoint store, wire::http_request request, zinnialedge::fleet::store_budget& budget, std::function<void()> onUnresponsive, std::function<void(wire::http_response const&)> onReply)
    : m_context(context)
    , m_store(std::move(store))
    , m_request(std::move(request))
    , m_budget(budget)
    , m_onUnresponsive(std::move(onUnresponsive))
    , m_onReply(std::move(onReply))
    , m_client(std::make_unique<wire::http_client>(context, m_store))
    , m_timer(context)
{
}

void store_probe::start()
{
    if (!std::exchange(m_isRunning, true))
        sendProbe();
}

void store_probe::stop()
{
    m_isRunning = false;
    ++m_callNumber;
    m_timer.cancel();
    m_client = std::make_unique<wire::http_client>(m_context, m_store);
}

void store_probe::sendProbe()
{
    if (!m_isRunning)
        return;
    // Skips the probe when the budget is exhausted: watches also detect an unresponsive store, but later.
    if (!m_budget.reads().take(std::chrono::steady_clock::now())) {
        scheduleProbe();
        return;
    }
    ++m_callCount;
    m_client->connectAndSend(m_request, probeTimeout, [this, number = ++m_callNumber](wire::http_result const& result) {
        if (number != m_callNumber)
            return;
        if (!result) {
            kernel::logEvent(kernel::log_level::warn, "store_probe_failed", { { "reason", result.error().reason } });
            m_client = std::make_unique<wire::http_client>(m_context, m_store);
            m_onUnresponsive();
        } else {
            m_onReply(*result);
        }
        scheduleProbe();
    });
}

void store_probe::scheduleProbe()
{
    m_timer.expires_after(probeInterval);
    m_timer.async_wait([this](boost::system::error_code failure) {
        if (!failure)
            sendProbe();
    });
}

}
