#pragma once

namespace zinnialedge::benchmarks {

/// Measures the cost of membership per daemon at several numbers of members, on virtual time with the production codec.
void measureMembershipCost();

}
