#pragma once

#include "Libraries/zinnialedge/fleet/object_mirror.h"
#include <set>
#include <string>

namespace zinnialedge::fleet {

/// Returns how evacuations are kept while the store is away, and after it has come back from an older copy.
mirror_settings evacuationMirrorSettings();

/// Returns the digest of a configuration version and of the evacuated data centres by which daemons notice that they know different
/// states. Without an evacuation it is the version, as daemons send it that do not read evacuations.
std::uint64_t digestOf(std::uint64_t configurationVersion, std::set<std::string> const& evacuatedDataCentres);

}
