#pragma once

#include "Libraries/zinnialedge/limits/guaranteed_shares.h"
#include <optional>
#include <set>
#include <tuple>

namespace zinnialedge::limits {

/// Who asks for a slot.
struct slot_claim {
    /// Tenant, or empty for all queries without one.
    std::string holder {};
    double weight { 1 };
    /// True for a query that returns before the time that its rejection named.
    bool isEarlyReturn { false };
};

struct waiting_query {
    std::uint64_t query { 0 };
    /// Lower values are more urgent.
    std::uint32_t priority { 0 };
    kernel::time_point latestStart;
    slot_claim claim;
};

/// Queries that wait for a slot. The first one is the most urgent query of a holder below its share, or, if there is none, the most
/// urgent of all. Equally urgent queries are ordered by the time left; those that returned too early come after the others and have
/// no part in the share of their holder. Each call costs logarithmic time in the number of queries. Does no I/O.
class waiting_line {
public:
    explicit waiting_line(guaranteed_shares& shares)
        : m_shares(shares)
    {
    }

    void insert(waiting_query, kernel::time_point now);
    /// Returns the first query, or null.
    waiting_query const* first(kernel::time_point now);
    /// Returns a query whose latest start has passed, or null.
    waiting_query const* expired(kernel::time_point now) const;
    void remove(std::uint64_t query, kernel::time_point now);
    /// Takes that the holder has taken or released a slot.
    void review(std::string const& holder, kernel::time_point now);

    /// Returns the approximate number of queries that get a slot before the given one would.
    std::size_t countAhead(std::uint32_t priority, slot_claim const&, kernel::time_point now);
    /// Returns the number of queries that are as urgent or more urgent.
    std::size_t countNotAfter(std::uint32_t priority) const { return countUpTo(m_countByPriority, priority); }
    /// Returns whether the query would come before all that wait.
    bool wouldBeFirst(std::uint32_t priority, kernel::time_point latestStart, slot_claim const&, kernel::time_point now);
    bool empty() const { return m_queries.empty(); }
    std::size_t size() const { return m_queries.size(); }

private:
    /// Priority, whether the query returned early, latest start, and order of arrival.
    using rank = std::tuple<std::uint32_t, bool, kernel::time_point, std::uint64_t>;

    struct line {
        std::string holder;
        std::map<rank, std::uint64_t> queries;
        std::map<std::uint32_t, std::size_t> countByPriority;
        /// Rank under which the line is in `m_below` or `m_above`.
        std::optional<rank> listedAs;
        bool isBelowShare { false };
        kernel::time_point reviewAt;
    };
    using line_order = std::map<rank, line*>;

    static constexpr std::uint64_t lastArrival = ~std::uint64_t { 0 };

    static std::size_t countUpTo(std::map<std::uint32_t, std::size_t> const&, std::uint32_t priority);
    static rank rankOf(waiting_query const& of, std::uint64_t arrival) { return { of.priority, of.claim.isEarlyReturn, of.latestStart, arrival }; }
    void unlist(line&);
    void list(line&, kernel::time_point now);
    void reviewDue(kernel::time_point now);
    line_order::value_type const* front(kernel::time_point now);

    guaranteed_shares& m_shares;
    std::uint64_t m_lastArrival { 0 };
    std::unordered_map<std::uint64_t, std::pair<waiting_query, std::uint64_t>> m_queries;
    std::unordered_map<std::string, line> m_lines;
    line m_earlyReturns;
    line_order m_below;
    line_order m_above;
    std::set<std::pair<kernel::time_point, line*>> m_reviews;
    std::set<std::pair<kernel::time_point, std::uint64_t>> m_byLatestStart;
    std::map<std::uint32_t, std::size_t> m_countByPriority;
};

}
