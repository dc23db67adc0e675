#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/model/query.h"
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace zinnialedge::queries {

/// A shard of a query that waits for room at a leaf.
struct waiting_shard {
    std::uint64_t query { 0 };
    std::uint32_t place { 0 };
    /// The entry is stale once the query has another pin.
    model::snapshot pin;
    bool isHedge { false };
    bool isUrgent { false };
    kernel::time_point since;

    auto operator<=>(waiting_shard const&) const = default;
};

/// How often what waits is compared with the leafs anew, besides each time that a call ends.
inline constexpr std::chrono::milliseconds waitingReviewInterval { 5 };

/// The calls that wait for room at the leafs of one shard: urgent ones first, with ageing of the others, hedges last.
class shard_queue {
public:
    void push(waiting_shard);
    /// The first for which `isWanted` holds, in the order in which they are to be sent.
    waiting_shard const* findFirst(std::function<bool(waiting_shard const&)> const& isWanted) const;
    void remove(waiting_shard const&);
    /// Takes out what a query waits for at that place. Returns it when it was there.
    std::optional<waiting_shard> remove(std::uint64_t query, std::uint32_t place);

    /// All of them, those that are alike in the order of their arrival.
    std::vector<waiting_shard> entries() const;
    bool isEmpty() const { return size() == 0; }
    std::size_t size() const { return m_urgent.size() + m_ordinary.size() + m_hedges.size(); }
    bool hasPrimaries() const { return !m_urgent.empty() || !m_ordinary.empty(); }
    /// How many would be sent before a primary call that came now.
    std::size_t countAhead(bool isUrgent, kernel::time_point now) const;

private:
    std::deque<waiting_shard> m_urgent;
    std::deque<waiting_shard> m_ordinary;
    std::deque<waiting_shard> m_hedges;
};

}
