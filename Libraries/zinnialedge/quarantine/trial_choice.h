#pragma once

#include "Libraries/zinnialedge/quarantine/request_digest.h"
#include <optional>
#include <string>
#include <vector>

namespace zinnialedge::quarantine {

/// Returns the index of the daemon among `others` that alone tries a quarantined request again for all daemons; nothing when this daemon
/// does. `self` is empty when this daemon is not a member of the group.
std::optional<std::size_t> chooseTrialDaemon(request_digest const&, std::optional<std::string> const& self, std::vector<std::string> const& others);

}
