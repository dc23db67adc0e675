#pragma once

#include "Kernel/clock.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinnialedge::fleet {

/// A daemon's registration in the store and what membership says of the daemon.
struct registered_daemon {
    std::string name;
    std::uint64_t revision { 0 };
    bool isLiving { false };

    auto operator<=>(registered_daemon const&) const = default;
};

/// Finds registrations whose daemons were lost for good, so that they do not pile up in the store. No I/O.
class lost_daemons {
public:
    /// Takes the present state. Returns the registration that has been without a living daemon for longest, once that is
    /// long enough; at most one each time, so that a daemon that is wrong about the others harms little.
    std::optional<registered_daemon> update(std::vector<registered_daemon> const&, kernel::time_point now);

private:
    struct absence {
        std::uint64_t revision { 0 };
        kernel::time_point since;
    };

    std::map<std::string, absence> m_absent;
};

}
