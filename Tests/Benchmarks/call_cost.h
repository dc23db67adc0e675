#pragma once

namespace zinnialedge::benchmarks {

/// Processor time of a daemon for each leaf call, over real sockets.
void measureCalls();

}
