#pragma once

#include <ostream>
#include <string>

namespace zinnialedge::utilities::control {

/// Prints what a daemon would find in a configuration: one line for each field that makes the version unusable, and for each number that is
/// held at a bound. Returns whether a daemon would use the version.
bool checkConfigurationText(std::string const& text, std::ostream&);

}
