#include "Services/targets/leaf_pool.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <utility>

namespace zinnialedge::services::targets {

static constexpr std::chrono::milliseconds connectTimeout { 1000 };
static constexpr std::chrono::milliseconds probeTimeout { 500 };
static constexpr std::chrono::milliseconds cancelTimeout { 200 };
/// Time after the deadline during which a reply is still read. A late reply makes its connection available again, and for a
/// non-repeatable request settles the ticket.
static constexpr std::chrono::milliseconds repeatableGrace { 1000 };
static constexpr std::chrono::milliseconds notRepeatableGrace { 10'000 };
static constexpr unsigned mostRefreshesToSkip { 8 };
/// Number of refreshes without a rejected connection after which the pool tries to open an additional connection.
static constexpr unsigned refreshesPerGrowth { 10 };
static constexpr int statusOk = 200;

leaf_pool::leaf_pool(boost::asio::io_context& context, routing::leaf_handle handle, model::endpoint place, std::string callPrefix, leaf_pool_hooks hooks)
    : m_context(context)
    , m_handle(handle)
    , m_place(std::move(place))
    , m_callPrefix(std::move(callPrefix))
    , m_hooks(std::move(hooks))
{
}

void leaf_pool::resize(std::size_t connections)
{
    if (connections != m_wanted)
        m_allowed = connections;
    m_wanted = connections;
    while (!m_idle.empty() && openCount() > m_wanted)
        m_idle.pop_back();
    if (m_wanted == 0)
        failWaiting("this daemon no longer calls the leaf");
    openMissing();
}

void leaf_pool::openMissing()
{
    while (openCount() + m_opening < allowedCount())
        openOne();
}

void leaf_pool::openOne()
{
    ++m_opening;
    auto const opened = std::make_shared<wire::http_client>(m_context, m_place);
    opened->connect(connectTimeout, [self = shared_from_this(), opened](bool isConnected) {
        --self->m_opening;
        if (isConnected) {
            self->probe(opened, true);
            return;
        }
        ++self->m_failedConnects;
        self->noteFailure();
    });
}

void leaf_pool::noteFailure()
{
    if (!isDead()) {
        // Queued calls can still be sent over the remaining connections.
        m_hooks.statusSeen({ m_handle, std::nullopt, std::max<std::uint32_t>(1, reportedCount()) });
        return;
    }
    ++m_failuresInARow;
    m_hooks.statusSeen({ m_handle, std::nullopt, 0 });
    failWaiting("no open connection to the leaf");
}

void leaf_pool::failWaiting(std::string const& reason)
{
    for (auto const& call : std::exchange(m_waiting, {}))
        reportUnsent(call.call, reason);
}

void leaf_pool::shrink()
{
    // Each daemon of the group keeps its open connections, so the group as a whole stays within the leaf's connection cap.
    m_allowed = std::max<std::size_t>(1, openCount());
    m_refreshesSinceRefusal = 0;
}

void leaf_pool::growBack()
{
    if (m_allowed >= m_wanted || ++m_refreshesSinceRefusal < refreshesPerGrowth)
        return;
    m_refreshesSinceRefusal = 0;
    ++m_allowed;
}

void leaf_pool::probe(client const& probed, bool isNew)
{
    ++m_probing;
    probed->send({ "GET", "/status", {}, {} }, probeTimeout, [self = shared_from_this(), probed, isNew](wire::http_result const& result) { self->handleProbe(probed, isNew, result); });
}

void leaf_pool::handleProbe(client const& probed, bool isNew, wire::http_result const& result)
{
    --m_probing;
    auto const status = result && result->status == statusOk ? wire::parseLeafStatus(result->body) : std::nullopt;
    if (!status) {
        // A leaf at its connection cap accepts a new connection and closes the connection immediately.
        if (isNew)
            shrink();
        noteFailure();
        return;
    }
    m_failuresInARow = 0;
    giveBack(probed);
    m_hooks.statusSeen({ m_handle, status, std::max<std::uint32_t>(1, reportedCount()) });
}

void leaf_pool::giveBack(client const& returned)
{
    if (!returned->isOpen() || openCount() >= m_wanted)
        return;
    m_idle.push_back(returned);
    startWaiting();
}

leaf_pool::client leaf_pool::takeIdle()
{
    while (!m_idle.empty()) {
        auto const taken = m_idle.back();
        m_idle.pop_back();
        if (taken->isUsable())
            return taken;
    }
    return nullptr;
}

void leaf_pool::startWaiting()
{
    while (!m_waiting.empty()) {
        if (isTooLate(m_waiting.front())) {
            m_waiting.pop_front();
            continue;
        }
        auto const idle = takeIdle();
        if (!idle)
            return;
        auto const call = m_waiting.front();
        m_waiting.pop_front();
        transmit(idle, call);
    }
}

void leaf_pool::send(queries::send_leaf_call const& call)
{
    if (auto const idle = takeIdle()) {
        if (!isTooLate(call))
            transmit(idle, call);
        else
            giveBack(idle);
        return;
    }
    openMissing();
    // Calls are not queued while the pool tries to reconnect to a leaf that was dead.
    if (isDead() || (openCount() == 0 && m_failuresInARow > 0)) {
        reportUnsent(call.call, "no open connection to the leaf");
        return;
    }
    m_waiting.push_back(call);
}

bool leaf_pool::isTooLate(queries::send_leaf_call const& call)
{
    if (m_hooks.clock() < call.deadline)
        return false;
    reportUnsent(call.call, "the deadline passed before the call was sent");
    return true;
}

void leaf_pool::reportUnsent(queries::call_id call, std::string reason)
{
    queries::leaf_outcome outcome;
    outcome.mayHaveBeenSent = false;
    outcome.reason = std::move(reason);
    m_hooks.callEnded({ call, std::move(outcome) });
}

void leaf_pool::transmit(client const& carrier, queries::send_leaf_call const& call)
{
    auto const remaining = std::chrono::duration_cast<std::chrono::microseconds>(call.deadline - m_hooks.clock());
    wire::leaf_call const message {
        .call = m_callPrefix + std::to_string(call.call),
        .requestKind = call.request->requestKind,
        .key = call.request->key,
        .body = call.request->body,
        .ticket = call.request->ticket,
        .shard = call.shard,
        .pin = call.pin,
        .deadline = remaining,
        .isUrgent = call.isUrgent,
    };
    m_busy.emplace(call.call, carrier);
    auto const timeout = std::chrono::ceil<std::chrono::milliseconds>(remaining) + (call.isRepeatable ? repeatableGrace : notRepeatableGrace);
    carrier->send(wire::formatLeafCall(message), timeout, [self = shared_from_this(), carrier, id = call.call](wire::http_result const& result) { self->handleReply(carrier, id, result); });
}

void leaf_pool::handleReply(client const& carrier, queries::call_id call, wire::http_result const& result)
{
    m_busy.erase(call);
    queries::leaf_outcome outcome;
    if (result) {
        outcome = wire::parseLeafReply(*result, m_callPrefix + std::to_string(call));
    } else {
        outcome.mayHaveBeenSent = result.error().mayHaveBeenSent;
        outcome.reason = result.error().reason;
    }
    m_hasHeardStatus = m_hasHeardStatus || outcome.status;
    m_hooks.callEnded({ call, std::move(outcome) });
    giveBack(carrier);
}

void leaf_pool::cancel(queries::call_id call)
{
    auto const waiting = std::find_if(m_waiting.begin(), m_waiting.end(), [&](auto const& each) { return each.call == call; });
    if (waiting != m_waiting.end()) {
        m_waiting.erase(waiting);
        reportUnsent(call, "the call was cancelled before it was sent");
        return;
    }
    if (!m_busy.contains(call))
        return;
    auto const idle = takeIdle();
    if (!idle)
        return;
    ++m_probing;
    wire::http_request const request { "POST", "/cancel?call=" + m_callPrefix + std::to_string(call), {}, {} };
    idle->send(request, cancelTimeout, [self = shared_from_this(), idle](wire::http_result const&) {
        --self->m_probing;
        self->giveBack(idle);
    });
}

void leaf_pool::refresh()
{
    if (m_refreshesToSkip > 0) {
        --m_refreshesToSkip;
        return;
    }
    // Refreshes of an unresponsive leaf back off.
    m_refreshesToSkip = std::min(m_failuresInARow, mostRefreshesToSkip);
    std::erase_if(m_idle, [](client const& each) { return !each->isUsable(); });
    growBack();
    openMissing();
    // Every reply carries the leaf's status, so a leaf that has replied since the last refresh needs no status request.
    if (std::exchange(m_hasHeardStatus, false))
        return;
    if (auto const idle = takeIdle())
        probe(idle, false);
}

}
