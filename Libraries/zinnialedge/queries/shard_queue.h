#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/model/query.h"
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace zinnialedge::queries {

/// Queue entry for a shard of a query that waits for a leaf with room.
struct waiting_shard {
    std::uint64_t query { 0 };
    std::uint32_t place { 0 };
    /// Pin of the query when the entry was added; the entry is stale once the query has another pin.
    model::snapshot pin;
    bool isHedge { false };
    bool isUrgent { false };
    kernel::time_point since;

    auto operator<=>(waiting_shard const&) const = default;
};

/// Interval at which queued entries are offered to the leafs again, in addition to each end of a call.
inline constexpr std::chrono::milliseconds waitingReviewInterval { 5 };

/// Queue of the calls that wait for a leaf of one shard with room: urgent calls before ordinary calls, ordinary calls with
/// ageing, hedges last.
class shard_queue {
public:
    void push(waiting_shard);
    /// Returns the first entry, in sending order, for which `isWanted` returns true, or null.
    waiting_shard const* findFirst(std::function<bool(waiting_shard const&)> const& isWanted) const;
    void remove(waiting_shard const&);
    /// Removes and returns the entry for one shard of a query, if any.
    std::optional<waiting_shard> remove(std::uint64_t query, std::uint32_t place);

    /// Returns all entries: urgent, ordinary, hedges; each class in order of arrival.
    std::vector<waiting_shard> entries() const;
    bool isEmpty() const { return size() == 0; }
    std::size_t size() const { return m_urgent.size() + m_ordinary.size() + m_hedges.size(); }
    bool hasPrimaries() const { return !m_urgent.empty() || !m_ordinary.empty(); }
    /// Returns the number of entries that would be sent before a primary call that is enqueued now.
    std::size_t countAhead(bool isUrgent, kernel::time_point now) const;

private:
    std::deque<waiting_shard> m_urgent;
    std::deque<waiting_shard> m_ordinary;
    std::deque<waiting_shard> m_hedges;
};

}
