#pragma once

namespace zinnialedge::benchmarks {

/// Measures the CPU time of one daemon per leaf call of gathered requests on the platform's interface.
void measureEdgeCost();

}
