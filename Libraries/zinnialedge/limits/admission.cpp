#include "Libraries/zinnialedge/limits/admission.h"

#include "Kernel/verify.h"
#include <algorithm>

namespace zinnialedge::limits {

/// Percentage of each unused guarantee that is not lent, so that a returning partner finds free capacity at once.
static constexpr std::uint32_t reservePercent = 25;

partner_admission::partner_admission(std::uint32_t capacity)
    : m_capacity(capacity)
{
}

void partner_admission::setShares(std::map<std::string, std::uint32_t> percentByPartner)
{
    m_percentByPartner = std::move(percentByPartner);
}

std::uint32_t partner_admission::guaranteedSlotsOf(std::string const& partner) const
{
    auto const found = m_percentByPartner.find(partner);
    return found == m_percentByPartner.end() ? 0 : m_capacity * found->second / 100;
}

std::uint32_t partner_admission::unusedGuaranteedSlotsOfOthers(std::string const& partner) const
{
    std::uint32_t unused = 0;
    for (auto const& [other, percent] : m_percentByPartner) {
        if (other == partner)
            continue;
        auto const guarantee = m_capacity * percent / 100;
        unused += guarantee - std::min(guarantee, inFlightOf(other));
    }
    return unused;
}

std::uint32_t partner_admission::inFlightOf(std::string const& partner) const
{
    auto const found = m_inFlightByPartner.find(partner);
    return found == m_inFlightByPartner.end() ? 0 : found->second;
}

bool partner_admission::tryAdmit(std::string const& partner)
{
    bool const isWithinGuarantee = inFlightOf(partner) < guaranteedSlotsOf(partner);
    auto const reserved = unusedGuaranteedSlotsOfOthers(partner) * reservePercent / 100;
    bool const canBorrow = m_totalInFlight + reserved < m_capacity;
    if (!isWithinGuarantee && !canBorrow)
        return false;
    ++m_inFlightByPartner[partner];
    ++m_totalInFlight;
    return true;
}

void partner_admission::release(std::string const& partner)
{
    auto const found = m_inFlightByPartner.find(partner);
    VERIFY(found != m_inFlightByPartner.end() && found->second > 0);
    --found->second;
    --m_totalInFlight;
}

}
