#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/fleet/store_position.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinnialedge::fleet {

/// Registration of a daemon in the store, with the daemon's liveness according to membership.
struct registered_daemon {
    std::string name;
    store_position position;
    bool isLive { false };

    auto operator<=>(registered_daemon const&) const = default;
};

/// Finds stale registrations, whose daemons are dead for good, so that they do not accumulate in the store. Does no I/O.
class stale_registration_finder {
public:
    /// Takes the current registrations. Returns the registration that has been without a live daemon for the longest time, if
    /// that time makes the registration stale. At most one registration is returned per call, which limits the damage by a
    /// daemon with a wrong view of the others.
    std::optional<registered_daemon> update(std::vector<registered_daemon> const&, kernel::time_point now);

private:
    /// Period without a live daemon for a registration.
    struct absence {
        store_position position;
        kernel::time_point since;
    };

    std::map<std::string, absence> m_absences;
};

}
