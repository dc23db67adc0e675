#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/limits/concurrency_limit.h"
#include <cstdint>
#include <list>
#include <optional>

namespace zinnialedge::limits {

/// Admission control for queries over many shards: an adaptive concurrency limit that follows the capacity of the leafs, and
/// a short priority queue. Queries that could not start in time are rejected at once with a retry-after. Performs no I/O.
class admission_queue {
public:
    enum class verdict {
        admit,
        enqueue,
        reject,
    };

    admission_queue();

    /// Admits, enqueues or rejects a query that must start by `latestStart` to meet its objective. Lower values of `priority` are
    /// more urgent.
    verdict arrive(std::uint64_t query, std::uint32_t priority, kernel::time_point latestStart, kernel::time_point now);
    /// Releases the slot of an admitted query that ended after `elapsed`. `isCongested` means that its leafs did not keep up.
    void release(kernel::duration elapsed, bool isCongested, kernel::time_point now);
    /// Releases the slot of an admitted query that ended early because nobody waits for it. Its duration says nothing about the
    /// leafs.
    void releaseAbandoned();
    /// Admits and returns the next queued query; empty when the limit is reached, when no query is queued, or when the first
    /// queued query can no longer start in time.
    std::optional<std::uint64_t> admitNext(kernel::time_point now);
    /// Removes and returns a queued query that can no longer start in time; empty when there is no such query.
    std::optional<std::uint64_t> removeExpired(kernel::time_point now);
    /// Removes a queued query whose caller has disconnected.
    void remove(std::uint64_t query);

    /// Sets the share of the leafs' capacity that is available, from 0 to 1. The limit is lowered by this share.
    void setCapacityShare(double share) { m_capacityShare = share; }

    /// Returns the retry-after for a query that is rejected now. Consecutive rejections get increasing times at the rate at
    /// which queries are served, so that rejected queries return in order and find free capacity.
    kernel::duration nextRetryAfter(kernel::time_point now);

    /// Returns true for a short time after a query was rejected.
    bool isOverloaded(kernel::time_point now) const;
    bool hasQueuedQueries() const { return !m_queue.empty(); }
    std::size_t inFlight() const { return m_inFlight; }
    std::size_t queuedCount() const { return m_queue.size(); }
    std::uint32_t limit() const;

private:
    struct entry {
        std::uint64_t query { 0 };
        std::uint32_t priority { 0 };
        kernel::time_point latestStart;
    };

    /// Returns the expected queueing delay of a query behind `queriesAhead` queued queries.
    kernel::duration expectedQueueingDelay(std::size_t queriesAhead) const;

    concurrency_limit m_limit;
    double m_capacityShare { 1 };
    std::size_t m_inFlight { 0 };
    std::list<entry> m_queue;
    kernel::duration m_typicalDuration;
    kernel::time_point m_lastDecreaseAt;
    kernel::time_point m_lastRejectionAt;
    kernel::time_point m_nextRetryAt;
};

}
