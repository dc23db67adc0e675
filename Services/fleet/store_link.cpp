#include "Services/fleet/store_link.h"

#include "Kernel/event_log.h"
#include "Kernel/verify.h"
#include <boost/asio/io_context.hpp>

namespace zinnialedge::services::fleet {

using kernel::log_level;
using kernel::logEvent;
using zinnialedge::fleet::mirror_request;
using zinnialedge::fleet::object_kind;
using zinnialedge::fleet::store_position;

/// Time allowed for the reply to a watch beyond the watch's hold time.
static constexpr std::chrono::milliseconds watchReplyMargin { 800 };
/// Hold time of a watch after a failure: short, so that a recovered store is detected soon.
static constexpr std::chrono::milliseconds recoveryHoldTime { 200 };
/// The store answers a list within milliseconds, or within hundreds of milliseconds while the store is slow.
static constexpr std::chrono::milliseconds listTimeout { 2000 };
/// While the store is not reached. Together with the deferral of removals it stays below the platform's stable window.
static constexpr std::chrono::milliseconds recoveryListTimeout { 1400 };
/// Shorter than `listTimeout`: a daemon without a first list cannot serve callers and retries sooner.
static constexpr std::chrono::milliseconds firstListTimeout { 800 };
/// Time for the reply of a watch after a check has shown changes. The replies of the two connections may arrive in either order.
static constexpr std::chrono::milliseconds missedReplyGrace { 400 };

std::string_view objectKindName(object_kind kind)
{
    switch (kind) {
    case object_kind::routes:
        return "routes";
    case object_kind::leafs:
        return "leafs";
    case object_kind::daemons:
        return "daemons";
    case object_kind::evacuations:
        return "evacuations";
    }
    return "unknown";
}

store_link::store_link(boost::asio::io_context& context, model::endpoint store, object_kind kind, zinnialedge::fleet::store_protocol const& protocol, zinnialedge::fleet::store_budget& budget, zinnialedge::fleet::mirror_settings settings, std::chrono::milliseconds watchHoldTime, store_link_hooks hooks)
    : m_context(context)
    , m_kind(kind)
    , m_protocol(protocol)
    , m_budget(budget)
    , m_mirror(settings, kernel::makeRandom())
    , m_watchHoldTime(watchHoldTime)
    , m_hooks(std::move(hooks))
    , m_store(std::move(store))
    , m_client(std::make_unique<wire::http_client>(context, m_store))
    , m_timer(context)
    , m_missedReplyTimer(context)
{
}

void store_link::scheduleNextRequest(kernel::time_point end)
{
    m_timer.expires_at(end);
    m_timer.async_wait([this](boost::system::error_code failure) {
        if (!failure)
            processNextRequest();
    });
}

void store_link::processNextRequest()
{
    if (m_isSuspended)
        return;
    auto const now = std::chrono::steady_clock::now();
    if (m_mirror.performDeferredChanges(now)) {
        logEvent(log_level::info, "deferred_changes_made", { { "kind", objectKindName(m_kind) }, { "left", m_mirror.objects().size() } });
        m_hooks.changed();
    }
    if (m_isCallInFlight) {
        if (auto const end = m_mirror.deferredChangeTime())
            scheduleNextRequest(*end);
        return;
    }
    auto const request = m_mirror.nextRequest(now);
    if (!request)
        scheduleNextRequest(m_mirror.nextRequestTime());
    else if (m_budget.reads().take(now))
        sendRequest(*request);
    else
        scheduleNextRequest(m_budget.reads().nextAvailableAt(now));
}

void store_link::sendRequest(mirror_request const& request)
{
    m_isCallInFlight = true;
    m_isWatchInFlight = !request.isListing && m_mirror.isConnected();
    m_isCallStale = false;
    ++m_counters.callCount;
    auto const holdTime = m_mirror.isConnected() ? m_watchHoldTime : std::min(m_watchHoldTime, recoveryHoldTime);
    auto const message = request.isListing ? m_protocol.list(m_kind, request.after, request.isStaleAllowed) : m_protocol.watch(m_kind, request.revision, holdTime);
    auto timeout = holdTime + watchReplyMargin;
    if (request.isListing && !m_mirror.hasCompletedListing())
        timeout = firstListTimeout;
    else if (request.isListing)
        timeout = m_mirror.isConnected() ? listTimeout : recoveryListTimeout;
    m_client->connectAndSend(message, timeout, [this, request, number = ++m_callNumber](wire::http_result const& result) {
        if (number != m_callNumber)
            return;
        m_isCallInFlight = false;
        // The changes of the reply lead from a state that this daemon no longer has, so the call is repeated.
        if (!std::exchange(m_isCallStale, false) || !result || result->status != zinnialedge::fleet::statusOk)
            handleResult(request, result);
        processNextRequest();
    });
    if (auto const end = m_mirror.deferredChangeTime())
        scheduleNextRequest(*end);
}

void store_link::recordFailure(std::string const& reason)
{
    ++m_counters.failureCount;
    if (m_mirror.isConnected())
        logEvent(log_level::warn, "store_lost", { { "kind", objectKindName(m_kind) }, { "reason", reason }, { "as_of", m_mirror.asOf() } });
    m_mirror.handleFailure(std::chrono::steady_clock::now());
    m_hooks.failed();
    // A connection on which a reply was lost does not deliver further replies.
    m_client = std::make_unique<wire::http_client>(m_context, m_store);
}

void store_link::resume(bool isStoreLost)
{
    if (!std::exchange(m_isSuspended, false))
        return;
    m_mirror.resume(isStoreLost, std::chrono::steady_clock::now());
    processNextRequest();
}

void store_link::suspend()
{
    if (std::exchange(m_isSuspended, true))
        return;
    m_timer.cancel();
    dropCall();
    m_mirror.suspend();
}

bool store_link::replicate(std::map<std::string, zinnialedge::fleet::store_object> const& objects, std::vector<std::string> const& removed, bool isComplete, zinnialedge::fleet::store_position position, bool isSettled)
{
    VERIFY(m_isSuspended || !m_mirror.isConnected());
    bool const isTaken = m_mirror.replicate(objects, removed, isComplete, position, isSettled, std::chrono::steady_clock::now());
    m_isCallStale |= isTaken && m_isCallInFlight;
    return isTaken;
}

void store_link::reconnect()
{
    if (m_isSuspended)
        return;
    // Closing the client fails the call in flight, and the call is then repeated. When no call is in flight, the next call uses a new
    // connection.
    if (m_isCallInFlight)
        m_client->close();
    else
        m_client = std::make_unique<wire::http_client>(m_context, m_store);
}

void store_link::handleResult(mirror_request const& request, wire::http_result const& result)
{
    if (!result) {
        recordFailure(result.error().reason);
        return;
    }
    handleReply(request, *result);
    // The mirror compares the era of the reply with the era of its listing before the other links learn of the era.
    if (auto const era = m_protocol.parseEra(*result))
        m_hooks.eraSeen(*era);
}

void store_link::handleReply(mirror_request const& request, wire::http_response const& reply)
{
    auto const now = std::chrono::steady_clock::now();
    bool const wasConnected = m_mirror.isConnected();
    auto const generation = m_mirror.generation();
    auto const era = m_protocol.parseEra(reply);
    if (reply.status == zinnialedge::fleet::statusHistoryGone) {
        logEvent(log_level::info, "store_history_gone", { { "kind", objectKindName(m_kind) }, { "as_of", request.revision } });
        m_mirror.handleHistoryGone(era, now);
        return;
    }
    if (reply.status != zinnialedge::fleet::statusOk) {
        recordFailure("status " + std::to_string(reply.status));
        return;
    }
    if (request.isListing) {
        auto page = m_protocol.parsePage(reply.body);
        if (!page) {
            recordFailure(page.error().message);
            return;
        }
        page->era = era;
        logUnreadable(page->unreadableCount);
        m_mirror.handlePage(*page, now);
    } else {
        auto changes = m_protocol.parseChanges(reply.body);
        if (!changes) {
            recordFailure(changes.error().message);
            return;
        }
        changes->era = era;
        logUnreadable(changes->unreadableCount);
        m_mirror.handleChanges(*changes, now);
    }
    notifyIfChanged(wasConnected, generation);
}

void store_link::logUnreadable(std::size_t count) const
{
    if (count > 0)
        logEvent(log_level::info, "store_objects_unreadable", { { "kind", objectKindName(m_kind) }, { "objects", count } });
}

void store_link::notifyIfChanged(bool wasConnected, std::uint64_t generation)
{
    if (!wasConnected)
        logEvent(log_level::info, "store_reached", { { "kind", objectKindName(m_kind) }, { "as_of", m_mirror.asOf() }, { "objects", m_mirror.objects().size() } });
    if (!wasConnected || generation != m_mirror.generation())
        m_hooks.changed();
}

bool store_link::adopt(std::vector<zinnialedge::fleet::store_object> const& objects, zinnialedge::fleet::store_position position)
{
    return m_mirror.adopt(objects, position, std::chrono::steady_clock::now());
}

void store_link::enterEra(std::uint64_t era)
{
    if (!m_mirror.enterEra(era, std::chrono::steady_clock::now()) || m_isSuspended)
        return;
    dropCall();
    processNextRequest();
}

wire::http_request store_link::beginCheck()
{
    VERIFY(isWatching());
    m_checkedCallNumber = m_callNumber;
    m_positionAtCheck = m_mirror.position();
    return m_protocol.check(m_kind, m_positionAtCheck.revision);
}

std::optional<store_position> store_link::endCheck(wire::http_response const& reply)
{
    bool const isHistoryGone = reply.status == zinnialedge::fleet::statusHistoryGone;
    auto const changes = reply.status == zinnialedge::fleet::statusOk ? m_protocol.parseChanges(reply.body) : tl::unexpected(errors::error { errors::error_kind::internal, {}, {} });
    std::optional<store_position> shown;
    if (changes)
        shown = store_position { m_protocol.parseEra(reply).value_or(m_mirror.era()), changes->asOf };
    // The watch has been answered in the meantime, or its position belongs to another era.
    if (m_checkedCallNumber != m_callNumber || !isWatching() || m_positionAtCheck != m_mirror.position() || m_positionAtCheck.era != m_mirror.era())
        return shown;
    bool const showsChanges = isHistoryGone || (changes && changes->changes.size() + changes->unreadableCount > 0);
    if (showsChanges)
        awaitMissedReply();
    else if (shown && shown->era == m_positionAtCheck.era)
        m_checkedPosition = std::max(m_checkedPosition, *shown);
    return shown;
}

void store_link::awaitMissedReply()
{
    m_missedReplyTimer.expires_after(missedReplyGrace);
    m_missedReplyTimer.async_wait([this, number = m_callNumber](boost::system::error_code failure) {
        if (failure || number != m_callNumber || !isWatching())
            return;
        ++m_counters.lostReplyCount;
        logEvent(log_level::warn, "store_reply_lost", { { "kind", objectKindName(m_kind) }, { "as_of", m_mirror.asOf() } });
        // A connection on which a reply was lost does not deliver further replies.
        dropCall();
        processNextRequest();
    });
}

void store_link::dropCall()
{
    ++m_callNumber;
    m_client->close();
    m_client = std::make_unique<wire::http_client>(m_context, m_store);
    m_isCallInFlight = false;
}

}
