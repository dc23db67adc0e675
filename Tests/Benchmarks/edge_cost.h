#pragma once

namespace zinnialedge::benchmarks {

/// Processor time of one daemon on the platform's interface for each leaf call of gathered requests.
void measureEdge();

}
