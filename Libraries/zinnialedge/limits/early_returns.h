#pragma once

#include "Kernel/clock.h"
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <string_view>
#include <unordered_map>

namespace zinnialedge::limits {

/// Recognizes queries that return before the time that their rejections named. Rejected queries of one tenant and route with the same
/// contents are counted together: each of them may return once from its time on, and a query that comes while all of these times are
/// in the future is one of them that returns early. Memory is bounded. Does no I/O.
class early_returns {
public:
    /// Sets a secret number, so that callers cannot make up queries that count as those of others. May be called while no query is
    /// expected.
    void setSeed(std::uint64_t seed) { m_seed = seed; }
    /// Returns a number for the tenant, the route and the contents of a query.
    std::uint64_t fingerprint(std::initializer_list<std::string_view> fields) const;
    void recordRejection(std::uint64_t fingerprint, kernel::time_point returnAt, kernel::time_point now);
    /// Returns whether a query that arrives now returns too early, and takes it off the count.
    bool takeReturn(std::uint64_t fingerprint, kernel::time_point now);
    /// Returns whether no query is expected.
    bool empty() const { return m_expected.empty(); }
    std::size_t size() const { return m_order.size(); }

private:
    struct expected_return {
        kernel::time_point rejectedAt;
        kernel::time_point returnAt;
    };

    void removeOld(kernel::time_point now);

    std::uint64_t m_seed { 0 };
    /// Expected returns by fingerprint, in the order of the rejections.
    std::unordered_map<std::uint64_t, std::deque<expected_return>> m_expected;
    /// Times of rejection with fingerprints, oldest first.
    std::deque<std::pair<kernel::time_point, std::uint64_t>> m_order;
};

}
