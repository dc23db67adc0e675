#pragma once

#include "Kernel/clock.h"
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>

namespace zinnialedge::limits {

/// Divides slots among holders, which are partners or tenants. Each holder has a guaranteed share; slots that a holder does not use are
/// lent to others. Shares are either declared in percent, or follow from the weights of the holders that were active in the last
/// seconds. Does no I/O; the cost of each call is constant on average.
class guaranteed_shares {
public:
    explicit guaranteed_shares(std::uint32_t capacity);

    // Declared shares.
    /// Sets the guaranteed share of each holder in percent. A holder that is not listed has no guarantee. A part of the unused
    /// guarantees is not lent.
    void setShares(std::map<std::string, std::uint32_t> const& percentByHolder);
    [[nodiscard]] bool tryAdmit(std::string const& holder);

    // Shares of active holders.
    void setCapacity(std::uint32_t capacity) { m_capacity = capacity; }
    /// Sets the time for which a slot is typically taken. A holder that has taken more than its share of this time counts as above its
    /// share until the difference has passed.
    void setSlotTime(kernel::duration slotTime) { m_slotTime = slotTime; }
    /// Records that the holder wants a slot. Its share is its part of the weights of all active holders.
    void recordActivity(std::string const& holder, double weight, kernel::time_point now);
    /// Takes a slot, whether or not the holder is below its share.
    void take(std::string const& holder, kernel::time_point now);
    /// Returns the number of slots that the holder may take now before it has its share.
    std::uint32_t credit(std::string const& holder, kernel::time_point now) const;
    /// Returns the time from which the holder is below its share again if it neither takes nor releases slots.
    kernel::time_point nextCreditAt(std::string const& holder) const;

    void release(std::string const& holder);
    std::uint32_t inFlight() const { return m_totalInFlight; }
    std::uint32_t inFlightOf(std::string const& holder) const;
    std::uint32_t capacity() const { return m_capacity; }
    std::size_t activeCount() const { return m_activity.size(); }

private:
    struct account {
        std::uint32_t inFlight { 0 };
        /// Declared guarantee; zero for holders whose share follows from their activity.
        std::uint32_t declaredSlots { 0 };
        double weight { 0 };
        /// Time until which the slots that the holder has taken use up its share.
        kernel::time_point owesUntil;
        kernel::time_point activeAt;
        std::list<std::string>::iterator position;

        std::uint32_t unusedDeclaredSlots() const { return declaredSlots > inFlight ? declaredSlots - inFlight : 0; }
    };

    /// Returns the slots of an active holder's share, which may be less than one.
    double shareOf(account const&) const;
    void change(account&, std::int32_t inFlightChange);
    void removeInactive(kernel::time_point now);

    std::uint32_t m_capacity;
    std::uint32_t m_totalInFlight { 0 };
    std::uint32_t m_unusedDeclaredSlots { 0 };
    kernel::duration m_slotTime {};
    double m_activeWeight { 0 };
    std::unordered_map<std::string, account> m_accounts;
    /// Active holders, those that were active last at the end.
    std::list<std::string> m_activity;
};

}
