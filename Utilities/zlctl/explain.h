#pragma once

#include <istream>
#include <string>
#include <vector>

namespace zinnialedge::utilities::control {

/// The lines of a log that tell of that request.
std::vector<std::string> linesOf(std::istream& log, std::string const& requestId);
/// Lines of several logs in the order of the times that they carry.
std::vector<std::string> inOrderOfTime(std::vector<std::string> lines);

}
