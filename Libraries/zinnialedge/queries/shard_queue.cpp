#include "Libraries/zinnialedge/queries/shard_queue.h"

#include "Kernel/verify.h"
#include <algorithm>

namespace zinnialedge::queries {

/// Ordinary calls are sent before urgent calls that were enqueued more than this much later, which prevents starvation.
static constexpr std::chrono::milliseconds urgentHeadStart { 50 };

void shard_queue::push(waiting_shard added)
{
    if (added.isHedge)
        m_hedges.push_back(added);
    else
        (added.isUrgent ? m_urgent : m_ordinary).push_back(added);
}

waiting_shard const* shard_queue::findFirst(std::function<bool(waiting_shard const&)> const& isWanted) const
{
    auto urgent = m_urgent.begin();
    auto ordinary = m_ordinary.begin();
    while (urgent != m_urgent.end() || ordinary != m_ordinary.end()) {
        bool const isOrdinaryDue = urgent == m_urgent.end() || (ordinary != m_ordinary.end() && ordinary->since + urgentHeadStart < urgent->since);
        auto& next = isOrdinaryDue ? ordinary : urgent;
        if (isWanted(*next))
            return &*next;
        ++next;
    }
    auto const hedge = std::find_if(m_hedges.begin(), m_hedges.end(), isWanted);
    return hedge == m_hedges.end() ? nullptr : &*hedge;
}

void shard_queue::remove(waiting_shard const& removed)
{
    auto& line = removed.isHedge ? m_hedges : removed.isUrgent ? m_urgent
                                                               : m_ordinary;
    auto const found = std::find(line.begin(), line.end(), removed);
    VERIFY(found != line.end());
    line.erase(found);
}

std::optional<waiting_shard> shard_queue::remove(std::uint64_t query, std::uint32_t place)
{
    for (auto* line : { &m_urgent, &m_ordinary, &m_hedges }) {
        auto const found = std::find_if(line->begin(), line->end(), [&](auto const& each) { return each.query == query && each.place == place; });
        if (found == line->end())
            continue;
        auto const removed = *found;
        line->erase(found);
        return removed;
    }
    return std::nullopt;
}

std::vector<waiting_shard> shard_queue::entries() const
{
    std::vector<waiting_shard> all;
    for (auto const* line : { &m_urgent, &m_ordinary, &m_hedges })
        all.insert(all.end(), line->begin(), line->end());
    return all;
}

std::size_t shard_queue::countAhead(bool isUrgent, kernel::time_point now) const
{
    if (!isUrgent)
        return m_urgent.size() + m_ordinary.size();
    auto const aged = std::count_if(m_ordinary.begin(), m_ordinary.end(), [&](auto const& each) { return each.since + urgentHeadStart < now; });
    return m_urgent.size() + static_cast<std::size_t>(aged);
}

}
