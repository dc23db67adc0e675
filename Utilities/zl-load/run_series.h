#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace zinnialedge::utilities::load {

inline constexpr std::array<char const*, 4> quantileNames { "p50", "p90", "p99", "p99.9" };

/// One second of one stream.
struct second_result {
    double second { 0 };
    std::uint64_t sent { 0 };
    std::uint64_t whole { 0 };
    std::uint64_t partial { 0 };
    std::uint64_t errors { 0 };
    /// In milliseconds, by the place in quantileNames.
    std::array<double, quantileNames.size()> quantiles {};

    auto operator<=>(second_result const&) const = default;
};

/// The seconds of one stream in the order of the file.
struct stream_series {
    std::string name;
    std::vector<second_result> seconds;
};

/// Something that happened during a run, as an injected fault.
struct time_mark {
    double second { 0 };
    std::string text;

    auto operator<=>(time_mark const&) const = default;
};

/// Reads what writeCsv wrote; further columns are passed over. The error names the line.
tl::expected<std::vector<stream_series>, std::string> parseRunCsv(std::string_view text);
/// Lines of "second,text", in the order of time.
tl::expected<std::vector<time_mark>, std::string> parseMarks(std::string_view text);

}
