#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/model/query.h"
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace zinnialedge::queries {

/// A ticket names the only daemon process that may run a request, and until when.
struct ticket {
    std::string daemon;
    std::uint64_t incarnation { 0 };
    /// On the issuer's monotonic clock.
    kernel::time_point expiresAt;
    std::string suffix;

    bool operator==(ticket const&) const = default;
};

/// The parts of a ticket, or nothing when the text is none.
std::optional<ticket> parseTicket(std::string_view text);

/// What is known of a ticket of this process.
enum class ticket_state {
    unused,
    running,
    settled,
    /// The ticket was used for a request with other contents.
    other_request,
    /// It has expired, and whether it ran is no longer known.
    forgotten,
};

enum class ticket_claim {
    /// The caller of claim() now runs it.
    granted,
    /// It has expired and never ran.
    expired,
    memory_full,
};

/// What of a request a ticket is bound to: everything that changes what is run.
std::uint64_t fingerprintOf(model::query_request const&);

/// The outcomes of the tickets that this process issued. An unexpired one is never forgotten; an expired one is kept for
/// a while longer, or until its room is needed.
class ticket_book {
public:
    ticket_book(std::string daemon, std::uint64_t incarnation, std::size_t capacity);

    /// What the directory hands to callers; they add a suffix of their own to each request.
    std::string issuePrefix(kernel::time_point now) const;
    bool isOwn(ticket const&) const;
    ticket_state lookUp(model::query_request const&, ticket const&, kernel::time_point now);
    /// Only of an unused ticket.
    ticket_claim claim(model::query_request const&, ticket const&, kernel::time_point now);
    /// Keeps the outcome. A definite one replaces `outcome_unknown`, never the other way round.
    void settle(std::string const& text, model::answer_or_error outcome);
    /// The request was not run: the ticket may be used again.
    void release(std::string const& text);
    model::answer_or_error const& outcomeOf(std::string const& text) const;
    std::size_t size() const { return m_entries.size(); }

private:
    using expiry_queue = std::multimap<kernel::time_point, std::string>;

    struct entry {
        std::uint64_t fingerprint { 0 };
        /// Nothing while it runs.
        std::optional<model::answer_or_error> outcome;
        expiry_queue::iterator expiry;
    };

    void forgetExpired(kernel::time_point now);

    std::string m_daemon;
    std::uint64_t m_incarnation;
    std::size_t m_capacity;
    std::unordered_map<std::string, entry> m_entries;
    expiry_queue m_expiries;
    /// The latest expiry of any ticket that was forgotten.
    kernel::time_point m_forgottenUntil;
};

/// How long a ticket prefix may be used.
inline constexpr std::chrono::seconds ticketValidity { 30 };
/// How long after its expiry an outcome is kept when there is room; longer than any request may run.
inline constexpr std::chrono::seconds ticketRetention { 90 };

}
