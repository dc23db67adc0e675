#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace zinnialedge::utilities::load {

inline constexpr std::array<char const*, 4> quantileNames { "p50", "p90", "p99", "p99.9" };

/// Results of one stream in one second.
struct second_result {
    double second { 0 };
    std::uint64_t sent { 0 };
    std::uint64_t complete { 0 };
    std::uint64_t partial { 0 };
    std::uint64_t errors { 0 };
    /// Latency quantiles in milliseconds, in the order of quantileNames.
    std::array<double, quantileNames.size()> quantiles {};

    auto operator<=>(second_result const&) const = default;
};

/// Results of one stream for each second, in the order of the CSV file.
struct stream_series {
    std::string name;
    std::vector<second_result> seconds;
};

/// An event during a run, for example an injected fault.
struct time_mark {
    double second { 0 };
    std::string text;

    auto operator<=>(time_mark const&) const = default;
};

/// Parses a file written by writeCsv(). Unknown columns are ignored. The error contains the line number.
tl::expected<std::vector<stream_series>, std::string> parseRunCsv(std::string_view text);
/// Parses lines of the form "SECOND,TEXT". Returns the marks in chronological order.
tl::expected<std::vector<time_mark>, std::string> parseMarks(std::string_view text);

}
