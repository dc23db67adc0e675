// Sending calls to leafs: first calls, copies of slow ones, and calls that wait for a connection.

#include "Libraries/zinnialedge/forwarding/request_engine.h"

#include <algorithm>

namespace zinnialedge::forwarding {

using kernel::time_point;

/// A copy goes out when a call takes this many times as long as nearly all do.
static constexpr double copyFactor = 1.5;
static constexpr double earliestCopyShare = 0.06;
static constexpr double latestCopyShare = 0.4;
/// How many parts may wait for a connection to one service.
static constexpr std::size_t waitingLimit = 64;
/// Weight of one extra call in the share that is denied.
static constexpr double deniedWeight = 0.03;
/// A call is given up this long after its caller, so that a reply that is on its way still frees its connection.
static constexpr std::chrono::milliseconds callGrace { 300 };

kernel::duration request_engine::copyDelayOf(route const& to)
{
    auto const usual = std::chrono::duration<double> { historyOf(to).callTime.value() } * copyFactor;
    auto const objective = std::chrono::duration<double> { to.objective };
    return std::chrono::duration_cast<kernel::duration>(std::clamp(usual, objective * earliestCopyShare, objective * latestCopyShare));
}

bool request_engine::takeExtraCall(active_request& request, std::size_t place, time_point now)
{
    bool const isTaken = historyOf(*request.parts[place].service).budget.take(now, m_share.slackHolders);
    request.denied += isTaken ? 0 : 1;
    m_counters.extraCallsDenied += isTaken ? 0 : 1;
    m_deniedShare += deniedWeight * ((isTaken ? 0 : 1) - m_deniedShare);
    return isTaken;
}

void request_engine::startPart(active_request& request, std::size_t place, time_point now)
{
    auto const pick = m_leafs.pick(*request.parts[place].service, request.parts[place].asked, copyDelayOf(*request.to), now);
    if (pick)
        send(request, place, pick->leaf, now);
    else
        wait(request, place);
}

void request_engine::send(active_request& request, std::size_t place, leaf_handle handle, time_point now)
{
    auto& part = request.parts[place];
    auto& record = m_leafs.at(handle);
    auto const number = ++m_lastCall;
    part.asked.push_back(handle);
    part.calls.push_back({ number, handle, now });
    ++part.unaccountedCalls;
    record.noteSent(now);
    m_calls[number] = { request.token, place, handle, now };
    ++m_counters.calls;
    auto const givenUpAt = request.endAt + callGrace;
    m_timers.push({ givenUpAt, timer_kind::call_given_up, number });
    m_hooks.send({ number, handle, record.registration().id, record.registration().place, request.callerDeadline, givenUpAt, request.to->isRepeatable, request.request, std::nullopt });
}

void request_engine::wait(active_request& request, std::size_t place)
{
    auto& waiting = historyOf(*request.parts[place].service).waiting;
    if (waiting.size() >= waitingLimit) {
        request.parts[place].isMissing = true;
        ++request.missing;
        return;
    }
    request.parts[place].isWaiting = true;
    auto const priority = request.to->priority;
    auto const before = std::find_if(waiting.begin(), waiting.end(), [&](auto const& each) { return each.priority > priority; });
    waiting.insert(before, { request.token, place, priority });
}

void request_engine::dispatchWaiting(std::string const& service, time_point now)
{
    auto& waiting = historyOf(service).waiting;
    while (!waiting.empty()) {
        auto const next = waiting.front();
        auto* const request = find(next.request);
        if (!request || request->hasCallerLeft || !request->parts[next.place].isWaiting) {
            waiting.pop_front();
            continue;
        }
        auto& part = request->parts[next.place];
        auto const pick = m_leafs.pick(service, part.asked, copyDelayOf(*request->to), now);
        if (!pick && m_leafs.hasLeaf(service, part.asked))
            return;
        waiting.pop_front();
        part.isWaiting = false;
        if (pick)
            send(*request, next.place, pick->leaf, now);
        else
            miss(*request, next.place, now);
    }
}

void request_engine::dispatchAllWaiting(time_point now)
{
    // A part that is given up may settle its request, so the services are collected first.
    std::vector<std::string> services;
    services.reserve(m_serviceHistories.size());
    for (auto const& [service, history] : m_serviceHistories) {
        if (!history.waiting.empty())
            services.push_back(service);
    }
    for (auto const& service : services)
        dispatchWaiting(service, now);
}

void request_engine::sendCopies(active_request& request, time_point now)
{
    if (request.hasCallerLeft || now >= request.endAt)
        return;
    auto const delay = copyDelayOf(*request.to);
    // Behind full queues a copy is one more call that waits, and makes other requests wait for longer.
    bool const isOverloaded = request.to->isGather() && admissionOf(*request.to).queue.isOverloaded(now);
    std::optional<time_point> next;
    for (std::size_t place = 0; place < request.parts.size(); ++place) {
        auto& part = request.parts[place];
        if (part.isSettled() || part.hasCopy || part.calls.size() != 1 || part.attemptsMade() >= request.to->attempts)
            continue;
        auto dueAt = part.calls.front().sentAt + delay;
        if (dueAt <= now) {
            if (!isOverloaded && sendCopy(request, place, now))
                continue;
            dueAt = now + delay;
        }
        next = next ? std::min(*next, dueAt) : dueAt;
    }
    if (next && *next < request.endAt)
        m_timers.push({ *next, timer_kind::copy, request.token });
}

bool request_engine::sendCopy(active_request& request, std::size_t place, time_point now)
{
    auto& part = request.parts[place];
    auto const pick = m_leafs.pick(*part.service, part.asked, copyDelayOf(*request.to), now);
    if (!pick || pick->isSuspect)
        return false;
    return sendCopyTo(request, place, pick->leaf, now);
}

bool request_engine::sendCopyTo(active_request& request, std::size_t place, leaf_handle leaf, time_point now)
{
    auto& part = request.parts[place];
    if (!takeExtraCall(request, place, now))
        return false;
    part.hasCopy = true;
    ++m_counters.copies;
    ++request.copies;
    send(request, place, leaf, now);
    return true;
}

}
