#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/limits/concurrency_limit.h"
#include "Libraries/zinnialedge/limits/return_times.h"
#include "Libraries/zinnialedge/limits/waiting_line.h"
#include <cstdint>
#include <optional>

namespace zinnialedge::limits {

/// Admission control for queries over many shards: an adaptive concurrency limit that follows the capacity of the leafs, and
/// a short queue ordered by the shares of the tenants, priority and time left. Queries that could not start in time are rejected at
/// once with a retry-after. Performs no I/O.
class admission_queue {
public:
    enum class verdict {
        admit,
        enqueue,
        reject,
    };

    admission_queue();
    admission_queue(admission_queue const&) = delete;
    admission_queue& operator=(admission_queue const&) = delete;

    /// Admits, enqueues or rejects a query that must start by `latestStart` to meet its objective. Lower values of `priority` are
    /// more urgent. A query whose holder is below its share of the limit comes before those of others.
    verdict arrive(std::uint64_t query, std::uint32_t priority, kernel::time_point latestStart, kernel::time_point now, slot_claim const& = {});
    /// Returns what arrive() would decide when all queries are within the shares of their holders. Changes nothing.
    verdict preview(std::uint32_t priority, kernel::time_point latestStart, double capacityShare, kernel::time_point now) const;
    /// Returns what nextRetryAfter() would return. Changes nothing.
    kernel::duration previewRetryAfter(kernel::time_point now, std::uint32_t priority, double capacityShare) const;
    /// Releases the slot of an admitted query that ended after `elapsed`. `isCongested` means that its leafs did not keep up.
    void release(kernel::duration elapsed, bool isCongested, kernel::time_point now, std::string const& holder = {});
    /// Releases the slot of an admitted query that ended early because nobody waits for it. Its duration says nothing about the
    /// leafs.
    void releaseAbandoned(kernel::time_point now, std::string const& holder = {});
    /// Admits and returns the next queued query; empty when the limit is reached, when no query is queued, or when the first
    /// queued query can no longer start in time.
    std::optional<std::uint64_t> admitNext(kernel::time_point now);
    /// Removes and returns a queued query that can no longer start in time; empty when there is no such query.
    std::optional<std::uint64_t> removeExpired(kernel::time_point now);
    /// Removes a queued query whose caller has disconnected.
    void remove(std::uint64_t query, kernel::time_point now) { m_waiting.remove(query, now); }

    /// Sets the share of the leafs' capacity that is available, from 0 to 1. The limit is lowered by this share.
    void setCapacityShare(double share) { m_capacityShare = share; }

    /// Returns the retry-after for a query that is rejected now. Consecutive rejections of a priority class get increasing times at the
    /// rate at which queries are served, so that rejected queries return in order and find free capacity. More urgent classes get
    /// earlier times.
    kernel::duration nextRetryAfter(kernel::time_point now, std::uint32_t priority = 0);

    /// Returns true for a short time after a query was rejected.
    bool isOverloaded(kernel::time_point now) const;
    bool hasQueuedQueries() const { return !m_waiting.empty(); }
    std::size_t inFlight() const { return m_shares.inFlight(); }
    std::size_t queuedCount() const { return m_waiting.size(); }
    std::uint32_t limit() const { return limitAt(m_capacityShare); }
    /// Returns the limit when this share of the leafs' capacity is available.
    std::uint32_t limitAt(double capacityShare) const;

private:
    /// Returns the expected queueing delay of a query behind `queriesAhead` queued queries.
    kernel::duration expectedQueueingDelay(std::size_t queriesAhead, std::uint32_t limit) const;
    /// Adapts the shares to the limit.
    void updateShares();
    void releaseSlot(std::string const& holder, kernel::time_point now);

    concurrency_limit m_limit;
    double m_capacityShare { 1 };
    guaranteed_shares m_shares;
    waiting_line m_waiting { m_shares };
    return_times m_returnTimes;
    kernel::duration m_typicalDuration;
    kernel::time_point m_lastDecreaseAt;
    kernel::time_point m_lastRejectionAt;
};

}
