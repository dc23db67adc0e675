#pragma once

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace zinnialedge::kernel {

/// Formats the metrics of this process in the Prometheus text format. Callers pass metric names without the prefix
/// "zinnialedge_".
class metrics_text {
public:
    /// Appends a counter, whose `name` must end in "_total".
    void counter(std::string_view name, std::uint64_t value);
    /// Appends a counter with one sample for each given value of `label`.
    void counter(std::string_view name, std::string_view label, std::vector<std::pair<std::string_view, std::uint64_t>> const& values);
    void gauge(std::string_view name, std::uint64_t value);

    std::string text() const { return m_text.str(); }

private:
    void writeType(std::string_view name, std::string_view type);

    std::ostringstream m_text;
};

}
