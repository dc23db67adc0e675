#include "Libraries/zinnialedge/fleet/directory_choice.h"

#include <algorithm>
#include <map>
#include <xxhash.h>

namespace zinnialedge::fleet {

/// In each data centre; two of them may be lost at once and one is left.
static constexpr std::size_t groupPerDataCentre = 3;
/// With fewer of its own data centre a caller is given the whole group: it tries each address once.
static constexpr std::size_t leastOwn = 2;
/// Most addresses that a caller is given.
static constexpr std::size_t addressLimit = 64;

static std::uint64_t rankOf(directory_entry const& entry)
{
    return XXH3_64bits(entry.name.data(), entry.name.size());
}

std::vector<directory_entry> chooseGroup(std::vector<directory_entry> const& daemons)
{
    std::map<std::string, std::vector<directory_entry>> byDataCentre;
    for (auto const& each : daemons)
        byDataCentre[each.dataCentre].push_back(each);
    std::vector<directory_entry> group;
    for (auto& [dataCentre, members] : byDataCentre) {
        std::sort(members.begin(), members.end(), [](auto const& left, auto const& right) { return rankOf(left) < rankOf(right); });
        members.resize(std::min(members.size(), groupPerDataCentre));
        group.insert(group.end(), members.begin(), members.end());
    }
    return group;
}

std::vector<model::endpoint> chooseDaemons(std::vector<directory_entry> const& daemons, std::string const& dataCentre)
{
    auto const group = chooseGroup(daemons);
    std::vector<model::endpoint> own;
    std::vector<model::endpoint> all;
    for (auto const& each : group) {
        all.push_back(each.place);
        if (each.dataCentre == dataCentre)
            own.push_back(each.place);
    }
    auto chosen = own.size() >= leastOwn ? own : all;
    if (chosen.size() > addressLimit)
        chosen.resize(addressLimit);
    return chosen;
}

}
