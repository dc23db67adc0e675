#pragma once

#include "Libraries/zinnialedge/language/command.h"
#include <functional>

namespace zinnialedge::language {

using report_hook = std::function<void(source_position, std::string)>;

/// Reports every statement that contradicts itself or another statement of the same command text.
void checkStatements(std::vector<statement> const&, report_hook const&);

}
