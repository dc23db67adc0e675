#pragma once

#include "Utilities/zl-load/run_series.h"
#include <iosfwd>

namespace zinnialedge::utilities::load {

/// Plots latency quantiles over time on a logarithmic scale, with one panel per stream and one vertical line per mark.
void writeSvg(std::ostream&, std::vector<stream_series> const&, std::vector<time_mark> const&);
/// Prints, for each stream and each span between two consecutive marks, the request counts and the median and maximum of
/// the p99 latencies of all seconds in the span.
void printSpanTable(std::ostream&, std::vector<stream_series> const&, std::vector<time_mark> const&);

}
