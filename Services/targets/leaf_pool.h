#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/queries/events.h"
#include "Libraries/zinnialedge/wire/http_client.h"
#include "Libraries/zinnialedge/wire/leaf_codec.h"
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace zinnialedge::services::targets {

struct leaf_pool_hooks {
    kernel::clock_hook clock;
    std::function<void(queries::leaf_call_ended)> callEnded;
    std::function<void(queries::leaf_status_seen)> statusSeen;
};

/// Connections to one leaf. Each new connection is verified with a status request before the connection carries calls.
class leaf_pool : public std::enable_shared_from_this<leaf_pool> {
public:
    leaf_pool(boost::asio::io_context&, routing::leaf_handle, model::endpoint, std::string callPrefix, leaf_pool_hooks);

    /// Sets the maximum number of connections; zero closes the pool once all calls in flight have ended.
    void resize(std::size_t connections);
    void send(queries::send_leaf_call const&);
    void cancel(queries::call_id);
    /// Opens missing connections. Sends a status request if a connection is idle and no reply has carried the leaf's status since
    /// the last refresh.
    void refresh();

    model::endpoint const& place() const { return m_place; }
    bool isClosed() const { return m_wanted == 0 && m_busy.empty() && m_opening == 0; }
    std::size_t openCount() const { return m_idle.size() + m_busy.size() + m_probing; }
    std::size_t busyCount() const { return m_busy.size(); }
    std::size_t wantedCount() const { return m_wanted; }
    /// Returns the number of connections that the leaf accepts, as inferred from rejected connections.
    std::size_t allowedCount() const { return std::min(m_wanted, m_allowed); }
    std::uint64_t failedConnects() const { return m_failedConnects; }

private:
    using client = std::shared_ptr<wire::http_client>;

    void openMissing();
    void openOne();
    void probe(client const&, bool isNew);
    void handleProbe(client const&, bool isNew, wire::http_result const&);
    /// Handles a failed connection attempt or a failed status request.
    void noteFailure();
    void shrink();
    void growBack();
    bool isDead() const { return openCount() + m_opening == 0; }
    std::uint32_t reportedCount() const { return static_cast<std::uint32_t>(openCount()); }
    void transmit(client const&, queries::send_leaf_call const&);
    void handleReply(client const&, queries::call_id, wire::http_result const&);
    void giveBack(client const&);
    void startWaiting();
    /// Returns true, and reports the call as not sent, if the deadline of the call has passed.
    bool isTooLate(queries::send_leaf_call const&);
    void reportUnsent(queries::call_id, std::string reason);
    /// Reports every call in the queue as not sent.
    void failWaiting(std::string const& reason);
    client takeIdle();

    boost::asio::io_context& m_context;
    routing::leaf_handle m_handle;
    model::endpoint m_place;
    std::string m_callPrefix;
    leaf_pool_hooks m_hooks;
    std::size_t m_wanted { 0 };
    std::size_t m_allowed { 0 };
    unsigned m_refreshesSinceRefusal { 0 };
    std::size_t m_opening { 0 };
    std::size_t m_probing { 0 };
    std::uint64_t m_failedConnects { 0 };
    unsigned m_refreshesToSkip { 0 };
    unsigned m_failuresInARow { 0 };
    /// True if a reply has carried the leaf's status since the last refresh.
    bool m_hasHeardStatus { false };
    std::vector<client> m_idle;
    std::map<queries::call_id, client> m_busy;
    std::deque<queries::send_leaf_call> m_waiting;
};

}
