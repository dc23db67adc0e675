#include "Libraries/zinnialedge/fleet/directory_choice.h"

#include <algorithm>
#include <map>
#include <xxhash.h>

namespace zinnialedge::fleet {

/// Number of daemons in the group per data centre. With two daemons, one remains when the other is lost; when both are lost,
/// callers get the complete group. A third daemon would leave the connections of all three cold under light traffic.
static constexpr std::size_t daemonsPerDataCentre = 2;
/// Minimum number of daemons in the caller's data centre. With fewer daemons there, the caller gets the complete group, because
/// a caller tries each address only once.
static constexpr std::size_t minimumLocalDaemons = 2;
/// Maximum number of endpoints in a directory answer.
static constexpr std::size_t maximumEndpoints = 64;

/// Daemons whose strength differs by less than this fraction are equal, so that a small difference between VMs does not decide. The time of
/// a query on a VM grows with the inverse of its strength: at half of the strength, queries over many shards missed objectives of 50 ms.
static constexpr double equalStrengthFraction = 0.75;
/// Daemons that are weaker than this number of steps are equal.
static constexpr int maximumStrengthRank = 16;

static std::uint64_t nameHashOf(serving_daemon const& entry)
{
    return XXH3_64bits(entry.name.data(), entry.name.size());
}

/// Returns zero for a daemon that is about as strong as the strongest one, and more for a weaker daemon.
static int strengthRankOf(double strength, double strongest)
{
    int rank = 0;
    for (auto least = strongest * equalStrengthFraction; strength < least && rank < maximumStrengthRank; least *= equalStrengthFraction)
        ++rank;
    return rank;
}

std::vector<serving_daemon> daemonsWithLeafs(std::vector<serving_daemon> daemons)
{
    if (std::any_of(daemons.begin(), daemons.end(), [](auto const& each) { return each.reachesLeafs; }))
        std::erase_if(daemons, [](auto const& each) { return !each.reachesLeafs; });
    return daemons;
}

std::vector<serving_daemon> chooseServingGroup(std::vector<serving_daemon> const& daemons)
{
    std::map<std::string, std::vector<serving_daemon>> byDataCentre;
    for (auto const& daemon : daemons)
        byDataCentre[daemon.dataCentre].push_back(daemon);
    bool const areStrengthsKnown = std::all_of(daemons.begin(), daemons.end(), [](auto const& each) { return each.strength.has_value(); });
    std::vector<serving_daemon> group;
    for (auto& [dataCentre, members] : byDataCentre) {
        double strongest = 0;
        for (auto const& member : members)
            strongest = std::max(strongest, member.strength.value_or(0));
        auto const rankOf = [&](serving_daemon const& member) {
            return std::pair { areStrengthsKnown ? strengthRankOf(*member.strength, strongest) : 0, nameHashOf(member) };
        };
        std::sort(members.begin(), members.end(), [&](auto const& left, auto const& right) { return rankOf(left) < rankOf(right); });
        members.resize(std::min(members.size(), daemonsPerDataCentre));
        group.insert(group.end(), members.begin(), members.end());
    }
    return group;
}

std::vector<model::endpoint> chooseEndpoints(std::vector<serving_daemon> const& daemons, std::string const& dataCentre)
{
    auto const group = chooseServingGroup(daemons);
    std::vector<model::endpoint> local;
    std::vector<model::endpoint> all;
    for (auto const& daemon : group) {
        all.push_back(daemon.place);
        if (daemon.dataCentre == dataCentre)
            local.push_back(daemon.place);
    }
    auto chosen = local.size() >= minimumLocalDaemons ? local : all;
    if (chosen.size() > maximumEndpoints)
        chosen.resize(maximumEndpoints);
    return chosen;
}

}
