#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/model/query.h"
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace zinnialedge::queries {

/// Ticket of a request that is not repeatable: identifies the only daemon process that may run the request, and the expiry of
/// that permission.
struct ticket {
    std::string daemon;
    std::uint64_t incarnation { 0 };
    /// Expiry on the monotonic clock of the issuing process.
    kernel::time_point expiresAt;
    std::string suffix;

    bool operator==(ticket const&) const = default;
};

/// Returns the parts of a ticket, or nothing when the text is not a valid ticket.
std::optional<ticket> parseTicket(std::string_view text);

/// State of a ticket that this process issued.
enum class ticket_state {
    unused,
    running,
    settled,
    /// The ticket was used for a request with other contents.
    request_mismatch,
    /// The ticket has expired, and it is no longer known whether its request ran.
    evicted,
};

enum class ticket_claim {
    /// The ticket is claimed: the caller of claim() must run the request, and then settle or release the ticket.
    granted,
    /// The ticket is past its expiry and its request never ran, or the expiry is invalid.
    expired,
    table_full,
};

/// Returns a hash of the request fields that determine what is run. A ticket is bound to this hash.
std::uint64_t computeFingerprint(model::query_request const&);

/// Table of the used tickets that this process issued, with their outcomes. An unexpired ticket is never evicted. An expired
/// ticket is evicted after the retention time, or earlier when the table is full.
class ticket_table {
public:
    ticket_table(std::string daemon, std::uint64_t incarnation, std::size_t capacity);

    /// Returns a new ticket prefix for the directory to give to callers, who add a unique suffix for each request.
    std::string issuePrefix(kernel::time_point now) const;
    bool isIssuedByThisProcess(ticket const&) const;
    ticket_state lookUp(model::query_request const&, ticket const&, kernel::time_point now);
    /// Claims a ticket for a request. The ticket must be unused.
    ticket_claim claim(model::query_request const&, ticket const&, kernel::time_point now);
    /// Records the outcome of a request. An answer replaces an error such as `outcome_unknown`, but is never replaced itself.
    void settle(std::string const& ticketText, model::answer_or_error outcome);
    /// Removes the ticket of a request that was not run, so that the ticket may be used again.
    void release(std::string const& ticketText);
    model::answer_or_error const& outcomeOf(std::string const& ticketText) const;
    std::size_t size() const { return m_entries.size(); }

private:
    using tickets_by_expiry = std::multimap<kernel::time_point, std::string>;

    struct entry {
        std::uint64_t fingerprint { 0 };
        /// Outcome of the request; empty while the request runs.
        std::optional<model::answer_or_error> outcome;
        tickets_by_expiry::iterator expiry;
    };

    void evictExpired(kernel::time_point now);

    std::string m_daemon;
    std::uint64_t m_incarnation;
    std::size_t m_capacity;
    std::unordered_map<std::string, entry> m_entries;
    tickets_by_expiry m_ticketsByExpiry;
    /// Latest expiry of all evicted tickets.
    kernel::time_point m_latestEvictedExpiry;
};

/// Time for which a ticket prefix may be used.
inline constexpr std::chrono::seconds ticketValidity { 30 };
/// Time for which an outcome is retained after the expiry of its ticket while the table has room; longer than any request may run.
inline constexpr std::chrono::seconds ticketRetention { 90 };

}
