#include "Tests/Benchmarks/line_fit.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace zinnialedge::benchmarks {

static constexpr double percent = 100;

std::vector<double> parseRates(std::string const& text)
{
    std::vector<double> rates;
    for (std::size_t at = 0; at < text.size();) {
        std::size_t length = 0;
        rates.push_back(std::stod(text.substr(at), &length));
        at += length + 1;
    }
    return rates;
}

line_fit fitLine(std::vector<point> const& points)
{
    auto const count = static_cast<double>(points.size());
    double sizes = 0;
    double costs = 0;
    double squares = 0;
    double products = 0;
    double largest = 0;
    for (auto const& each : points) {
        sizes += each.size;
        costs += each.cost;
        squares += each.size * each.size;
        products += each.size * each.cost;
        largest = std::max(largest, std::abs(each.cost));
    }
    line_fit fit;
    double const spread = count * squares - sizes * sizes;
    fit.slope = spread > 0 ? (count * products - sizes * costs) / spread : 0;
    fit.fixed = count > 0 ? (costs - fit.slope * sizes) / count : 0;
    for (auto const& each : points) {
        double const distance = std::abs(each.cost - fit.fixed - fit.slope * each.size);
        fit.worstErrorPercent = std::max(fit.worstErrorPercent, largest > 0 ? percent * distance / largest : 0);
    }
    return fit;
}

void printSlope(std::string const& title, std::string const& unit, std::string const& per, std::vector<point> const& points)
{
    std::printf("%s, %s:", title.c_str(), unit.c_str());
    for (auto const& each : points)
        std::printf("  %g: %.4g", each.size, each.cost);
    auto const fit = fitLine(points);
    std::printf("\n    fit: %.4g + %.4g per %s, worst error %.0f%%\n", fit.fixed, fit.slope, per.c_str(), fit.worstErrorPercent);
    std::fflush(stdout);
}

}
