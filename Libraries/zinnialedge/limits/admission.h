#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace zinnialedge::limits {

/// Shares the room for queries in flight among the partners. Each has a guaranteed share; what one does not use is lent.
class admission {
public:
    explicit admission(std::uint32_t capacity);

    /// The guaranteed shares in percent. A partner that is not named has none.
    void setShares(std::map<std::string, std::uint32_t> percentOfPartner);
    [[nodiscard]] bool tryEnter(std::string const& partner);
    void leave(std::string const& partner);
    std::uint32_t inFlight() const { return m_total; }
    std::uint32_t inFlightOf(std::string const& partner) const;
    std::uint32_t capacity() const { return m_capacity; }

private:
    std::uint32_t guaranteeOf(std::string const& partner) const;
    std::uint32_t unusedGuaranteesOfOthers(std::string const& partner) const;

    std::uint32_t m_capacity;
    std::uint32_t m_total { 0 };
    std::map<std::string, std::uint32_t> m_percent;
    std::map<std::string, std::uint32_t> m_inFlight;
};

}
