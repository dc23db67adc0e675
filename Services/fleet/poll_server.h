#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/fleet/snapshot_history.h"
#include "Libraries/zinnialedge/wire/http_server.h"
#include <boost/asio/steady_timer.hpp>
#include <map>

namespace zinnialedge::services::fleet {

struct poll_server_hooks {
    std::function<zinnialedge::fleet::snapshot_state()> currentState;
    std::function<std::string(zinnialedge::fleet::snapshot_selection const&)> formatAnswer;
    /// Number of held polls above which the oldest one is answered.
    std::size_t maximumHeldPolls { 0 };
};

/// Holds the polls of subscribers until there is news for them.
class poll_server {
public:
    poll_server(boost::asio::io_context&, poll_server_hooks);

    void handlePoll(zinnialedge::fleet::snapshot_poll const&, wire::http_responder);
    /// Answers the held polls for which there is news.
    void answerDuePolls();
    std::uint64_t pollCount() const { return m_pollCount; }
    /// Returns the number of polls that are held, each by another subscriber.
    std::size_t heldPollCount() const { return m_heldPolls.size(); }

private:
    struct held_poll {
        zinnialedge::fleet::snapshot_poll poll;
        kernel::time_point heldUntil;
        wire::http_responder respond;
    };

    void answer(zinnialedge::fleet::snapshot_selection const&, wire::http_responder const&);
    void armTimer();

    poll_server_hooks m_hooks;
    std::multimap<kernel::time_point, held_poll> m_heldPolls;
    boost::asio::steady_timer m_timer;
    /// Bodies of answers, by what they contain, as long as there is no change: subscribers that poll together get the same body.
    std::map<std::string, std::string> m_bodies;
    std::uint64_t m_pollCount { 0 };
};

}
