#pragma once

#include "Libraries/zinnialedge/language/command.h"
#include <functional>

namespace zinnialedge::language {

using report_hook = std::function<void(source_position, std::string)>;

/// Reports every statement that contradicts another one of the same text or itself.
void checkStatements(std::vector<statement> const&, report_hook const&);

}
