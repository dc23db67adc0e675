#include "Libraries/zinnialedge/quarantine/suspect.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <xxhash.h>

namespace zinnialedge::quarantine {

using kernel::time_point;

/// Quarantines after one, two, three and more consecutive losses. Leafs that were lost at one moment may have had another cause, so that one
/// call may find out at once. After three trials there is little doubt left, and each further one ends another leaf.
static constexpr std::array<std::chrono::seconds, 5> quarantineLengths { std::chrono::seconds { 0 }, std::chrono::seconds { 2 }, std::chrono::seconds { 4 }, std::chrono::seconds { 64 }, std::chrono::seconds { 600 } };
/// Uncertainty of times that another daemon tells, as its datagrams take time and may wait.
static constexpr std::chrono::milliseconds timeUncertainty { 1000 };

std::uint64_t hashLeaf(std::string_view id, std::int64_t incarnation)
{
    return XXH3_64bits_withSeed(id.data(), id.size(), static_cast<std::uint64_t>(incarnation));
}

std::size_t lossCount(suspect const& of)
{
    return static_cast<std::size_t>(std::count_if(of.losses.begin(), of.losses.end(), [](auto const& loss) { return !loss.isRefuted; }));
}

time_point lastLossTime(suspect const& of)
{
    time_point last;
    for (auto const& loss : of.losses)
        last = loss.isRefuted ? last : std::max(last, loss.lostAt);
    return last;
}

std::size_t consecutiveLossCount(suspect const& of)
{
    std::size_t count = 0;
    time_point lastLossAt;
    for (auto const& loss : of.losses) {
        if (loss.isRefuted || loss.sentAt < lastLossAt)
            continue;
        ++count;
        lastLossAt = loss.lostAt;
    }
    return count;
}

kernel::duration quarantineLength(suspect const& of)
{
    auto const step = std::max<std::size_t>(consecutiveLossCount(of), of.unansweredTrialCount + 1U);
    return quarantineLengths[std::clamp<std::size_t>(step, 1, quarantineLengths.size()) - 1];
}

/// Removes losses before the last success and all but the latest losses. Two losses of one leaf are one.
static void normalize(suspect& normalized)
{
    auto& losses = normalized.losses;
    if (normalized.trialAt <= normalized.clearedAt)
        normalized.unansweredTrialCount = 0;
    if (normalized.clearedAt != time_point {})
        std::erase_if(losses, [&](auto const& loss) { return loss.lostAt <= normalized.clearedAt + timeUncertainty; });
    std::sort(losses.begin(), losses.end(), [](auto const& left, auto const& right) { return std::tie(left.leaf, left.lostAt) < std::tie(right.leaf, right.lostAt); });
    losses.erase(std::unique(losses.begin(), losses.end(), [](auto const& left, auto const& right) { return left.leaf == right.leaf; }), losses.end());
    std::sort(losses.begin(), losses.end(), [](auto const& left, auto const& right) { return std::tie(left.lostAt, left.leaf) < std::tie(right.lostAt, right.leaf); });
    if (losses.size() > maximumLossCount)
        losses.erase(losses.begin(), losses.end() - maximumLossCount);
}

bool mergeSuspect(suspect& into, suspect const& from)
{
    auto const findLoss = [&](leaf_loss const& loss) { return std::find_if(into.losses.begin(), into.losses.end(), [&](auto const& known) { return known.leaf == loss.leaf; }); };
    bool isChanged = false;
    if (from.clearedAt > into.clearedAt + timeUncertainty) {
        into.clearedAt = from.clearedAt;
        isChanged = true;
    }
    if (from.trialAt > into.trialAt + timeUncertainty) {
        into.trialAt = from.trialAt;
        isChanged = true;
    }
    if (from.unansweredTrialCount > into.unansweredTrialCount && from.trialAt > into.clearedAt + timeUncertainty) {
        into.unansweredTrialCount = from.unansweredTrialCount;
        isChanged = true;
    }
    auto const before = into.losses;
    for (auto const& loss : from.losses) {
        if (auto const known = findLoss(loss); known != into.losses.end())
            known->isRefuted |= loss.isRefuted;
        else
            into.losses.push_back(loss);
    }
    normalize(into);
    return isChanged || into.losses != before;
}

}
