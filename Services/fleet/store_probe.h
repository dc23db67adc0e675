#pragma once

#include "Libraries/zinnialedge/fleet/store_budget.h"
#include "Libraries/zinnialedge/fleet/store_protocol.h"
#include "Libraries/zinnialedge/wire/http_client.h"
#include <boost/asio/steady_timer.hpp>

namespace zinnialedge::services::fleet {

/// Detects a store that has stopped answering. The store's connections stay open in that state, and a long watch does not show
/// whether the store is unresponsive or has no changes.
class store_probe {
public:
    /// Calls `onUnresponsive` when a probe gets no reply in time, and `onReply` with each reply.
    store_probe(boost::asio::io_context&, model::endpoint store, wire::http_request, zinnialedge::fleet::store_budget&, std::function<void()> onUnresponsive, std::function<void(wire::http_response const&)> onReply);

    void start();
    void stop();
    std::uint64_t callCount() const { return m_callCount; }

private:
    void sendProbe();
    void scheduleProbe();

    boost::asio::io_context& m_context;
    model::endpoint m_store;
    wire::http_request m_request;
    zinnialedge::fleet::store_budget& m_budget;
    std::function<void()> m_onUnresponsive;
    std::function<void(wire::http_response const&)> m_onReply;
    std::unique_ptr<wire::http_client> m_client;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_callCount { 0 };
    /// Number of the current call; replies to earlier calls are ignored.
    std::uint64_t m_callNumber { 0 };
    bool m_isRunning { false };
};

}
