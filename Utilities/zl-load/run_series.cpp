#include "Utilities/zl-load/run_series.h"

#include <algorithm>
#include <charconv>
#include <map>

namespace zinnialedge::utilities::load {

using cells = std::vector<std::string_view>;

static cells split(std::string_view text, char separator)
{
    cells parts;
    while (true) {
        auto const end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
            return parts;
        text.remove_prefix(end + 1);
    }
}

static tl::unexpected<std::string> failAtLine(std::size_t line, std::string const& reason)
{
    std::string text { "line " };
    text += std::to_string(line + 1);
    return tl::unexpected(text + ": " + reason);
}

template <typename T>
static bool readNumber(std::string_view text, T& number)
{
    auto const* begin = text.data();
    auto const* end = begin + text.size();
    auto const result = std::from_chars(begin, end, number);
    return result.ec == std::errc {} && result.ptr == end;
}

/// Maps the name of each required CSV column to its index.
class csv_columns {
public:
    static tl::expected<csv_columns, std::string> find(std::string_view header)
    {
        csv_columns columns;
        auto const names = split(header, ',');
        columns.m_count = names.size();
        for (auto const* required : { "second", "service", "request", "sent", "whole", "partial", "errors", "p50_ms", "p90_ms", "p99_ms", "p999_ms" }) {
            auto const found = std::find(names.begin(), names.end(), required);
            if (found == names.end())
                return failAtLine(0, std::string { "missing column " } + required);
            columns.m_indices[required] = static_cast<std::size_t>(found - names.begin());
        }
        return columns;
    }

    std::size_t count() const { return m_count; }
    std::string_view of(cells const& row, char const* name) const { return row[m_indices.at(name)]; }

private:
    std::map<std::string, std::size_t> m_indices;
    std::size_t m_count { 0 };
};

static bool readSecond(csv_columns const& columns, cells const& row, second_result& result)
{
    auto& [p50, p90, p99, p999] = result.quantiles;
    return row.size() == columns.count()
        && readNumber(columns.of(row, "second"), result.second)
        && readNumber(columns.of(row, "sent"), result.sent)
        && readNumber(columns.of(row, "whole"), result.complete)
        && readNumber(columns.of(row, "partial"), result.partial)
        && readNumber(columns.of(row, "errors"), result.errors)
        && readNumber(columns.of(row, "p50_ms"), p50)
        && readNumber(columns.of(row, "p90_ms"), p90)
        && readNumber(columns.of(row, "p99_ms"), p99)
        && readNumber(columns.of(row, "p999_ms"), p999);
}

tl::expected<std::vector<stream_series>, std::string> parseRunCsv(std::string_view text)
{
    auto const lines = split(text, '\n');
    auto const columns = csv_columns::find(lines.front());
    if (!columns)
        return tl::unexpected(columns.error());
    std::vector<stream_series> streams;
    for (std::size_t line = 1; line < lines.size(); ++line) {
        if (lines[line].empty())
            continue;
        auto const row = split(lines[line], ',');
        second_result result;
        if (!readSecond(*columns, row, result))
            return failAtLine(line, "expected " + std::to_string(columns->count()) + " values, as in the header");
        auto const name = std::string { columns->of(row, "service") } + "/" + std::string { columns->of(row, "request") };
        auto series = std::find_if(streams.begin(), streams.end(), [&](auto const& each) { return each.name == name; });
        if (series == streams.end())
            series = streams.insert(series, { name, {} });
        series->seconds.push_back(result);
    }
    return streams;
}

tl::expected<std::vector<time_mark>, std::string> parseMarks(std::string_view text)
{
    std::vector<time_mark> marks;
    auto const lines = split(text, '\n');
    for (std::size_t line = 0; line < lines.size(); ++line) {
        if (lines[line].empty())
            continue;
        auto const comma = lines[line].find(',');
        time_mark mark;
        if (comma == std::string_view::npos || !readNumber(lines[line].substr(0, comma), mark.second))
            return failAtLine(line, "expected SECOND,TEXT");
        mark.text = lines[line].substr(comma + 1);
        marks.push_back(std::move(mark));
    }
    std::sort(marks.begin(), marks.end());
    return marks;
}

}
