#pragma once

#include "Libraries/zinnialedge/model/service_declaration.h"
#include <string>

namespace zinnialedge::language {

/// Returns the statements that recreate the declaration when they are executed.
std::string formatDeclaration(model::service_declaration const&);

}
