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

enum class ticket_claim {
    /// Never seen before: the caller of claim() now runs it.
    granted,
    running,
    settled,
    expired,
    memory_full,
};

/// The outcomes of the tickets that this process issued. An unexpired one is never forgotten.
class ticket_book {
public:
    ticket_book(std::string daemon, std::uint64_t incarnation, std::size_t capacity);

    /// What the directory hands to callers; they add a suffix of their own to each request.
    std::string issuePrefix(kernel::time_point now) const;
    bool isOwn(ticket const&) const;
    ticket_claim claim(std::string const& text, ticket const&, kernel::time_point now);
    /// Keeps the outcome. A definite one replaces `outcome_unknown`, never the other way round.
    void settle(std::string const& text, model::answer_or_error outcome);
    /// The request was not run: the ticket may be used again.
    void release(std::string const& text);
    model::answer_or_error const& outcomeOf(std::string const& text) const;
    std::size_t size() const { return m_outcomes.size(); }

private:
    void forgetExpired(kernel::time_point now);

    std::string m_daemon;
    std::uint64_t m_incarnation;
    std::size_t m_capacity;
    std::unordered_map<std::string, std::optional<model::answer_or_error>> m_outcomes;
    std::multimap<kernel::time_point, std::string> m_expiries;
};

/// How long a ticket prefix may be used.
inline constexpr std::chrono::seconds ticketValidity { 30 };

}
