#pragma once

#include <optional>
#include <string>

namespace zinnialedge::configuration {

/// Returns the complete text of a file, or nothing when the file can't be read.
std::optional<std::string> readTextFile(std::string const& path);

}
