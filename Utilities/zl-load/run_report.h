#pragma once

#include "Utilities/zl-load/run_series.h"
#include <iosfwd>

namespace zinnialedge::utilities::load {

/// Latency quantiles over time, one panel a stream, on a logarithmic scale, with a line for each mark.
void writeSvg(std::ostream&, std::vector<stream_series> const&, std::vector<time_mark> const&);
/// Each stream between one mark and the next: counts, and the median and the worst of its seconds.
void printSpans(std::ostream&, std::vector<stream_series> const&, std::vector<time_mark> const&);

}
