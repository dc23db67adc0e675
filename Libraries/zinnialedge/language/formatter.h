#pragma once

#include "Libraries/zinnialedge/model/service_declaration.h"
#include <string>

namespace zinnialedge::language {

/// The statements that declare the service as it is.
std::string formatDeclaration(model::service_declaration const&);

}
