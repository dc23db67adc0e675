#pragma once

namespace zinnialedge::benchmarks {

/// Measures the costs of idle daemons by the number of daemons, and the time until a changed object is in effect on all of them.
void measureControlCost();

}
