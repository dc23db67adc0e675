#pragma once

#include "Libraries/zinnialedge/forwarding/edge_protocol.h"

namespace zinnialedge::forwarding {

/// Returns the protocol by which a daemon requests another daemon to call leafs of the other data centre. The caller's request
/// is forwarded unchanged, so the relay headers are sent in addition to the caller's headers.
edge_protocol makeRelayProtocol();

}
