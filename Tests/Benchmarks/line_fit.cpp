#include "Tests/Benchmarks/line_fit.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace zinnialedge::benchmarks {

static constexpr double percent = 100;

std::vector<double> parseRates(std::string const& text)
{
    std::vector<double> rates;
    for (std::size_t position = 0; position < text.size();) {
        std::size_t length = 0;
        rates.push_back(std::stod(text.substr(position), &length));
        position += length + 1;
    }
    return rates;
}

line_fit fitLine(std::vector<cost_point> const& points)
{
    auto const count = static_cast<double>(points.size());
    double sizeSum = 0;
    double costSum = 0;
    double squaredSizeSum = 0;
    double productSum = 0;
    double largestCost = 0;
    for (auto const& each : points) {
        sizeSum += each.size;
        costSum += each.cost;
        squaredSizeSum += each.size * each.size;
        productSum += each.size * each.cost;
        largestCost = std::max(largestCost, std::abs(each.cost));
    }
    line_fit fit;
    double const determinant = count * squaredSizeSum - sizeSum * sizeSum;
    fit.slope = determinant > 0 ? (count * productSum - sizeSum * costSum) / determinant : 0;
    fit.intercept = count > 0 ? (costSum - fit.slope * sizeSum) / count : 0;
    for (auto const& each : points) {
        double const error = std::abs(each.cost - fit.intercept - fit.slope * each.size);
        fit.maxErrorPercent = std::max(fit.maxErrorPercent, largestCost > 0 ? percent * error / largestCost : 0);
    }
    return fit;
}

void printFit(std::string const& title, std::string const& unit, std::string const& per, std::vector<cost_point> const& points)
{
    std::printf("%s, %s:", title.c_str(), unit.c_str());
    for (auto const& each : points)
        std::printf("  %g: %.4g", each.size, each.cost);
    auto const fit = fitLine(points);
    std::printf("\n    fit: %.4g + %.4g per %s, worst error %.0f%%\n", fit.intercept, fit.slope, per.c_str(), fit.maxErrorPercent);
    std::fflush(stdout);
}

}
