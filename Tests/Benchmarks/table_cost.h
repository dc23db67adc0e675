#pragma once

namespace zinnialedge::benchmarks {

/// Measures in this process the memory and CPU time of a daemon's tables at several sizes.
void measureTableCost();

}
