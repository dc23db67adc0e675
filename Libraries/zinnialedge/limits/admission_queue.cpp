#include "Libraries/zinnialedge/limits/admission_queue.h"

#include "Kernel/verify.h"
#include <algorithm>

namespace zinnialedge::limits {

using kernel::duration;
using kernel::time_point;

/// With a few slots a leaf and a handful of daemons, more would stand in the leafs' queues.
static constexpr std::uint32_t initialLimit = 8;
/// A daemon's part of the usual load; fewer would refuse queries that slow leafs still answer.
static constexpr std::uint32_t smallestLimit = 3;
static constexpr std::uint32_t largestLimit = 256;
/// All queries that were in flight at the same moment tell of the same congestion; it counts once.
static constexpr std::chrono::milliseconds lowerInterval { 60 };
static constexpr std::chrono::milliseconds firstUsualTime { 20 };
static constexpr int usualWeightDivisor = 16;
/// Several times a query's duration, so that a single refusal does not switch the overload on and off.
static constexpr std::chrono::milliseconds overloadMemory { 200 };
/// Callers' deadlines on the users' sheets are of seconds at most, and they use a third of the time left.
static constexpr std::chrono::milliseconds longestRetryAfter { 2000 };
static constexpr std::chrono::milliseconds shortestRetryAfter { 20 };

admission_queue::admission_queue()
    : m_limit(initialLimit, largestLimit, smallestLimit)
    , m_usualTime(firstUsualTime)
{
}

bool admission_queue::isOverloaded(time_point now) const
{
    return now - m_overloadedAt < overloadMemory;
}

duration admission_queue::waitBehind(std::size_t others) const
{
    return m_usualTime * static_cast<std::int64_t>(others + 1) / static_cast<std::int64_t>(m_limit.value());
}

admission_queue::verdict admission_queue::arrive(std::uint64_t query, std::uint32_t priority, time_point startBy, time_point now)
{
    auto const place = std::find_if(m_queue.begin(), m_queue.end(), [&](auto const& each) { return each.priority > priority; });
    if (place == m_queue.begin() && m_inFlight < m_limit.value()) {
        ++m_inFlight;
        return verdict::enter;
    }
    auto const before = static_cast<std::size_t>(std::distance(m_queue.begin(), place));
    if (now + waitBehind(before) > startBy) {
        m_overloadedAt = now;
        return verdict::refuse;
    }
    m_queue.insert(place, { query, priority, startBy });
    return verdict::wait;
}

void admission_queue::leave(duration taken, bool isCongested, time_point now)
{
    VERIFY(m_inFlight > 0);
    bool const wasAtLimit = m_inFlight >= m_limit.value();
    --m_inFlight;
    m_usualTime += (taken - m_usualTime) / usualWeightDivisor;
    if (!isCongested) {
        m_limit.noteSuccess(wasAtLimit);
        return;
    }
    if (now - m_loweredAt < lowerInterval)
        return;
    m_loweredAt = now;
    // Fewer queries than the limit allows were too many, so that it falls from what was in flight.
    while (m_limit.value() > m_inFlight + 1 && m_limit.value() > smallestLimit)
        m_limit.noteShed();
    m_limit.noteShed();
}

std::optional<std::uint64_t> admission_queue::next(time_point now)
{
    if (m_queue.empty() || m_inFlight >= m_limit.value() || m_queue.front().startBy < now)
        return std::nullopt;
    auto const query = m_queue.front().query;
    m_queue.pop_front();
    ++m_inFlight;
    return query;
}

std::optional<std::uint64_t> admission_queue::takeExpired(time_point now)
{
    auto const expired = std::find_if(m_queue.begin(), m_queue.end(), [&](auto const& each) { return each.startBy < now; });
    if (expired == m_queue.end())
        return std::nullopt;
    m_overloadedAt = now;
    auto const query = expired->query;
    m_queue.erase(expired);
    return query;
}

void admission_queue::remove(std::uint64_t query)
{
    m_queue.remove_if([&](auto const& each) { return each.query == query; });
}

duration admission_queue::retryAfter(time_point now)
{
    auto const drained = now + std::max<duration>(waitBehind(m_queue.size()), shortestRetryAfter);
    m_nextReturn = std::max(drained, m_nextReturn + m_usualTime / static_cast<std::int64_t>(m_limit.value()));
    m_nextReturn = std::min<time_point>(m_nextReturn, now + longestRetryAfter);
    return m_nextReturn - now;
}

}
