#pragma once

#include "Libraries/zinnialedge/fleet/object_mirror.h"
#include "Libraries/zinnialedge/fleet/store_budget.h"
#include "Libraries/zinnialedge/fleet/store_protocol.h"
#include "Libraries/zinnialedge/wire/http_client.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace zinnialedge::services::fleet {

struct store_link_counters {
    std::uint64_t callCount { 0 };
    std::uint64_t failureCount { 0 };
    /// Number of watches whose reply was lost although the connection stayed open.
    std::uint64_t lostReplyCount { 0 };
};

struct store_link_hooks {
    /// Called when the mirror's objects changed or the store was reached again.
    std::function<void()> changed;
    /// Called with the era of each reply that tells one.
    std::function<void(std::uint64_t)> eraSeen;
    /// Called after a call without a usable reply.
    std::function<void()> failed;
};

/// Keeps the mirror of one object kind up to date over a dedicated connection to the store.
class store_link {
public:
    store_link(boost::asio::io_context&, model::endpoint store, zinnialedge::fleet::object_kind, zinnialedge::fleet::store_protocol const&, zinnialedge::fleet::store_budget&, zinnialedge::fleet::mirror_settings, std::chrono::milliseconds watchHoldTime, store_link_hooks);

    /// Begins or continues to read the store. `isStoreLost` tells that other daemons have lost the store.
    void resume(bool isStoreLost);
    /// Stops reading the store, and closes the connection.
    void suspend();
    /// Takes over the objects as a reader has them. Returns whether they were taken, which they are not if they are older than the local
    /// ones. Must be called only while suspended or without the store.
    bool replicate(std::map<std::string, zinnialedge::fleet::store_object> const& objects, std::vector<std::string> const& removed, bool isComplete, zinnialedge::fleet::store_position, bool isSettled);
    /// Repeats the current call over a new connection, because the store may have dropped the old connection without closing it.
    void reconnect();
    /// Adopts objects that another daemon has read. Returns true when the mirror changed.
    bool adopt(std::vector<zinnialedge::fleet::store_object> const&, zinnialedge::fleet::store_position);
    /// Lists the objects again because the store has begun a later era, and ignores the reply to the call in flight.
    void enterEra(std::uint64_t era);

    /// Returns whether a watch waits for changes.
    bool isWatching() const { return m_isCallInFlight && m_isWatchInFlight; }
    /// Returns the request that asks, over another connection, whether the watch has missed changes. Must be called only while isWatching().
    wire::http_request beginCheck();
    /// Takes the reply to beginCheck(). If the watch does not report what the reply shows, it is sent again over a new connection. Returns
    /// the store's position that the reply shows, if any.
    std::optional<zinnialedge::fleet::store_position> endCheck(wire::http_response const&);
    /// Returns the store's position up to which no change is missing.
    zinnialedge::fleet::store_position checkedPosition() const { return std::max(m_checkedPosition, m_mirror.position()); }

    zinnialedge::fleet::object_kind kind() const { return m_kind; }
    zinnialedge::fleet::object_mirror const& mirror() const { return m_mirror; }
    store_link_counters const& counters() const { return m_counters; }

private:
    void dropCall();
    void processNextRequest();
    void scheduleNextRequest(kernel::time_point);
    void sendRequest(zinnialedge::fleet::mirror_request const&);
    void handleResult(zinnialedge::fleet::mirror_request const&, wire::http_result const&);
    void handleReply(zinnialedge::fleet::mirror_request const&, wire::http_response const&);
    void recordFailure(std::string const& reason);
    /// Logs that a reply has objects which can't be identified.
    void logUnreadable(std::size_t count) const;
    void notifyIfChanged(bool wasConnected, std::uint64_t generation);
    /// Sends the watch again unless it has been answered in the meantime.
    void awaitMissedReply();

    boost::asio::io_context& m_context;
    zinnialedge::fleet::object_kind m_kind;
    zinnialedge::fleet::store_protocol const& m_protocol;
    zinnialedge::fleet::store_budget& m_budget;
    zinnialedge::fleet::object_mirror m_mirror;
    std::chrono::milliseconds m_watchHoldTime;
    store_link_hooks m_hooks;
    model::endpoint m_store;
    std::unique_ptr<wire::http_client> m_client;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_missedReplyTimer;
    store_link_counters m_counters;
    /// Number of the current call; replies to earlier calls are ignored.
    std::uint64_t m_callNumber { 0 };
    bool m_isCallInFlight { false };
    /// Whether the call in flight is a watch on which the store may wait for changes.
    bool m_isWatchInFlight { false };
    /// Whether the call in flight began before a later state was taken over.
    bool m_isCallStale { false };
    bool m_isSuspended { true };
    /// Number of the call, and position of the mirror, at the begin of the last check.
    std::uint64_t m_checkedCallNumber { 0 };
    zinnialedge::fleet::store_position m_positionAtCheck;
    zinnialedge::fleet::store_position m_checkedPosition;
};

std::string_view objectKindName(zinnialedge::fleet::object_kind);

}
