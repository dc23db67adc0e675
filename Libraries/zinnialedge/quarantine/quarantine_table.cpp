#include "Libraries/zinnialedge/quarantine/quarantine_table.h"

#include <algorithm>
#include <xxhash.h>

namespace zinnialedge::quarantine {

using kernel::time_point;

/// Time after the last change for which a request with few losses is remembered.
static constexpr std::chrono::minutes suspicionRetention { 10 };
/// Time after the last change for which a quarantined request is remembered; longer than the longest quarantine.
static constexpr std::chrono::minutes quarantineRetention { 60 };
/// Time for which a success is remembered, so that daemons that have not heard of it do not bring the losses back.
static constexpr std::chrono::seconds clearedRetention { 60 };
/// Time that a call gets to find out whether a request still ends leafs, before another one is sent.
static constexpr std::chrono::seconds trialTime { 2 };
/// Time for which a change of a request that is not quarantined is told to other daemons.
static constexpr std::chrono::seconds sharingTime { 60 };

time_point quarantine_table::nextTrialTime(suspect const& of) const
{
    auto const length = quarantineLength(of);
    // The daemons take turns, so that the first one to try has told the others the outcome before the next one tries.
    static constexpr double hashRange = 18'446'744'073'709'551'616.0;
    auto const turn = static_cast<double>(XXH3_64bits_withSeed(of.request.bytes.data(), of.request.bytes.size(), m_daemonSeed)) / hashRange;
    auto const spread = [turn](kernel::duration span) { return span + std::chrono::duration_cast<kernel::duration>(span * turn); };
    auto const afterLoss = lastLossTime(of) + spread(length);
    // A call that is trying the request again has not ended yet, or has ended without telling anything.
    if (of.trialAt == time_point {})
        return afterLoss;
    auto const afterTrial = of.trialAt == of.unsentTrialAt ? kernel::duration { trialTime } : std::max<kernel::duration>(length, trialTime);
    return std::max(afterLoss, of.trialAt + spread(afterTrial));
}

suspect const* quarantine_table::find(request_digest const& request) const
{
    auto const found = m_entries.find(request);
    return found == m_entries.end() ? nullptr : &found->second.known;
}

verdict quarantine_table::judgeDigest(request_digest const& request, time_point now) const
{
    auto const* const known = find(request);
    if (!known || lossCount(*known) == 0)
        return verdict::innocent;
    if (!isQuarantined(*known))
        return verdict::suspected;
    return now >= nextTrialTime(*known) ? verdict::trial : verdict::quarantined;
}

verdict quarantine_table::judge(request_digests const& digests, time_point now) const
{
    auto strictest = verdict::innocent;
    for (auto const& digest : digests)
        strictest = std::max(strictest, judgeDigest(digest, now));
    return strictest;
}

verdict quarantine_table::judge(request_evidence& evidence, time_point now) const
{
    if (m_entries.empty() || evidence.hasSucceeded())
        return verdict::innocent;
    auto const judged = judge(evidence.digests(), now);
    auto const trialBeganAt = evidence.trialBeganAt();
    bool const isTrial = judged == verdict::quarantined && trialBeganAt && !isQuarantinedSince(evidence.digests(), *trialBeganAt, now);
    return isTrial ? verdict::trial : judged;
}

bool quarantine_table::isQuarantinedSince(request_digests const& digests, time_point since, time_point now) const
{
    return std::any_of(digests.begin(), digests.end(), [&](auto const& digest) { return judgeDigest(digest, now) == verdict::quarantined && lastLossTime(*find(digest)) > since; });
}

bool quarantine_table::hasLossesSince(request_digests const& digests, time_point since) const
{
    return std::any_of(digests.begin(), digests.end(), [&](auto const& digest) {
        auto const* const known = find(digest);
        return known && isQuarantined(*known) && lastLossTime(*known) > since;
    });
}

quarantine_table::entry& quarantine_table::entryOf(request_digest const& request, time_point now)
{
    if (auto const found = m_entries.find(request); found != m_entries.end())
        return found->second;
    removeExpired(now);
    if (m_entries.size() >= capacity)
        evict();
    return m_entries.emplace(request, entry { { .request = request }, now }).first->second;
}

void quarantine_table::markChanged(entry& changed, time_point now)
{
    changed.changedAt = now;
    m_hasChanges = true;
}

void quarantine_table::forEachQuarantined(request_digests const& digests, std::function<void(entry&)> const& change)
{
    for (auto const& digest : digests) {
        if (auto const found = m_entries.find(digest); found != m_entries.end() && isQuarantined(found->second.known))
            change(found->second);
    }
}

void quarantine_table::recordCall(request_evidence& evidence, time_point now)
{
    evidence.beginTrial(now);
    forEachQuarantined(evidence.digests(), [&](auto& tried) {
        tried.known.trialAt = now;
        markChanged(tried, now);
    });
}

void quarantine_table::recordUnansweredCall(request_evidence& evidence, time_point now)
{
    if (!evidence.trialBeganAt())
        return;
    forEachQuarantined(evidence.digests(), [&](auto& tried) {
        ++tried.known.unansweredTrialCount;
        markChanged(tried, now);
    });
}

void quarantine_table::recordUnansweredTrial(request_evidence& evidence, leaf_loss const& possible, time_point now)
{
    if (!evidence.trialBeganAt() || possible.sentAt < *evidence.trialBeganAt() || evidence.hasSucceeded())
        return;
    forEachQuarantined(evidence.digests(), [&](auto& tried) {
        if (mergeSuspect(tried.known, { .request = tried.known.request, .losses = { possible } }))
            markChanged(tried, now);
    });
}

void quarantine_table::recordUnsentTrial(request_evidence& evidence)
{
    if (!evidence.trialBeganAt())
        return;
    forEachQuarantined(evidence.digests(), [](auto& tried) { tried.known.unsentTrialAt = tried.known.trialAt; });
}

bool quarantine_table::recordLoss(request_digests const& digests, leaf_loss const& loss, time_point now)
{
    bool isNewlyQuarantined = false;
    for (auto const& digest : digests) {
        if (m_successes.contains(digest, now))
            continue;
        auto& recorded = entryOf(digest, now);
        bool const wasQuarantined = isQuarantined(recorded.known);
        if (mergeSuspect(recorded.known, { .request = digest, .losses = { loss } }))
            markChanged(recorded, now);
        isNewlyQuarantined |= !wasQuarantined && isQuarantined(recorded.known);
    }
    return isNewlyQuarantined;
}

bool quarantine_table::recordSuccess(request_digests const& digests, time_point now)
{
    bool hadLosses = false;
    for (auto const& digest : digests) {
        m_successes.add(digest, now);
        auto const found = m_entries.find(digest);
        if (found == m_entries.end() || found->second.known.losses.empty())
            continue;
        found->second.known.losses.clear();
        found->second.known.unansweredTrialCount = 0;
        found->second.known.clearedAt = now;
        markChanged(found->second, now);
        hadLosses = true;
    }
    return hadLosses;
}

void quarantine_table::refuteLosses(std::uint64_t leaf, time_point now)
{
    for (auto& [request, each] : m_entries) {
        for (auto& loss : each.known.losses) {
            if (loss.leaf != leaf || loss.isRefuted)
                continue;
            loss.isRefuted = true;
            markChanged(each, now);
        }
    }
}

void quarantine_table::refuteLossesBefore(std::uint64_t leaf, time_point aliveAt, time_point now)
{
    for (auto& [request, each] : m_entries) {
        for (auto& loss : each.known.losses) {
            if (loss.leaf != leaf || loss.isRefuted || loss.lostAt > aliveAt)
                continue;
            if (now - loss.lostAt > refutationTime) {
                // The first replies may come from a new incarnation that has not been registered yet, and while registrations are not
                // delivered all of them may.
                if (!m_areRegistrationsCurrent)
                    continue;
                loss.aliveSince = loss.aliveSince == time_point {} ? now : loss.aliveSince;
                if (now - loss.aliveSince < lateRefutationTime)
                    continue;
            }
            loss.isRefuted = true;
            markChanged(each, now);
        }
    }
}

void quarantine_table::setRegistrationsCurrent(bool isCurrent)
{
    m_areRegistrationsCurrent = isCurrent;
    for (auto& [request, each] : m_entries) {
        for (auto& loss : each.known.losses)
            loss.aliveSince = isCurrent ? loss.aliveSince : time_point {};
    }
}

std::vector<request_digest> quarantine_table::merge(std::span<suspect const> others, time_point now)
{
    std::vector<request_digest> quarantined;
    for (auto const& other : others) {
        // Nothing is known here that a success would clear.
        if (other.losses.empty() && !find(other.request))
            continue;
        auto& merged = entryOf(other.request, now);
        if (lossCount(other) > 0 && m_successes.contains(other.request, now)) {
            // The other daemon learns from this one that the request runs.
            merged.known.clearedAt = now;
            markChanged(merged, now);
            continue;
        }
        bool const wasQuarantined = isQuarantined(merged.known);
        if (mergeSuspect(merged.known, other))
            markChanged(merged, now);
        if (!wasQuarantined && isQuarantined(merged.known))
            quarantined.push_back(other.request);
    }
    return quarantined;
}

std::set<std::uint64_t> quarantine_table::leafsToCheck(std::function<bool(request_digest const&)> const& isOfThisDaemon) const
{
    std::set<std::uint64_t> leafs;
    for (auto const& [request, each] : m_entries) {
        if (!isQuarantined(each.known) || !isOfThisDaemon(request))
            continue;
        for (auto const& loss : each.known.losses) {
            if (!loss.isRefuted)
                leafs.insert(loss.leaf);
        }
    }
    return leafs;
}

std::size_t quarantine_table::quarantinedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [](auto const& each) { return isQuarantined(each.second.known); }));
}

