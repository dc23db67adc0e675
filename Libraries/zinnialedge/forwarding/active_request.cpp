#include "Libraries/zinnialedge/forwarding/active_request.h"

#include <algorithm>
#include <cmath>

namespace zinnialedge::forwarding {

/// Tolerance for comparisons with a minimum coverage, whose decimal fraction has no exact binary representation.
static constexpr double coverageTolerance = 1e-9;

std::uint32_t active_request::priority() const
{
    static constexpr std::uint32_t bitsPerPriority = 16;
    // Greater declared values count as the least urgent one.
    static constexpr std::uint32_t leastUrgent = (1U << bitsPerPriority) - 1;
    auto const ofRoute = std::min(matchedRoute->priority, leastUrgent);
    auto const ofTenant = matchedTenant && matchedTenant->priority ? std::min(*matchedTenant->priority, leastUrgent) : ofRoute;
    return (ofTenant << bitsPerPriority) | ofRoute;
}

std::string const& active_request::shareHolder() const
{
    static std::string const noHolder;
    return matchedTenant ? matchedTenant->name : noHolder;
}

void active_request::addAllShards()
{
    auto const& shards = matchedRoute->gather.shards;
    for (std::size_t shard = 0; shard < shards.size(); ++shard)
        parts.push_back({ .service = &shards[shard], .shardIndex = shard });
}

bool active_request::mayHaveRun() const
{
    return (detour && detour->mayHaveRun) || std::any_of(parts.begin(), parts.end(), [](auto const& part) { return part.mayHaveRun(); });
}

static bool isOpen(request_part const& part)
{
    return !part.calls.empty() || part.isQueued || part.relayCallNumber != 0;
}

bool active_request::hasOpenCalls(std::size_t partIndex) const
{
    for (std::size_t index = 0; index < parts.size(); ++index) {
        if (index != partIndex && isOpen(parts[index]))
            return true;
    }
    return false;
}

bool active_request::isHeldForNothing() const
{
    return heldPartCount > 0 && std::none_of(parts.begin(), parts.end(), isOpen);
}

bool active_request::hasUsedAttempts() const
{
    return std::any_of(parts.begin(), parts.end(), [](auto const& part) { return part.relayDataCentre || part.isAnswered(); });
}

bool active_request::hasSentCalls() const
{
    return std::any_of(parts.begin(), parts.end(), [](auto const& part) { return part.attemptCount() > 0; });
}

bool active_request::hasMinimumCoverage() const
{
    // The requesting daemon checks the coverage, since only that daemon knows the other parts.
    if (isRelayed())
        return true;
    return answeredPartCount > 0 && static_cast<double>(answeredPartCount) / static_cast<double>(parts.size()) + coverageTolerance >= matchedRoute->gather.minimumCoverage;
}

bool active_request::canReachMinimumCoverage() const
{
    if (isRelayed())
        return true;
    auto const availableParts = parts.size() - missingPartCount;
    return availableParts > 0 && static_cast<double>(availableParts) / static_cast<double>(parts.size()) + coverageTolerance >= matchedRoute->gather.minimumCoverage;
}

bool active_request::lacksManyReplies() const
{
    // Slow or failed leafs of less than a seventh of the shards are no sign of congestion.
    static constexpr std::size_t toleratedFractionDivisor = 7;
    return (parts.size() - answeredPartCount - skippedPartCount) * toleratedFractionDivisor > parts.size();
}

limits::call_progress active_request::callProgress(kernel::duration ownDelay, kernel::time_point now) const
{
    limits::call_progress progress { 0, 0, now - lastReplyAt, ownDelay };
    for (auto const& part : parts) {
        if (part.relayDataCentre || part.isSkipped)
            continue;
        ++progress.callCount;
        progress.unansweredCount += part.isSettled() ? 0 : 1;
    }
    return progress;
}

std::size_t active_request::minimumPartCount() const
{
    auto const minimumParts = std::ceil(matchedRoute->gather.minimumCoverage * static_cast<double>(parts.size()) - coverageTolerance);
    return static_cast<std::size_t>(std::max(minimumParts, 1.0));
}

std::size_t active_request::allowedMissingParts() const
{
    auto const availableParts = parts.size() - missingPartCount;
    return availableParts - std::min(availableParts, minimumPartCount());
}

}
