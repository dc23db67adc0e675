#pragma once

#include "Kernel/clock.h"
#include <cstdint>
#include <deque>
#include <optional>

namespace zinnialedge::queries {

/// A shard of a query that waits for room at a leaf.
struct waiting_shard {
    std::uint64_t query { 0 };
    std::uint32_t place { 0 };
    bool isHedge { false };
    bool isUrgent { false };
    kernel::time_point since;
};

/// The calls that wait for room at the leafs of one shard: urgent ones first, with ageing of the others, hedges last.
class shard_queue {
public:
    void push(waiting_shard);
    /// The one to be sent next.
    waiting_shard const* next() const;
    void popNext();
    /// Takes out what a query waits for at that place. Returns it when it was there.
    std::optional<waiting_shard> remove(std::uint64_t query, std::uint32_t place);

    bool isEmpty() const { return size() == 0; }
    std::size_t size() const { return m_urgent.size() + m_ordinary.size() + m_hedges.size(); }
    bool hasPrimaries() const { return !m_urgent.empty() || !m_ordinary.empty(); }
    /// How many would be sent before a primary call that came now.
    std::size_t countAhead(bool isUrgent, kernel::time_point now) const;

private:
    std::deque<waiting_shard> const* nextLine() const;

    std::deque<waiting_shard> m_urgent;
    std::deque<waiting_shard> m_ordinary;
    std::deque<waiting_shard> m_hedges;
};

}
