#include "Libraries/zinnialedge/queries/ticket_book.h"

#include "Kernel/verify.h"
#include <boost/algorithm/string/split.hpp>
#include <charconv>

namespace zinnialedge::queries {

static constexpr char separator = '~';
static constexpr std::size_t ticketParts = 4;
static constexpr std::size_t maximumTicketLength = 256;

template <typename Number>
static std::optional<Number> parseNumber(std::string_view text)
{
    Number value = 0;
    auto const result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc {} || result.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<ticket> parseTicket(std::string_view text)
{
    if (text.size() > maximumTicketLength)
        return std::nullopt;
    std::vector<std::string> parts;
    boost::algorithm::split(parts, text, [](char letter) { return letter == separator; });
    if (parts.size() != ticketParts || parts[0].empty() || parts[3].empty())
        return std::nullopt;
    auto const incarnation = parseNumber<std::uint64_t>(parts[1]);
    auto const expiry = parseNumber<std::int64_t>(parts[2]);
    if (!incarnation || !expiry)
        return std::nullopt;
    return ticket { parts[0], *incarnation, kernel::time_point { std::chrono::milliseconds { *expiry } }, parts[3] };
}

ticket_book::ticket_book(std::string daemon, std::uint64_t incarnation, std::size_t capacity)
    : m_daemon(std::move(daemon))
    , m_incarnation(incarnation)
    , m_capacity(capacity)
{
}

std::string ticket_book::issuePrefix(kernel::time_point now) const
{
    auto const expiry = std::chrono::duration_cast<std::chrono::milliseconds>((now + ticketValidity).time_since_epoch());
    return m_daemon + separator + std::to_string(m_incarnation) + separator + std::to_string(expiry.count());
}

bool ticket_book::isOwn(ticket const& checked) const
{
    return checked.daemon == m_daemon && checked.incarnation == m_incarnation;
}

ticket_claim ticket_book::claim(std::string const& text, ticket const& claimed, kernel::time_point now)
{
    VERIFY(isOwn(claimed));
    // An expiry further away than any that was issued is forged or mistaken; keeping it would fill the memory.
    if (claimed.expiresAt <= now || claimed.expiresAt > now + ticketValidity)
        return ticket_claim::expired;
    forgetExpired(now);
    auto const found = m_outcomes.find(text);
    if (found != m_outcomes.end())
        return found->second ? ticket_claim::settled : ticket_claim::running;
    if (m_outcomes.size() >= m_capacity)
        return ticket_claim::memory_full;
    m_outcomes.emplace(text, std::nullopt);
    m_expiries.emplace(claimed.expiresAt, text);
    return ticket_claim::granted;
}

void ticket_book::settle(std::string const& text, model::answer_or_error outcome)
{
    auto const found = m_outcomes.find(text);
    if (found == m_outcomes.end())
        return;
    auto& kept = found->second;
    bool const isDefinite = kept && kept->has_value();
    if (!isDefinite)
        kept = std::move(outcome);
}

void ticket_book::release(std::string const& text)
{
    m_outcomes.erase(text);
}

model::answer_or_error const& ticket_book::outcomeOf(std::string const& text) const
{
    auto const found = m_outcomes.find(text);
    VERIFY(found != m_outcomes.end() && found->second);
    return *found->second;
}

void ticket_book::forgetExpired(kernel::time_point now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        m_outcomes.erase(m_expiries.begin()->second);
        m_expiries.erase(m_expiries.begin());
    }
}

}
