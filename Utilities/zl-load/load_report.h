#pragma once

#include "Utilities/zl-load/load_plan.h"
#include "Utilities/zl-load/load_result.h"
#include <iosfwd>

namespace zinnialedge::utilities::load {

/// Prints a human-readable table.
void printReport(std::ostream&, load_plan const&, load_result const&);
/// Writes a CSV file with one line for each second and stream.
void writeCsv(std::ostream&, load_plan const&, load_result const&);

}
