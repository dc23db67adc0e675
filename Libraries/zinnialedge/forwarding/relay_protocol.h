#pragma once

#include "Libraries/zinnialedge/forwarding/edge_protocol.h"

namespace zinnialedge::forwarding {

/// Returns whether the header belongs to the protocol between daemons. Callers' headers with such names are not forwarded to daemons.
bool isRelayHeader(std::string_view name);

/// Returns the protocol by which a daemon asks another daemon to call leafs for some shards, or to handle a complete request. The
/// caller's request is forwarded unchanged, so the relay headers are sent in addition to the caller's headers. `parseAccessHeader` is
/// that of the callers' protocol: a daemon whose configuration has no tenants passes on what its callers sent.
edge_protocol makeRelayProtocol(decltype(edge_protocol::parseAccessHeader) const& parseAccessHeader = {});

}
