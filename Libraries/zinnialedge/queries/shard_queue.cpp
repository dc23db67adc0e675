#include "Libraries/zinnialedge/queries/shard_queue.h"

#include "Kernel/verify.h"
#include <algorithm>

namespace zinnialedge::queries {

/// An ordinary call goes before urgent ones that came this much later, so that it can't wait for ever.
static constexpr std::chrono::milliseconds urgentHeadStart { 50 };

void shard_queue::push(waiting_shard added)
{
    if (added.isHedge)
        m_hedges.push_back(added);
    else
        (added.isUrgent ? m_urgent : m_ordinary).push_back(added);
}

std::deque<waiting_shard> const* shard_queue::nextLine() const
{
    if (!hasPrimaries())
        return m_hedges.empty() ? nullptr : &m_hedges;
    if (m_urgent.empty())
        return &m_ordinary;
    if (m_ordinary.empty())
        return &m_urgent;
    bool const isOrdinaryDue = m_ordinary.front().since + urgentHeadStart < m_urgent.front().since;
    return isOrdinaryDue ? &m_ordinary : &m_urgent;
}

waiting_shard const* shard_queue::next() const
{
    auto const* line = nextLine();
    return line ? &line->front() : nullptr;
}

void shard_queue::popNext()
{
    auto const* line = nextLine();
    VERIFY(line);
    for (auto* each : { &m_urgent, &m_ordinary, &m_hedges }) {
        if (each == line)
            each->pop_front();
    }
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
