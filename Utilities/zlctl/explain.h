#pragma once

#include <istream>
#include <string>
#include <vector>

namespace zinnialedge::utilities::control {

/// Returns the lines of a log that belong to the request with this identifier, and the leafs' pauses that led to its rejection.
std::vector<std::string> findRequestLines(std::istream& log, std::string const& requestId);
/// Sorts lines from several logs by their time stamps.
std::vector<std::string> sortByTime(std::vector<std::string> lines);

}
