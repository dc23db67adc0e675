#pragma once

#include "Libraries/zinnialedge/fleet/store_budget.h"
#include "Libraries/zinnialedge/fleet/store_protocol.h"
#include "Libraries/zinnialedge/wire/http_client.h"
#include <boost/asio/steady_timer.hpp>

namespace zinnialedge::services::fleet {

class store_link;

/// Detects a store that has stopped answering, and a watch whose reply was lost. The connections stay open in both states, and a long watch
/// does not show whether there are no changes. Asks over a connection of its own what has changed since the positions of the links.
class store_probe {
public:
    /// Calls `onUnresponsive` when a probe gets no reply in time, and `onReply` with each reply, before the link that was checked gets it.
    store_probe(boost::asio::io_context&, model::endpoint store, zinnialedge::fleet::store_budget&, std::vector<store_link*>, std::function<void()> onUnresponsive, std::function<void(wire::http_response const&)> onReply);

    void start();
    void stop();
    std::uint64_t callCount() const { return m_callCount; }

private:
    void startRound();
    /// Checks the next link that waits for changes, unless the round has shown that nothing has changed since the link's last check.
    void checkNextLink();
    void sendCheck(store_link&);
    void scheduleRound();

    boost::asio::io_context& m_context;
    model::endpoint m_store;
    zinnialedge::fleet::store_budget& m_budget;
    std::vector<store_link*> m_links;
    std::function<void()> m_onUnresponsive;
    std::function<void(wire::http_response const&)> m_onReply;
    std::unique_ptr<wire::http_client> m_client;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_callCount { 0 };
    /// Number of the current call; replies to earlier calls are ignored.
    std::uint64_t m_callNumber { 0 };
    std::size_t m_nextLink { 0 };
    /// Latest position of the store that a reply of this round has shown.
    std::optional<zinnialedge::fleet::store_position> m_shownPosition;
    bool m_isRunning { false };
};

}
