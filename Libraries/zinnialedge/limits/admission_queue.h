#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/limits/concurrency_limit.h"
#include <cstdint>
#include <list>
#include <optional>

namespace zinnialedge::limits {

/// Admits queries over many shards as far as their leafs carry them: an adaptive concurrency limit and a short queue by
/// priority. What could not start in time is refused at once, with the time at which there will be room. No I/O.
class admission_queue {
public:
    enum class verdict {
        enter,
        wait,
        refuse,
    };

    admission_queue();

    /// A query that has to start by that time to be answered in time. Lower priorities are more urgent.
    verdict arrive(std::uint64_t query, std::uint32_t priority, kernel::time_point startBy, kernel::time_point now);
    /// A query that entered has ended after that time; congested when its leafs did not keep up.
    void leave(kernel::duration taken, bool isCongested, kernel::time_point now);
    /// The next query that may enter now; nothing when the limit is reached or none waits.
    std::optional<std::uint64_t> next(kernel::time_point now);
    /// A query that waits and can't start in time any more; it is out of the queue.
    std::optional<std::uint64_t> takeExpired(kernel::time_point now);
    /// Its caller has left.
    void remove(std::uint64_t query);

    /// When a query that is refused now should come back. Those that are refused one after the other get times one after
    /// the other, at the rate at which queries are served, so that they return in their order and find room.
    kernel::duration retryAfter(kernel::time_point now);

    /// Queries were refused a moment ago.
    bool isOverloaded(kernel::time_point now) const;
    bool isWaiting() const { return !m_queue.empty(); }
    std::size_t inFlight() const { return m_inFlight; }
    std::uint32_t limit() const { return m_limit.value(); }

private:
    struct entry {
        std::uint64_t query { 0 };
        std::uint32_t priority { 0 };
        kernel::time_point startBy;
    };

    /// Until the query behind so many others enters.
    kernel::duration waitBehind(std::size_t others) const;

    concurrency_limit m_limit;
    std::size_t m_inFlight { 0 };
    std::list<entry> m_queue;
    kernel::duration m_usualTime;
    kernel::time_point m_loweredAt;
    kernel::time_point m_overloadedAt;
    kernel::time_point m_nextReturn;
};

}
