#include "Libraries/zinnialedge/configuration/object_write.h"

#include "Kernel/verify.h"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>

namespace zinnialedge::configuration {

using errors::error_kind;

static constexpr std::chrono::milliseconds firstBackoff { 20 };
static constexpr std::chrono::milliseconds longestBackoff { 1000 };
static constexpr unsigned mostDoublings = 6;
static constexpr std::chrono::milliseconds outageRetryAfter { 2000 };

object_write::object_write(object_write_request request, kernel::random_hook random)
    : m_request(std::move(request))
    , m_random(std::move(random))
{
}

write_action object_write::refuse(errors::error reason) const
{
    return write_settled { tl::unexpected(std::move(reason)) };
}

write_action object_write::retryLater(kernel::time_point now)
{
    auto const ceiling = std::min(longestBackoff, firstBackoff * (1U << std::min(m_failures, mostDoublings)));
    ++m_failures;
    auto const jitter = std::chrono::milliseconds { static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(ceiling.count())) };
    auto const at = now + ceiling / 2 + jitter / 2;
    if (at < m_request.deadline)
        return wait_until { at };
    if (m_isUnsettled)
        return refuse({ error_kind::outcome_unknown, "the change of service " + m_request.commands.service + " was sent, but the store did not say whether it took effect", {} });
    return refuse({ error_kind::store_unavailable, "the store did not answer; service " + m_request.commands.service + " was not changed", outageRetryAfter });
}

write_action object_write::handle(read_result const& result, kernel::time_point now)
{
    bool const isRead = result.reply == store_reply::done || result.reply == store_reply::absent;
    auto const version = result.reply == store_reply::done ? result.version : 0;
    if (!isRead || version < m_request.knownVersion)
        return retryLater(now);
    m_request.knownVersion = version;
    service_object current { m_request.commands.service, std::nullopt, {} };
    if (result.reply == store_reply::done) {
        auto parsed = parseServiceObject(result.body);
        if (!parsed)
            return refuse({ error_kind::internal, "the store holds a service " + m_request.commands.service + " that can't be read: " + parsed.error().message, {} });
        current = std::move(*parsed);
    }
    if (m_isUnsettled)
        return settleAttempt(current, result);
    return planOn(std::move(current), version);
}

write_action object_write::settleAttempt(service_object const& current, read_result const& result)
{
    if (auto const change = current.writers.changeOf(m_request.writer, m_request.sequence))
        return write_settled { accepted_write { result.version, *change, result.body, true } };
    // The attempt may still be on its way. The same write again is harmless: only one of them finds that version.
    if (result.version == m_attempt.expectedVersion)
        return write_object { m_attempt.body, m_attempt.expectedVersion };
    if (current.writers.mayHaveForgotten(m_attempt.change))
        return refuse({ error_kind::outcome_unknown, "too many others have changed service " + m_request.commands.service + " since to tell whether this change took effect", {} });
    // Another writer took the version that the attempt needs, so it can't take effect any more.
    m_isUnsettled = false;
    return planOn(current, result.version);
}

static std::string describe(std::optional<std::string> const& value)
{
    return value ? "'" + *value + "'" : "nothing";
}

std::optional<errors::error> object_write::findConflict(service_object const& current) const
{
    auto const present = fieldsOf(current.declaration);
    auto const before = fieldsOf(m_base->declaration);
    std::vector<std::string> clashes;
    for (auto const& [field, was, is] : changesBetween(before, present)) {
        auto const wanted = std::find_if(m_wanted.begin(), m_wanted.end(), [&](auto const& each) { return each.field == field; });
        if (wanted != m_wanted.end() && wanted->after != is)
            clashes.push_back(field + ": wanted " + describe(wanted->after) + ", another operator set " + describe(is));
    }
    // What removes a service must have seen all of it.
    bool const isRemoval = std::any_of(m_wanted.begin(), m_wanted.end(), [](auto const& each) { return each.field == "service" && !each.after; });
    if (clashes.empty() && isRemoval && current.declaration && present != before)
        clashes.emplace_back("service: wanted nothing, another operator changed it");
    if (clashes.empty())
        return std::nullopt;
    return errors::error { error_kind::conflict, "service " + m_request.commands.service + ": " + boost::algorithm::join(clashes, "; "), {} };
}

write_action object_write::planOn(service_object current, std::uint64_t version)
{
    if (m_base) {
        if (auto conflict = findConflict(current))
            return refuse(std::move(*conflict));
    }
    auto after = applyCommands(current.declaration, m_request.commands, m_request.partner);
    if (!after && m_base)
        return refuse({ error_kind::conflict, "another operator changed service " + m_request.commands.service + " meanwhile: " + after.error().message, {} });
    if (!after)
        return refuse(after.error());
    if (*after == current.declaration)
        return write_settled { accepted_write { version, current.writers.changes(), version > 0 ? formatServiceObject(current) : std::string {}, false } };
    if (!m_base) {
        m_base = current;
        m_wanted = changesBetween(fieldsOf(current.declaration), fieldsOf(*after));
    }
    current.declaration = std::move(*after);
    current.writers.note(m_request.writer, m_request.sequence);
    m_attempt = { version, current.writers.changes(), formatServiceObject(current) };
    return write_object { m_attempt.body, version };
}

write_action object_write::handle(write_result const& result, kernel::time_point now)
{
    switch (result.reply) {
    case store_reply::done:
        return write_settled { accepted_write { result.version, m_attempt.change, m_attempt.body, true } };
    case store_reply::precondition_failed:
        // Whatever is there is newer, so an older read is stale.
        m_request.knownVersion = std::max(m_request.knownVersion, m_attempt.expectedVersion + 1);
        return retryLater(now);
    case store_reply::unknown:
    case store_reply::absent:
        m_isUnsettled = true;
        return retryLater(now);
    case store_reply::not_done:
        return retryLater(now);
    }
    VERIFY(false);
}

}
