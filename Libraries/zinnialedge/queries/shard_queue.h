#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/model/query.h"
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace zinnialedge::queries {

/// Queue entry for a shard of a query that waits for a leaf with free capacity.
struct shard_queue_entry {
    std::uint64_t queryId { 0 };
    std::uint32_t shardIndex { 0 };
    /// Pin of the query when the entry was added; the entry is stale once the query has another pin.
    model::snapshot pin;
    bool isHedge { false };
    bool isUrgent { false };
    kernel::time_point enqueuedAt;

    auto operator<=>(shard_queue_entry const&) const = default;
};

/// Interval at which queued entries are offered to the leafs again, in addition to each end of a call.
inline constexpr std::chrono::milliseconds queueReviewInterval { 5 };

/// Queue of the calls that wait for a leaf of one shard with free capacity: urgent calls before ordinary calls, ordinary calls with
/// ageing, hedges last.
class shard_queue {
public:
    void push(shard_queue_entry);
    /// Returns the first entry, in sending order, for which `isWanted` returns true, or null.
    shard_queue_entry const* findFirst(std::function<bool(shard_queue_entry const&)> const& isWanted) const;
    void remove(shard_queue_entry const&);
    /// Removes and returns the entry for one shard of a query, if any.
    std::optional<shard_queue_entry> remove(std::uint64_t queryId, std::uint32_t shardIndex);

    /// Returns all entries: urgent, ordinary, hedges; each class in order of arrival.
    std::vector<shard_queue_entry> entries() const;
    bool isEmpty() const { return size() == 0; }
    std::size_t size() const { return m_urgent.size() + m_ordinary.size() + m_hedges.size(); }
    bool hasPrimaryCalls() const { return !m_urgent.empty() || !m_ordinary.empty(); }
    /// Returns the number of entries that would be sent before a primary call that is enqueued now.
    std::size_t countCallsAhead(bool isUrgent, kernel::time_point now) const;

private:
    std::deque<shard_queue_entry> m_urgent;
    std::deque<shard_queue_entry> m_ordinary;
    std::deque<shard_queue_entry> m_hedges;
};

}
