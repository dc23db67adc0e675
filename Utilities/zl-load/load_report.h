#pragma once

#include "Utilities/zl-load/load_plan.h"
#include "Utilities/zl-load/load_result.h"
#include <iosfwd>

namespace zinnialedge::utilities::load {

/// A table for people.
void printReport(std::ostream&, load_plan const&, load_result const&);
/// One line for each second and stream.
void writeCsv(std::ostream&, load_plan const&, load_result const&);

}
