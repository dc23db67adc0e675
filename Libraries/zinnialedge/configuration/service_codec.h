#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/model/service_declaration.h"
#include <boost/json/value.hpp>

namespace zinnialedge::configuration {

class json_reader;

/// Reads the fields of a declaration and reports every wrong one.
model::service_declaration parseServiceFields(json_reader&, std::vector<std::string>& problems);
/// Reads a service object as the store holds it; the error names every wrong field.
errors::error_or<model::service_declaration> parseService(std::string_view text);
boost::json::value toJson(model::service_declaration const&);

}
