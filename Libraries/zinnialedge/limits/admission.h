#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace zinnialedge::limits {

/// Divides the capacity for queries in flight among the partners. Each partner has a guaranteed share; unused guarantees are
/// lent to other partners, except for a reserve.
class partner_admission {
public:
    explicit partner_admission(std::uint32_t capacity);

    /// Sets the guaranteed share of each partner in percent. A partner that is not listed has no guarantee.
    void setShares(std::map<std::string, std::uint32_t> percentByPartner);
    [[nodiscard]] bool tryAdmit(std::string const& partner);
    void release(std::string const& partner);
    std::uint32_t inFlight() const { return m_totalInFlight; }
    std::uint32_t inFlightOf(std::string const& partner) const;
    std::uint32_t capacity() const { return m_capacity; }

private:
    std::uint32_t guaranteedSlotsOf(std::string const& partner) const;
    std::uint32_t unusedGuaranteedSlotsOfOthers(std::string const& partner) const;

    std::uint32_t m_capacity;
    std::uint32_t m_totalInFlight { 0 };
    std::map<std::string, std::uint32_t> m_percentByPartner;
    std::map<std::string, std::uint32_t> m_inFlightByPartner;
};

}
