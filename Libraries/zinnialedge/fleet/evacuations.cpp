#include "Libraries/zinnialedge/fleet/evacuations.h"

#include <xxhash.h>

namespace zinnialedge::fleet {

/// An evacuation must take effect within seconds, and another one may follow at once.
static constexpr std::chrono::milliseconds batchDelay { 40 };
/// Time after a return of the store for which an evacuation that the store's copy lacks stays in force. The operator's writer writes it
/// again within seconds; until then it is safer to call no leafs there.
static constexpr std::chrono::milliseconds missingEvacuationHold { 10'000 };
/// Time after a return of the store for which an evacuation that had ended before is ignored. The operator's writer removes it again. Much
/// shorter than the 5 s within which an evacuation must take effect, because an evacuation that is requested anew may look the same.
static constexpr std::chrono::milliseconds endedEvacuationHold { 2500 };
/// Evacuations do not expire during an outage, so one that is missing afterwards has been removed.
static constexpr std::chrono::milliseconds noExpiry { std::chrono::hours { 24 * 365 } };

mirror_settings evacuationMirrorSettings()
{
    return { .batchDelay = batchDelay, .shortOutageLimit = noExpiry, .renewalPeriod = missingEvacuationHold, .restoredObjectHold = endedEvacuationHold, .adoptsCompletely = true };
}

std::uint64_t digestOf(std::uint64_t configurationVersion, std::set<std::string> const& evacuatedDataCentres)
{
    auto digest = configurationVersion;
    for (auto const& each : evacuatedDataCentres)
        digest = XXH3_64bits_withSeed(each.data(), each.size(), digest);
    return digest;
}

}
