#include "Libraries/zinnialedge/queries/ticket_table.h"

#include "Kernel/verify.h"
#include <boost/algorithm/string/split.hpp>
#include <charconv>
#include <xxhash.h>

namespace zinnialedge::queries {

static constexpr char separator = '~';
static constexpr std::size_t ticketPartCount = 4;
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
    if (parts.size() != ticketPartCount || parts[0].empty() || parts[3].empty())
        return std::nullopt;
    auto const incarnation = parseNumber<std::uint64_t>(parts[1]);
    auto const expiry = parseNumber<std::int64_t>(parts[2]);
    if (!incarnation || !expiry)
        return std::nullopt;
    return ticket { parts[0], *incarnation, kernel::time_point { std::chrono::milliseconds { *expiry } }, parts[3] };
}

ticket_table::ticket_table(std::string daemon, std::uint64_t incarnation, std::size_t capacity)
    : m_daemon(std::move(daemon))
    , m_incarnation(incarnation)
    , m_capacity(capacity)
{
}

std::string ticket_table::issuePrefix(kernel::time_point now) const
{
    auto const expiry = std::chrono::duration_cast<std::chrono::milliseconds>((now + ticketValidity).time_since_epoch());
    return m_daemon + separator + std::to_string(m_incarnation) + separator + std::to_string(expiry.count());
}

bool ticket_table::isIssuedByThisProcess(ticket const& parsed) const
{
    return parsed.daemon == m_daemon && parsed.incarnation == m_incarnation;
}

std::uint64_t computeFingerprint(model::query_request const& request)
{
    std::string text;
    for (auto const* part : { &request.service, &request.requestKind, &request.key, &request.body })
        text += std::to_string(part->size()) + separator + *part;
    return XXH3_64bits(text.data(), text.size());
}

ticket_state ticket_table::lookUp(model::query_request const& request, ticket const& parsed, kernel::time_point now)
{
    VERIFY(isIssuedByThisProcess(parsed));
    evictExpired(now);
    auto const found = m_entries.find(request.ticket);
    if (found == m_entries.end())
        return parsed.expiresAt <= m_latestEvictedExpiry ? ticket_state::evicted : ticket_state::unused;
    if (found->second.fingerprint != computeFingerprint(request))
        return ticket_state::request_mismatch;
    return found->second.outcome ? ticket_state::settled : ticket_state::running;
}

ticket_claim ticket_table::claim(model::query_request const& request, ticket const& parsed, kernel::time_point now)
{
    // An expiry later than that of any issued ticket is forged or wrong; retaining such tickets would fill the table.
    if (parsed.expiresAt <= now || parsed.expiresAt > now + ticketValidity)
        return ticket_claim::expired;
    if (m_entries.size() >= m_capacity)
        return ticket_claim::table_full;
    auto const expiry = m_ticketsByExpiry.emplace(parsed.expiresAt, request.ticket);
    bool const isNew = m_entries.emplace(request.ticket, entry { computeFingerprint(request), std::nullopt, expiry }).second;
    VERIFY(isNew);
    return ticket_claim::granted;
}

void ticket_table::settle(std::string const& ticketText, model::answer_or_error outcome)
{
    auto const found = m_entries.find(ticketText);
    if (found == m_entries.end())
        return;
    auto& outcomeInTable = found->second.outcome;
    bool const hasAnswer = outcomeInTable && outcomeInTable->has_value();
    if (!hasAnswer)
        outcomeInTable = std::move(outcome);
}

void ticket_table::release(std::string const& ticketText)
{
    auto const found = m_entries.find(ticketText);
    if (found == m_entries.end())
        return;
    m_ticketsByExpiry.erase(found->second.expiry);
    m_entries.erase(found);
}

model::answer_or_error const& ticket_table::outcomeOf(std::string const& ticketText) const
{
    auto const found = m_entries.find(ticketText);
    VERIFY(found != m_entries.end() && found->second.outcome);
    return *found->second.outcome;
}

void ticket_table::evictExpired(kernel::time_point now)
{
    while (!m_ticketsByExpiry.empty()) {
        auto const oldestExpiry = m_ticketsByExpiry.begin();
        auto const oldestEntry = m_entries.find(oldestExpiry->second);
        VERIFY(oldestEntry != m_entries.end());
        bool const isExpired = oldestExpiry->first <= now;
        bool const isDue = oldestExpiry->first + ticketRetention <= now || m_entries.size() >= m_capacity;
        if (!isExpired || !isDue || !oldestEntry->second.outcome)
            return;
        m_latestEvictedExpiry = oldestExpiry->first;
        m_entries.erase(oldestEntry);
        m_ticketsByExpiry.erase(oldestExpiry);
    }
}

}
