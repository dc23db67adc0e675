#include "Services/fleet/poll_server.h"

#include <boost/asio/io_context.hpp>

namespace zinnialedge::services::fleet {

using zinnialedge::fleet::snapshot_selection;

/// An answer sent just before a poll's hold time ends arrives before the subscriber's time limit even on a slow machine. Polls that
/// end within this time of each other are answered together, which saves wakes.
static constexpr std::chrono::milliseconds answerBatch { 50 };

/// Most subscribers are in one of a few positions. Others may claim any position.
static constexpr std::size_t maximumKeptBodies = 4;

poll_server::poll_server(boost::asio::io_context& context, poll_server_hooks hooks)
    : m_hooks(std::move(hooks))
    , m_timer(context)
{
}

void poll_server::handlePoll(zinnialedge::fleet::snapshot_poll const& poll, wire::http_responder respond)
{
    ++m_pollCount;
    auto const selection = selectParts(poll, m_hooks.currentState());
    if (selection.isDue) {
        answer(selection, respond);
        return;
    }
    // A subscriber may have closed its connection, which is noticed only when it is answered.
    if (m_heldPolls.size() >= m_hooks.maximumHeldPolls && !m_heldPolls.empty()) {
        auto const oldest = m_heldPolls.extract(m_heldPolls.begin()).mapped();
        answer(selectParts(oldest.poll, m_hooks.currentState()), oldest.respond);
    }
    auto const heldUntil = std::chrono::steady_clock::now() + poll.holdTime;
    m_heldPolls.emplace(heldUntil, held_poll { poll, heldUntil, std::move(respond) });
    if (m_heldPolls.begin()->second.heldUntil == heldUntil)
        armTimer();
}

void poll_server::answer(snapshot_selection const& selection, wire::http_responder const& respond)
{
    std::string key { selection.hasConfiguration ? "c" : "" };
    for (auto const& [name, since] : selection.parts)
        key += "/" + name + "." + (since ? std::to_string(*since) : "all");
    if (!m_bodies.contains(key) && m_bodies.size() >= maximumKeptBodies)
        m_bodies.clear();
    auto& body = m_bodies[key];
    if (body.empty())
        body = m_hooks.formatAnswer(selection);
    respond({ .status = 200, .body = body });
}

void poll_server::answerDuePolls()
{
    m_bodies.clear();
    auto const state = m_hooks.currentState();
    auto const now = std::chrono::steady_clock::now();
    std::vector<std::pair<snapshot_selection, wire::http_responder>> due;
    for (auto each = m_heldPolls.begin(); each != m_heldPolls.end();) {
        auto selection = selectParts(each->second.poll, state);
        if (!selection.isDue && each->first > now + answerBatch) {
            ++each;
            continue;
        }
        due.emplace_back(std::move(selection), std::move(each->second.respond));
        each = m_heldPolls.erase(each);
    }
    for (auto const& [selection, respond] : due)
        answer(selection, respond);
    armTimer();
}

void poll_server::armTimer()
{
    if (m_heldPolls.empty()) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(m_heldPolls.begin()->first);
    m_timer.async_wait([this](boost::system::error_code failure) {
        if (!failure)
            answerDuePolls();
    });
}

}
