#include "Libraries/zinnialedge/fleet/lost_daemons.h"

namespace zinnialedge::fleet {

/// Time without a live daemon after which a registration is stale. 60 s exceed every process freeze and network partition that
/// the requirements name; a daemon that returns sooner keeps its registration.
static constexpr std::chrono::seconds staleAfter { 60 };

std::optional<registered_daemon> stale_registration_finder::update(std::vector<registered_daemon> const& registered, kernel::time_point now)
{
    std::map<std::string, absence> absences;
    std::optional<registered_daemon> longest;
    for (auto const& registration : registered) {
        if (registration.isLive)
            continue;
        auto const previous = m_absences.find(registration.name);
        bool const isSameRegistration = previous != m_absences.end() && previous->second.position == registration.position;
        auto const since = isSameRegistration ? previous->second.since : now;
        absences[registration.name] = { registration.position, since };
        if (now - since >= staleAfter && (!longest || since < absences[longest->name].since))
            longest = registration;
    }
    m_absences = std::move(absences);
    return longest;
}

}
