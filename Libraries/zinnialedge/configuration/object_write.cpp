#include "Libraries/zinnialedge/configuration/object_write.h"

#include "Kernel/verify.h"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>

namespace zinnialedge::configuration {

using errors::error_kind;

static constexpr std::chrono::milliseconds firstBackoff { 20 };
static constexpr std::chrono::milliseconds maximumBackoff { 1000 };
static constexpr unsigned maximumDoublings = 6;
static constexpr std::chrono::milliseconds outageRetryAfter { 2000 };

object_write::object_write(object_write_request request, kernel::random_hook random)
    : m_request(std::move(request))
    , m_random(std::move(random))
{
}

write_action object_write::finishWithError(errors::error reason) const
{
    return write_finished { tl::unexpected(std::move(reason)) };
}

write_action object_write::retryLater(kernel::time_point now)
{
    auto const ceiling = std::min(maximumBackoff, firstBackoff * (1U << std::min(m_failureCount, maximumDoublings)));
    ++m_failureCount;
    auto const jitter = std::chrono::milliseconds { static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(ceiling.count())) };
    auto const at = now + ceiling / 2 + jitter / 2;
    if (at < m_request.deadline)
        return retry_later { at };
    if (m_hasUnresolvedAttempt)
        return finishWithError({ error_kind::outcome_unknown, "the change of service " + m_request.commands.service + " was sent, but the store did not confirm whether the change took effect", {} });
    return finishWithError({ error_kind::store_unavailable, "the store did not reply; service " + m_request.commands.service + " was not changed", outageRetryAfter });
}

write_action object_write::handle(read_result const& result, kernel::time_point now)
{
    bool const isConclusive = result.reply == store_reply::done || result.reply == store_reply::absent;
    auto const version = result.reply == store_reply::done ? result.version : 0;
    if (!isConclusive || version < m_request.knownVersion)
        return retryLater(now);
    m_request.knownVersion = version;
    service_object current { m_request.commands.service, std::nullopt, {} };
    if (result.reply == store_reply::done) {
        auto parsed = parseServiceObject(result.body);
        if (!parsed)
            return finishWithError({ error_kind::internal, "the object of service " + m_request.commands.service + " in the store can't be parsed: " + parsed.error().message, {} });
        current = std::move(*parsed);
    }
    if (m_hasUnresolvedAttempt)
        return resolveAttempt(current, result);
    return planWrite(std::move(current), version);
}

write_action object_write::resolveAttempt(service_object const& current, read_result const& result)
{
    if (auto const change = current.writers.findChangeNumber(m_request.writer, m_request.sequence))
        return write_finished { accepted_write { result.version, *change, result.body, true } };
    // The attempt may still be in flight. A repeated write is harmless, because only one of the two writes finds the expected
    // version.
    if (result.version == m_attempt.expectedVersion)
        return write_object { m_attempt.body, m_attempt.expectedVersion };
    if (current.writers.mayHaveEvicted(m_attempt.change))
        return finishWithError({ error_kind::outcome_unknown, "too many later changes of service " + m_request.commands.service + " to determine whether this change took effect", {} });
    // Another writer replaced the version that the attempt expects, so the attempt can no longer take effect.
    m_hasUnresolvedAttempt = false;
    return planWrite(current, result.version);
}

static std::string describe(std::optional<std::string> const& value)
{
    return value ? "'" + *value + "'" : "nothing";
}

std::optional<errors::error> object_write::findConflict(service_object const& current) const
{
    auto const currentFields = toFieldValues(current.declaration);
    auto const baseFields = toFieldValues(m_baseObject->declaration);
    std::vector<std::string> conflicts;
    for (auto const& [field, valueBefore, currentValue] : compareFields(baseFields, currentFields)) {
        auto const wantedChange = std::find_if(m_wantedChanges.begin(), m_wantedChanges.end(), [&](auto const& each) { return each.field == field; });
        if (wantedChange != m_wantedChanges.end() && wantedChange->after != currentValue)
            conflicts.push_back(field + ": wanted " + describe(wantedChange->after) + ", another operator set " + describe(currentValue));
    }
    // A removal conflicts with every concurrent change, because the operator has not seen the service as changed.
    bool const isRemoval = std::any_of(m_wantedChanges.begin(), m_wantedChanges.end(), [](auto const& each) { return each.field == "service" && !each.after; });
    if (conflicts.empty() && isRemoval && current.declaration && currentFields != baseFields)
        conflicts.emplace_back("service: removal wanted, but another operator changed the service");
    if (conflicts.empty())
        return std::nullopt;
    return errors::error { error_kind::conflict, "service " + m_request.commands.service + ": " + boost::algorithm::join(conflicts, "; "), {} };
}

write_action object_write::planWrite(service_object current, std::uint64_t version)
{
    if (m_baseObject) {
        if (auto conflict = findConflict(current))
            return finishWithError(std::move(*conflict));
    }
    auto after = applyCommands(current.declaration, m_request.commands, m_request.partner);
    if (!after && m_baseObject)
        return finishWithError({ error_kind::conflict, "another operator changed service " + m_request.commands.service + " concurrently: " + after.error().message, {} });
    if (!after)
        return finishWithError(after.error());
    if (*after == current.declaration)
        return write_finished { accepted_write { version, current.writers.changes(), version > 0 ? formatServiceObject(current) : std::string {}, false } };
    if (!m_baseObject) {
        m_baseObject = current;
        m_wantedChanges = compareFields(toFieldValues(current.declaration), toFieldValues(*after));
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
        return write_finished { accepted_write { result.version, m_attempt.change, m_attempt.body, true } };
    case store_reply::precondition_failed:
        // The stored version is newer than the expected version, so a read of an older version is stale.
        m_request.knownVersion = std::max(m_request.knownVersion, m_attempt.expectedVersion + 1);
        return retryLater(now);
    case store_reply::unknown:
    case store_reply::absent:
        m_hasUnresolvedAttempt = true;
        return retryLater(now);
    case store_reply::no_effect:
        return retryLater(now);
    }
    VERIFY(false);
}

}
