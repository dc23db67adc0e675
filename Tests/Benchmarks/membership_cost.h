#pragma once

namespace zinnialedge::benchmarks {

/// What membership costs a daemon at several sizes, on virtual time with the real codec.
void measureMembership();

}
