#include "Libraries/zinnialedge/limits/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace zinnialedge::limits {

using kernel::duration;
using kernel::time_point;

/// With a few slots per leaf and a handful of daemons, queries beyond this limit would only fill the leafs' queues.
static constexpr std::uint32_t initialLimit = 8;
/// One daemon's part of the typical load. A lower limit would reject queries that slow leafs can still answer.
static constexpr std::uint32_t minimumLimit = 3;
static constexpr std::uint32_t maximumLimit = 256;
/// Minimum time between two decreases of the limit. Queries in flight together report one congestion, which counts once.
static constexpr std::chrono::milliseconds minimumDecreaseInterval { 60 };
static constexpr std::chrono::milliseconds initialTypicalDuration { 20 };
static constexpr int typicalDurationWeightDivisor = 16;
/// Time for which the queue counts as overloaded after a rejection: several query durations, so that a single rejection does
/// not toggle the overload state.
static constexpr std::chrono::milliseconds overloadHoldTime { 200 };

admission_queue::admission_queue()
    : m_limit(initialLimit, maximumLimit, minimumLimit)
    , m_shares(initialLimit)
    , m_typicalDuration(initialTypicalDuration)
{
}

void admission_queue::updateShares()
{
    m_shares.setCapacity(limit());
    m_shares.setSlotTime(m_typicalDuration);
}

bool admission_queue::isOverloaded(time_point now) const
{
    return now - m_lastRejectionAt < overloadHoldTime;
}

std::uint32_t admission_queue::limitAt(double capacityShare) const
{
    return std::max(1U, static_cast<std::uint32_t>(std::ceil(m_limit.value() * capacityShare)));
}

duration admission_queue::expectedQueueingDelay(std::size_t queriesAhead, std::uint32_t limit) const
{
    return m_typicalDuration * static_cast<std::int64_t>(queriesAhead + 1) / static_cast<std::int64_t>(limit);
}

admission_queue::verdict admission_queue::preview(std::uint32_t priority, time_point latestStart, double capacityShare, time_point now) const
{
    auto const limit = limitAt(capacityShare);
    auto const queriesAhead = m_waiting.countNotAfter(priority);
    if (inFlight() < limit && queriesAhead == 0)
        return verdict::admit;
    return now + expectedQueueingDelay(queriesAhead, limit) > latestStart ? verdict::reject : verdict::enqueue;
}

duration admission_queue::previewRetryAfter(time_point now, std::uint32_t priority, double capacityShare) const
{
    auto returnTimes = m_returnTimes;
    auto const limit = limitAt(capacityShare);
    return returnTimes.next(priority, expectedQueueingDelay(m_waiting.size(), limit), m_typicalDuration / static_cast<std::int64_t>(limit), now);
}

admission_queue::verdict admission_queue::arrive(std::uint64_t query, std::uint32_t priority, time_point latestStart, time_point now, slot_claim const& claim)
{
    updateShares();
    m_shares.recordActivity(claim.holder, claim.weight, now);
    if (inFlight() < limit() && m_waiting.wouldBeFirst(priority, latestStart, claim, now)) {
        m_shares.take(claim.holder, now);
        m_waiting.review(claim.holder, now);
        return verdict::admit;
    }
    if (now + expectedQueueingDelay(m_waiting.countAhead(priority, claim, now), limit()) > latestStart) {
        m_lastRejectionAt = now;
        return verdict::reject;
    }
    m_waiting.insert({ query, priority, latestStart, claim }, now);
    return verdict::enqueue;
}

void admission_queue::releaseSlot(std::string const& holder, time_point now)
{
    m_shares.release(holder);
    updateShares();
    m_waiting.review(holder, now);
}

void admission_queue::release(duration elapsed, bool isCongested, time_point now, std::string const& holder)
{
    bool const wasAtLimit = inFlight() >= limit();
    releaseSlot(holder, now);
    m_typicalDuration += (elapsed - m_typicalDuration) / typicalDurationWeightDivisor;
    if (!isCongested) {
        m_limit.recordSuccess(wasAtLimit);
        return;
    }
    if (now - m_lastDecreaseAt < minimumDecreaseInterval)
        return;
    m_lastDecreaseAt = now;
    // Fewer queries than the limit allows caused the congestion, so the limit decreases from the number in flight.
    while (m_limit.value() > inFlight() + 1 && m_limit.value() > minimumLimit)
        m_limit.recordShed();
    m_limit.recordShed();
}

void admission_queue::releaseAbandoned(time_point now, std::string const& holder)
{
    releaseSlot(holder, now);
}

std::optional<std::uint64_t> admission_queue::admitNext(time_point now)
{
    if (m_waiting.empty() || inFlight() >= limit())
        return std::nullopt;
    updateShares();
    auto const* const next = m_waiting.first(now);
    if (next->latestStart < now)
        return std::nullopt;
    auto const query = next->query;
    auto const holder = next->claim.holder;
    m_shares.take(holder, now);
    m_waiting.remove(query, now);
    m_waiting.review(holder, now);
    return query;
}

std::optional<std::uint64_t> admission_queue::removeExpired(time_point now)
{
    auto const* const expired = m_waiting.expired(now);
    if (!expired)
        return std::nullopt;
    m_lastRejectionAt = now;
    auto const query = expired->query;
    m_waiting.remove(query, now);
    return query;
}

duration admission_queue::nextRetryAfter(time_point now, std::uint32_t priority)
{
    return m_returnTimes.next(priority, expectedQueueingDelay(m_waiting.size(), limit()), m_typicalDuration / static_cast<std::int64_t>(limit()), now);
}

}
