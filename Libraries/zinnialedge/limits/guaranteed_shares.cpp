#include "Libraries/zinnialedge/limits/guaranteed_shares.h"

#include "Kernel/verify.h"
#include <algorithm>
#include <cmath>

namespace zinnialedge::limits {

using kernel::duration;
using kernel::time_point;

/// Percentage of each unused declared guarantee that is not lent, so that a returning holder finds free capacity at once.
static constexpr std::uint32_t reservePercent = 25;
/// Time after its last request for which a holder counts as active. Small tenants send a request every few seconds.
static constexpr std::chrono::seconds activeTime { 5 };
/// Time for which an unused share is kept, and for which slots above the share are held against a holder. It evens out short bursts,
/// and a holder that floods has its share back one second after the flood.
static constexpr std::chrono::seconds accountingWindow { 1 };

guaranteed_shares::guaranteed_shares(std::uint32_t capacity)
    : m_capacity(capacity)
{
}

void guaranteed_shares::setShares(std::map<std::string, std::uint32_t> const& percentByHolder)
{
    for (auto& [name, each] : m_accounts)
        each.declaredSlots = 0;
    for (auto const& [name, percent] : percentByHolder)
        m_accounts[name].declaredSlots = m_capacity * percent / 100;
    m_unusedDeclaredSlots = 0;
    for (auto const& [name, each] : m_accounts)
        m_unusedDeclaredSlots += each.unusedDeclaredSlots();
}

bool guaranteed_shares::tryAdmit(std::string const& holder)
{
    auto& taker = m_accounts[holder];
    auto const reserved = (m_unusedDeclaredSlots - taker.unusedDeclaredSlots()) * reservePercent / 100;
    bool const canBorrow = m_totalInFlight + reserved < m_capacity;
    if (taker.unusedDeclaredSlots() == 0 && !canBorrow)
        return false;
    change(taker, 1);
    return true;
}

void guaranteed_shares::change(account& changed, std::int32_t inFlightChange)
{
    m_unusedDeclaredSlots -= changed.unusedDeclaredSlots();
    changed.inFlight += static_cast<std::uint32_t>(inFlightChange);
    m_totalInFlight += static_cast<std::uint32_t>(inFlightChange);
    m_unusedDeclaredSlots += changed.unusedDeclaredSlots();
}

void guaranteed_shares::recordActivity(std::string const& holder, double weight, time_point now)
{
    removeInactive(now);
    auto& active = m_accounts[holder];
    if (active.activeAt == time_point {}) {
        active.position = m_activity.insert(m_activity.end(), holder);
        // A holder that returns has its share at once, and no more than that.
        active.owesUntil = now;
    } else {
        m_activity.splice(m_activity.end(), m_activity, active.position);
    }
    m_activeWeight += weight - active.weight;
    active.weight = weight;
    active.activeAt = now;
}

void guaranteed_shares::removeInactive(time_point now)
{
    while (!m_activity.empty()) {
        auto const found = m_accounts.find(m_activity.front());
        if (now - found->second.activeAt <= activeTime)
            return;
        if (found->second.inFlight > 0) {
            found->second.activeAt = now;
            m_activity.splice(m_activity.end(), m_activity, found->second.position);
            continue;
        }
        m_activeWeight -= found->second.weight;
        m_activity.pop_front();
        m_accounts.erase(found);
    }
    // Sums of many changes leave a rounding error behind.
    m_activeWeight = 0;
}

double guaranteed_shares::shareOf(account const& holder) const
{
    return m_activeWeight > 0 ? m_capacity * holder.weight / m_activeWeight : 0;
}

void guaranteed_shares::take(std::string const& holder, time_point now)
{
    auto& taker = m_accounts[holder];
    change(taker, 1);
    auto const share = shareOf(taker);
    if (share <= 0)
        return;
    auto const cost = std::min<duration>(accountingWindow, std::chrono::duration_cast<duration>(m_slotTime / share));
    taker.owesUntil = std::min<time_point>(std::max<time_point>(taker.owesUntil, now - accountingWindow) + cost, now + accountingWindow);
}

/// Returns the number of slots that a holder below its share may have at once. A share of less than one slot is one slot for a part of
/// the time; another one is for a query that comes while the previous one runs, as a few percent of those of small tenants do.
static std::uint32_t slotsOf(double share)
{
    return static_cast<std::uint32_t>(std::ceil(share)) + 1;
}

std::uint32_t guaranteed_shares::credit(std::string const& holder, time_point now) const
{
    auto const found = m_accounts.find(holder);
    if (found == m_accounts.end() || now < found->second.owesUntil)
        return 0;
    auto const share = shareOf(found->second);
    auto const slots = slotsOf(share);
    if (found->second.inFlight >= slots)
        return 0;
    auto const unusedSlotTimes = m_slotTime > duration::zero() ? share * static_cast<double>((now - found->second.owesUntil).count()) / static_cast<double>(m_slotTime.count()) : slots;
    return static_cast<std::uint32_t>(std::min<double>(slots - found->second.inFlight, 1 + unusedSlotTimes));
}

time_point guaranteed_shares::nextCreditAt(std::string const& holder) const
{
    auto const found = m_accounts.find(holder);
    if (found == m_accounts.end() || found->second.inFlight >= slotsOf(shareOf(found->second)))
        return time_point::max();
    return found->second.owesUntil;
}

std::uint32_t guaranteed_shares::inFlightOf(std::string const& holder) const
{
    auto const found = m_accounts.find(holder);
    return found == m_accounts.end() ? 0 : found->second.inFlight;
}

void guaranteed_shares::release(std::string const& holder)
{
    auto const found = m_accounts.find(holder);
    VERIFY(found != m_accounts.end() && found->second.inFlight > 0);
    change(found->second, -1);
}

}