std::vector<suspect> quarantine_table::suspectsToShare(time_point now) const
{
    std::vector<entry const*> shared;
    for (auto const& [request, each] : m_entries) {
        if (isQuarantined(each.known) || now < each.changedAt + sharingTime)
            shared.push_back(&each);
    }
    std::sort(shared.begin(), shared.end(), [](auto const* left, auto const* right) { return left->changedAt > right->changedAt; });
    std::vector<suspect> suspects;
    suspects.reserve(shared.size());
    for (auto const* each : shared)
        suspects.push_back(each->known);
    return suspects;
}

void quarantine_table::removeExpired(time_point now)
{
    std::erase_if(m_entries, [&](auto const& each) {
        auto const& [known, changedAt] = each.second;
        if (known.losses.empty())
            return now >= changedAt + clearedRetention;
        return now >= changedAt + (isQuarantined(known) ? kernel::duration { quarantineRetention } : kernel::duration { suspicionRetention });
    });
}

void quarantine_table::evict()
{
    // Requests with few losses are many when leafs end for other reasons, and drive out only each other.
    auto const least = std::min_element(m_entries.begin(), m_entries.end(), [](auto const& left, auto const& right) {
        auto const rankOf = [](entry const& each) { return std::pair { std::min(lossCount(each.known), quarantineLossCount), each.changedAt }; };
        return rankOf(left.second) < rankOf(right.second);
    });
    m_entries.erase(least);
}

}
