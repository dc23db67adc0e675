#pragma once

#include "Libraries/zinnialedge/forwarding/edge_protocol.h"

namespace zinnialedge::forwarding {

/// The headers with which one daemon asks another to call leafs of its data centre. The request itself is passed on as it
/// came, so these stand beside the caller's own headers.
edge_protocol makeRelayProtocol();

}
