#pragma once

#include "Libraries/zinnialedge/fleet/store_roles.h"
#include "Libraries/zinnialedge/wire/http_client.h"
#include "Services/fleet/poll_codec.h"
#include <boost/asio/steady_timer.hpp>

namespace zinnialedge::services::fleet {

struct reader_link_hooks {
    /// Returns what this daemon knows. Only the parts whose positions it tells are compared.
    std::function<zinnialedge::fleet::snapshot_poll()> makePoll;
    /// Called with each answer of another daemon, before its consequences for the role.
    std::function<void(poll_answer const&, model::endpoint const&)> answered;
    /// Called with the complete snapshot that a daemon of an earlier version sends.
    std::function<void(std::string const&, model::endpoint const&)> snapshotReceived;
    /// Called when the daemon that supplies changes is another one, or none.
    std::function<void()> readerChanged;
    /// Called when this daemon must begin or stop to read the store.
    std::function<void(bool readsStore)> readingChanged; /// Greatest size of an answer of another daemon, in bytes.
    std::size_t maximumAnswerBytes { wire::http_client::defaultMaximumResponseBytes };
};

/// Performs what `store_roles` decides: polls a reader while this daemon is a subscriber.
class reader_link {
public:
    reader_link(boost::asio::io_context&, zinnialedge::fleet::role_settings, reader_link_hooks);

    void start();
    void setDaemons(std::vector<zinnialedge::fleet::serving_daemon>);
    void setStoreLost(bool isStoreLost);
    void setSeeds(std::vector<model::endpoint> seeds) { m_roles.setSeeds(std::move(seeds)); }
    zinnialedge::fleet::store_roles const& roles() const { return m_roles; }
    /// Returns whether the last poll of the reader said that it reaches the store.
    bool hasReader() const { return m_roles.reader().has_value(); }
    std::uint64_t pollCount() const { return m_pollCount; }

private:
    void proceed();
    void sendPoll(zinnialedge::fleet::reader_poll const&);
    void handleResult(model::endpoint const&, wire::http_result const&);
    void logChanges();
    void armTimer();

    boost::asio::io_context& m_context;
    zinnialedge::fleet::store_roles m_roles;
    reader_link_hooks m_hooks;
    std::unique_ptr<wire::http_client> m_client;
    model::endpoint m_clientPlace;
    boost::asio::steady_timer m_timer;
    zinnialedge::fleet::store_role m_loggedRole { zinnialedge::fleet::store_role::subscriber };
    std::optional<model::endpoint> m_loggedReader;
    std::uint64_t m_pollCount { 0 };
    bool m_readsStore { false };
    bool m_isStarted { false };
};

}
