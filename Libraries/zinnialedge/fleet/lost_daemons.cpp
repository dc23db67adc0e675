#include "Libraries/zinnialedge/fleet/lost_daemons.h"

namespace zinnialedge::fleet {

/// Longer than any freeze or cut on the users' sheets; a daemon that is back sooner keeps its registration.
static constexpr std::chrono::seconds lostAfter { 60 };

std::optional<registered_daemon> lost_daemons::update(std::vector<registered_daemon> const& registered, kernel::time_point now)
{
    std::map<std::string, absence> absent;
    std::optional<registered_daemon> longest;
    for (auto const& each : registered) {
        if (each.isLiving)
            continue;
        auto const known = m_absent.find(each.name);
        bool const isSame = known != m_absent.end() && known->second.revision == each.revision;
        auto const since = isSame ? known->second.since : now;
        absent[each.name] = { each.revision, since };
        if (now - since >= lostAfter && (!longest || since < absent[longest->name].since))
            longest = each;
    }
    m_absent = std::move(absent);
    return longest;
}

}
