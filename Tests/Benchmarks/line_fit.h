#pragma once

#include <string>
#include <vector>

namespace zinnialedge::benchmarks {

struct cost_point {
    double size { 0 };
    double cost { 0 };
};

/// Parses a comma-separated list of numbers.
std::vector<double> parseRates(std::string const& text);

/// A straight line fitted to points by least squares.
struct line_fit {
    double intercept { 0 };
    double slope { 0 };
    /// Largest vertical distance of a point from the line, in percent of the largest cost.
    double maxErrorPercent { 0 };
};

line_fit fitLine(std::vector<cost_point> const&);

/// Prints the points and the line fitted to them.
void printFit(std::string const& title, std::string const& unit, std::string const& per, std::vector<cost_point> const&);

}
