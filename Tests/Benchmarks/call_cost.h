#pragma once

namespace zinnialedge::benchmarks {

/// Measures the CPU time of a daemon per leaf call over real sockets.
void measureCallCost();

}
