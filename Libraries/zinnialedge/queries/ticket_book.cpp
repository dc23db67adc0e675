#include "Libraries/zinnialedge/queries/ticket_book.h"

#include "Kernel/verify.h"
#include <boost/algorithm/string/split.hpp>
#include <charconv>
#include <xxhash.h>

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

std::uint64_t fingerprintOf(model::query_request const& request)
{
    std::string text;
    for (auto const* part : { &request.service, &request.requestKind, &request.key, &request.body })
        text += std::to_string(part->size()) + separator + *part;
    return XXH3_64bits(text.data(), text.size());
}

ticket_state ticket_book::lookUp(model::query_request const& request, ticket const& named, kernel::time_point now)
{
    VERIFY(isOwn(named));
    forgetExpired(now);
    auto const found = m_entries.find(request.ticket);
    if (found == m_entries.end())
        return named.expiresAt <= m_forgottenUntil ? ticket_state::forgotten : ticket_state::unused;
    if (found->second.fingerprint != fingerprintOf(request))
        return ticket_state::other_request;
    return found->second.outcome ? ticket_state::settled : ticket_state::running;
}

ticket_claim ticket_book::claim(model::query_request const& request, ticket const& claimed, kernel::time_point now)
{
    // An expiry later than that of any issued ticket is forged or wrong; retaining such tickets would fill the table.
    if (claimed.expiresAt <= now || claimed.expiresAt > now + ticketValidity)
        return ticket_claim::expired;
    if (m_entries.size() >= m_capacity)
        return ticket_claim::memory_full;
    auto const expiry = m_expiries.emplace(claimed.expiresAt, request.ticket);
    bool const isNew = m_entries.emplace(request.ticket, entry { fingerprintOf(request), std::nullopt, expiry }).second;
    VERIFY(isNew);
    return ticket_claim::granted;
}

void ticket_book::settle(std::string const& text, model::answer_or_error outcome)
{
    auto const found = m_entries.find(text);
    if (found == m_entries.end())
        return;
    auto& kept = found->second.outcome;
    bool const isDefinite = kept && kept->has_value();
    if (!isDefinite)
        kept = std::move(outcome);
}

void ticket_book::release(std::string const& text)
{
    auto const found = m_entries.find(text);
    if (found == m_entries.end())
        return;
    m_expiries.erase(found->second.expiry);
    m_entries.erase(found);
}

model::answer_or_error const& ticket_book::outcomeOf(std::string const& text) const
{
    auto const found = m_entries.find(text);
    VERIFY(found != m_entries.end() && found->second.outcome);
    return *found->second.outcome;
}

void ticket_book::forgetExpired(kernel::time_point now)
{
    while (!m_expiries.empty()) {
        auto const oldest = m_expiries.begin();
        auto const kept = m_entries.find(oldest->second);
        VERIFY(kept != m_entries.end());
        bool const isExpired = oldest->first <= now;
        bool const isDue = oldest->first + ticketRetention <= now || m_entries.size() >= m_capacity;
        if (!isExpired || !isDue || !kept->second.outcome)
            return;
        m_forgottenUntil = oldest->first;
        m_entries.erase(kept);
        m_expiries.erase(oldest);
    }
}

}
