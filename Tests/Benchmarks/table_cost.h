#pragma once

namespace zinnialedge::benchmarks {

/// Memory and time of the tables that a daemon keeps, in this process, at several sizes.
void measureTables();

}
