#include "Utilities/zl-load/run_report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <limits>
#include <ostream>
#include <sstream>

namespace zinnialedge::utilities::load {

static constexpr double panelWidth = 900;
static constexpr double panelHeight = 200;
static constexpr double marginLeft = 60;
static constexpr double marginTop = 40;
static constexpr double lowestMilliseconds = 0.1;
static constexpr std::array<char const*, quantileNames.size()> colours { "#2a9d8f", "#457b9d", "#e76f51", "#9d0208" };
static constexpr std::size_t p99Index = 2;

static std::string escape(std::string const& text)
{
    std::string escaped;
    for (auto const letter : text) {
        if (letter == '<')
            escaped += "&lt;";
        else if (letter == '&')
            escaped += "&amp;";
        else
            escaped += letter;
    }
    return escaped;
}

/// Converts seconds and milliseconds to coordinates within one panel.
class panel_scale {
public:
    panel_scale(std::vector<stream_series> const& streams, double top)
        : m_top(top)
    {
        for (auto const& stream : streams) {
            for (auto const& each : stream.seconds) {
                m_lastSecond = std::max(m_lastSecond, each.second);
                m_highestMilliseconds = std::max(m_highestMilliseconds, *std::max_element(each.quantiles.begin(), each.quantiles.end()));
            }
        }
        m_highestMilliseconds = std::pow(10, std::ceil(std::log10(m_highestMilliseconds)));
    }

    double x(double second) const { return marginLeft + panelWidth * second / m_lastSecond; }
    double y(double milliseconds) const
    {
        double const relativeHeight = std::log10(std::max(milliseconds, lowestMilliseconds) / lowestMilliseconds) / std::log10(m_highestMilliseconds / lowestMilliseconds);
        return m_top + panelHeight * (1 - relativeHeight);
    }
    double highestMilliseconds() const { return m_highestMilliseconds; }
    double bottom() const { return m_top + panelHeight; }

private:
    double m_top;
    double m_lastSecond { 1 };
    double m_highestMilliseconds { 1 };
};

static void drawText(std::ostream& out, double x, double y, char const* colour, std::string const& text)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" fill=\"" << colour << "\">" << escape(text) << "</text>\n";
}

static void drawLine(std::ostream& out, double x1, double y1, double x2, double y2, char const* style)
{
    out << "<line x1=\"" << x1 << "\" y1=\"" << y1 << "\" x2=\"" << x2 << "\" y2=\"" << y2 << "\" " << style << "/>\n";
}

static void drawPanel(std::ostream& out, stream_series const& stream, panel_scale const& scale, std::vector<time_mark> const& marks)
{
    static constexpr double labelOffset = 4;
    static constexpr double legendStep = 50;
    double const top = scale.y(scale.highestMilliseconds());
    drawText(out, marginLeft, top - labelOffset, "black", stream.name + ", ms");
    auto const decades = static_cast<int>(std::lround(std::log10(scale.highestMilliseconds() / lowestMilliseconds)));
    for (int decade = 0; decade <= decades; ++decade) {
        double const step = lowestMilliseconds * std::pow(10, decade);
        std::ostringstream label;
        label << step;
        drawLine(out, marginLeft, scale.y(step), marginLeft + panelWidth, scale.y(step), "stroke=\"#ccc\"");
        drawText(out, labelOffset, scale.y(step) + labelOffset, "black", label.str());
    }
    for (std::size_t quantile = 0; quantile < quantileNames.size(); ++quantile) {
        drawText(out, marginLeft + panelWidth - legendStep * static_cast<double>(quantileNames.size() - quantile), top - labelOffset, colours.at(quantile), quantileNames.at(quantile));
        out << "<polyline fill=\"none\" stroke=\"" << colours.at(quantile) << "\" points=\"";
        for (auto const& each : stream.seconds)
            out << scale.x(each.second) << ',' << scale.y(each.quantiles.at(quantile)) << ' ';
        out << "\"/>\n";
    }
    for (auto const& mark : marks) {
        drawLine(out, scale.x(mark.second), top, scale.x(mark.second), scale.bottom(), "stroke=\"black\" stroke-dasharray=\"4\"");
        drawText(out, scale.x(mark.second) + labelOffset, scale.bottom() - labelOffset, "black", mark.text);
    }
}

void writeSvg(std::ostream& out, std::vector<stream_series> const& streams, std::vector<time_mark> const& marks)
{
    double const height = static_cast<double>(streams.size()) * (panelHeight + marginTop) + marginTop;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << panelWidth + 2 * marginLeft << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    double top = marginTop;
    for (auto const& stream : streams) {
        drawPanel(out, stream, { streams, top }, marks);
        top += panelHeight + marginTop;
    }
    out << "</svg>\n";
}

static void printSpanRow(std::ostream& out, stream_series const& stream, time_mark const& start, double until)
{
    second_result sum;
    std::vector<double> latencies;
    for (auto const& each : stream.seconds) {
        if (each.second < start.second || each.second >= until)
            continue;
        sum.sent += each.sent;
        sum.complete += each.complete;
        sum.partial += each.partial;
        sum.errors += each.errors;
        if (each.complete + each.partial > 0)
            latencies.push_back(each.quantiles.at(p99Index));
    }
    std::sort(latencies.begin(), latencies.end());
    out << std::left << std::setw(34) << stream.name << std::setw(24) << start.text << std::right << std::fixed << std::setprecision(1)
        << std::setw(9) << sum.sent << std::setw(9) << sum.complete << std::setw(9) << sum.partial << std::setw(9) << sum.errors
        << std::setw(12) << (latencies.empty() ? 0 : latencies[latencies.size() / 2])
        << std::setw(12) << (latencies.empty() ? 0 : latencies.back()) << "\n";
}

void printSpanTable(std::ostream& out, std::vector<stream_series> const& streams, std::vector<time_mark> const& marks)
{
    out << std::left << std::setw(34) << "service/request" << std::setw(24) << "from" << std::right
        << std::setw(9) << "sent" << std::setw(9) << "whole" << std::setw(9) << "partial" << std::setw(9) << "errors"
        << std::setw(12) << "median p99" << std::setw(12) << "worst p99" << "\n";
    std::vector<time_mark> starts { { 0, "start" } };
    starts.insert(starts.end(), marks.begin(), marks.end());
    for (auto const& stream : streams) {
        for (std::size_t start = 0; start < starts.size(); ++start) {
            double const until = start + 1 < starts.size() ? starts[start + 1].second : std::numeric_limits<double>::infinity();
            printSpanRow(out, stream, starts[start], until);
        }
    }
}

}
