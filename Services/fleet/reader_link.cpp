#include "Services/fleet/reader_link.h"

#include "Kernel/event_log.h"
#include <boost/asio/io_context.hpp>

namespace zinnialedge::services::fleet {

using kernel::log_level;
using kernel::logEvent;
using zinnialedge::fleet::reader_poll;
using zinnialedge::fleet::reader_state;
using zinnialedge::fleet::toString;

static constexpr int statusOk = 200;

reader_link::reader_link(boost::asio::io_context& context, zinnialedge::fleet::role_settings settings, reader_link_hooks hooks)
    : m_context(context)
    , m_roles(std::move(settings), kernel::makeRandom())
    , m_hooks(std::move(hooks))
    , m_timer(context)
{
}

void reader_link::start()
{
    m_isStarted = true;
    m_roles.start(std::chrono::steady_clock::now());
    proceed();
}

void reader_link::setDaemons(std::vector<zinnialedge::fleet::serving_daemon> daemons)
{
    m_roles.setDaemons(std::move(daemons), std::chrono::steady_clock::now());
    proceed();
}

void reader_link::setStoreLost(bool isStoreLost)
{
    if (m_roles.isStoreLost() == isStoreLost)
        return;
    m_roles.setStoreLost(isStoreLost, std::chrono::steady_clock::now());
    proceed();
}

void reader_link::proceed()
{
    if (!m_isStarted)
        return;
    auto const now = std::chrono::steady_clock::now();
    m_roles.advance(now);
    logChanges();
    if (m_roles.readsStore() != m_readsStore) {
        m_readsStore = m_roles.readsStore();
        m_hooks.readingChanged(m_readsStore);
    }
    if (auto const poll = m_roles.takePoll(now))
        sendPoll(*poll);
    armTimer();
}

void reader_link::logChanges()
{
    if (m_roles.role() == m_loggedRole && m_roles.reader() == m_loggedReader && m_roles.readsStore() == m_readsStore)
        return;
    m_loggedRole = m_roles.role();
    bool const hasReaderChanged = std::exchange(m_loggedReader, m_roles.reader()) != m_roles.reader();
    logEvent(log_level::info, "store_role", { { "role", toString(m_loggedRole) }, { "reads_store", m_roles.readsStore() ? 1 : 0 }, { "reader", m_loggedReader ? model::toString(*m_loggedReader) : "none" }, { "daemons_in_data_centre", m_roles.localDaemonCount() } });
    if (hasReaderChanged)
        m_hooks.readerChanged();
}

void reader_link::armTimer()
{
    auto const next = m_roles.nextTime();
    if (!next) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(*next);
    m_timer.async_wait([this](boost::system::error_code failure) {
        if (!failure)
            proceed();
    });
}

void reader_link::sendPoll(reader_poll const& poll)
{
    if (!m_client || m_clientPlace != poll.place) {
        m_client = std::make_unique<wire::http_client>(m_context, poll.place, m_hooks.maximumAnswerBytes);
        m_clientPlace = poll.place;
    }
    ++m_pollCount;
    auto request = m_hooks.makePoll();
    request.holdTime = poll.holdTime;
    request.isStoreReached = m_roles.reader() == poll.place;
    m_client->connectAndSend({ "GET", formatPoll(request), {}, {}, 0 }, poll.timeout, [this, place = poll.place](wire::http_result const& result) {
        handleResult(place, result);
        proceed();
    });
}

static errors::error_or<poll_answer> parseResult(wire::http_result const& result)
{
    if (!result)
        return errors::makeError(errors::error_kind::internal, result.error().reason);
    if (result->status != statusOk)
        return errors::makeError(errors::error_kind::internal, "status " + std::to_string(result->status));
    return parseAnswer(result->body);
}

void reader_link::handleResult(model::endpoint const& place, wire::http_result const& result)
{
    auto const now = std::chrono::steady_clock::now();
    auto const answer = parseResult(result);
    if (!answer) {
        if (m_roles.reader() == place)
            logEvent(log_level::warn, "reader_lost", { { "reader", model::toString(place) }, { "reason", answer.error().message } });
        m_client.reset();
        m_roles.handleFailure(place, now);
        return;
    }
    if (m_roles.reader() == place && !(answer->state.readsStore && answer->state.isStoreReached))
        logEvent(log_level::info, "reader_left", { { "reader", model::toString(place) }, { "reads_store", answer->state.readsStore ? 1 : 0 }, { "store_reached", answer->state.isStoreReached ? 1 : 0 } });
    if (answer->state.holdsPolls)
        m_hooks.answered(*answer, place);
    else if (m_roles.isStoreLost())
        m_hooks.snapshotReceived(result->body, place);
    m_roles.handleAnswer(place, answer->state, std::chrono::steady_clock::now());
}

}
