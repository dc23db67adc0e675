#include "Libraries/zinnialedge/limits/waiting_line.h"

#include <algorithm>

namespace zinnialedge::limits {

using kernel::time_point;

static void decrement(std::map<std::uint32_t, std::size_t>& counts, std::uint32_t priority)
{
    auto const found = counts.find(priority);
    if (--found->second == 0)
        counts.erase(found);
}

std::size_t waiting_line::countUpTo(std::map<std::uint32_t, std::size_t> const& counts, std::uint32_t priority)
{
    // There are as many counts as priorities in use, which are a few.
    std::size_t count = 0;
    for (auto each = counts.begin(); each != counts.end() && each->first <= priority; ++each)
        count += each->second;
    return count;
}

void waiting_line::unlist(line& listed)
{
    if (listed.listedAs)
        (listed.isBelowShare ? m_below : m_above).erase(*listed.listedAs);
    listed.listedAs.reset();
    m_reviews.erase({ listed.reviewAt, &listed });
}

void waiting_line::list(line& changed, time_point now)
{
    unlist(changed);
    if (changed.queries.empty()) {
        if (&changed != &m_earlyReturns)
            m_lines.erase(std::string { changed.holder });
        return;
    }
    changed.isBelowShare = &changed != &m_earlyReturns && m_shares.credit(changed.holder, now) > 0;
    changed.listedAs = changed.queries.begin()->first;
    (changed.isBelowShare ? m_below : m_above).emplace(*changed.listedAs, &changed);
    if (changed.isBelowShare || &changed == &m_earlyReturns)
        return;
    changed.reviewAt = m_shares.nextCreditAt(changed.holder);
    if (changed.reviewAt != time_point::max())
        m_reviews.emplace(changed.reviewAt, &changed);
}

void waiting_line::insert(waiting_query added, time_point now)
{
    auto const arrival = ++m_lastArrival;
    auto& target = added.claim.isEarlyReturn ? m_earlyReturns : m_lines[added.claim.holder];
    target.holder = added.claim.holder;
    target.queries.emplace(rankOf(added, arrival), added.query);
    ++target.countByPriority[added.priority];
    ++m_countByPriority[added.priority];
    m_byLatestStart.emplace(added.latestStart, added.query);
    auto const query = added.query;
    m_queries.emplace(query, std::pair { std::move(added), arrival });
    list(target, now);
}

void waiting_line::remove(std::uint64_t query, time_point now)
{
    auto const found = m_queries.find(query);
    if (found == m_queries.end())
        return;
    auto const& [removed, arrival] = found->second;
    auto& source = removed.claim.isEarlyReturn ? m_earlyReturns : m_lines.at(removed.claim.holder);
    source.queries.erase(rankOf(removed, arrival));
    decrement(source.countByPriority, removed.priority);
    decrement(m_countByPriority, removed.priority);
    m_byLatestStart.erase({ removed.latestStart, query });
    m_queries.erase(found);
    list(source, now);
}

void waiting_line::review(std::string const& holder, time_point now)
{
    auto const found = m_lines.find(holder);
    if (found != m_lines.end())
        list(found->second, now);
}

void waiting_line::reviewDue(time_point now)
{
    while (!m_reviews.empty() && m_reviews.begin()->first <= now)
        list(*m_reviews.begin()->second, now);
}

waiting_line::line_order::value_type const* waiting_line::front(time_point now)
{
    reviewDue(now);
    while (!m_below.empty()) {
        auto const& next = *m_below.begin();
        if (m_shares.credit(next.second->holder, now) > 0)
            return &next;
        list(*next.second, now);
    }
    return m_above.empty() ? nullptr : &*m_above.begin();
}

waiting_query const* waiting_line::first(time_point now)
{
    auto const* const next = front(now);
    return next ? &m_queries.at(next->second->queries.begin()->second).first : nullptr;
}

waiting_query const* waiting_line::expired(time_point now) const
{
    if (m_byLatestStart.empty() || m_byLatestStart.begin()->first >= now)
        return nullptr;
    return &m_queries.at(m_byLatestStart.begin()->second).first;
}

bool waiting_line::wouldBeFirst(std::uint32_t priority, time_point latestStart, slot_claim const& claim, time_point now)
{
    auto const* const next = front(now);
    if (!next)
        return true;
    bool const isBelowShare = !claim.isEarlyReturn && m_shares.credit(claim.holder, now) > 0;
    if (isBelowShare != next->second->isBelowShare)
        return isBelowShare;
    return rank { priority, claim.isEarlyReturn, latestStart, lastArrival } < next->first;
}

std::size_t waiting_line::countAhead(std::uint32_t priority, slot_claim const& claim, time_point now)
{
    reviewDue(now);
    auto const found = m_lines.find(claim.holder);
    auto const ownAhead = found == m_lines.end() ? 0 : countUpTo(found->second.countByPriority, priority);
    auto const othersBelow = m_below.size() - (found != m_lines.end() && found->second.isBelowShare ? 1 : 0);
    // The other holders below their shares get a slot each before this one gets its next.
    if (!claim.isEarlyReturn && ownAhead < m_shares.credit(claim.holder, now))
        return ownAhead + othersBelow;
    auto const notAfter = countUpTo(m_countByPriority, priority);
    // Less urgent queries of holders below their shares come first, too.
    return std::min(m_queries.size(), notAfter + othersBelow);
}

}
