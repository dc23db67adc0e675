#include "Libraries/zinnialedge/queries/shard_queue.h"

#include "Kernel/verify.h"
#include <algorithm>

namespace zinnialedge::queries {

/// Ordinary calls are sent before urgent calls that were enqueued more than this much later, which prevents starvation.
static constexpr std::chrono::milliseconds ordinaryAgeingDelay { 50 };

void shard_queue::push(shard_queue_entry added)
{
    if (added.isHedge)
        m_hedges.push_back(added);
    else
        (added.isUrgent ? m_urgent : m_ordinary).push_back(added);
}

shard_queue_entry const* shard_queue::findFirst(std::function<bool(shard_queue_entry const&)> const& isWanted) const
{
    auto urgent = m_urgent.begin();
    auto ordinary = m_ordinary.begin();
    while (urgent != m_urgent.end() || ordinary != m_ordinary.end()) {
        bool const isOrdinaryDue = urgent == m_urgent.end() || (ordinary != m_ordinary.end() && ordinary->enqueuedAt + ordinaryAgeingDelay < urgent->enqueuedAt);
        auto& next = isOrdinaryDue ? ordinary : urgent;
        if (isWanted(*next))
            return &*next;
        ++next;
    }
    auto const hedge = std::find_if(m_hedges.begin(), m_hedges.end(), isWanted);
    return hedge == m_hedges.end() ? nullptr : &*hedge;
}

void shard_queue::remove(shard_queue_entry const& removed)
{
    auto& queue = removed.isHedge ? m_hedges : removed.isUrgent ? m_urgent
                                                                : m_ordinary;
    auto const found = std::find(queue.begin(), queue.end(), removed);
    VERIFY(found != queue.end());
    queue.erase(found);
}

std::optional<shard_queue_entry> shard_queue::remove(std::uint64_t queryId, std::uint32_t shardIndex)
{
    for (auto* queue : { &m_urgent, &m_ordinary, &m_hedges }) {
        auto const found = std::find_if(queue->begin(), queue->end(), [&](auto const& each) { return each.queryId == queryId && each.shardIndex == shardIndex; });
        if (found == queue->end())
            continue;
        auto const removed = *found;
        queue->erase(found);
        return removed;
    }
    return std::nullopt;
}

std::vector<shard_queue_entry> shard_queue::entries() const
{
    std::vector<shard_queue_entry> all;
    for (auto const* queue : { &m_urgent, &m_ordinary, &m_hedges })
        all.insert(all.end(), queue->begin(), queue->end());
    return all;
}

std::size_t shard_queue::countCallsAhead(bool isUrgent, kernel::time_point now) const
{
    if (!isUrgent)
        return m_urgent.size() + m_ordinary.size();
    auto const aged = std::count_if(m_ordinary.begin(), m_ordinary.end(), [&](auto const& each) { return each.enqueuedAt + ordinaryAgeingDelay < now; });
    return m_urgent.size() + static_cast<std::size_t>(aged);
}

}
