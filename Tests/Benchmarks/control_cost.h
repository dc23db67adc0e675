#pragma once

namespace zinnialedge::benchmarks {

/// What idle daemons cost by their number, and how long a changed object takes to be in force on all of them.
void measureControl();

}
