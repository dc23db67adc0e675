#include "Libraries/zinnialedge/limits/vm_shares.h"

#include <algorithm>

namespace zinnialedge::limits {

/// Descriptors for files, pipes and the listening sockets.
static constexpr std::size_t reservedDescriptors = 210;
/// A port that nearly nobody uses still has room for a few connections.
static constexpr std::size_t minimumConnections = 8;

connection_shares shareDescriptors(std::size_t descriptors)
{
    auto const sockets = descriptors - std::min(descriptors, reservedDescriptors);
    auto const percent = [sockets](std::size_t share) { return std::max(sockets * share / 100, minimumConnections); };
    return { .callers = percent(40), .relays = percent(10), .directory = percent(8), .readiness = percent(2), .peers = percent(12), .operators = percent(2) };
}

memory_shares shareMemory(std::size_t megabytes)
{
    auto const bytes = megabytes << 20U;
    return { .callerBuffers = bytes / 8, .openRequests = bytes / 8, .leafReplies = bytes / 8, .peers = bytes / 16, .otherPort = bytes / 64 };
}

}
