#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/model/service_declaration.h"
#include <boost/json/value.hpp>

namespace zinnialedge::configuration {

class json_reader;

/// Reads the fields of a declaration and adds a problem for every invalid field.
model::service_declaration parseServiceFields(json_reader&, std::vector<std::string>& problems);
/// Parses the declaration in a service object of the store. Returns an error that names every invalid field, or
/// `unknown_service` when the service was removed.
errors::error_or<model::service_declaration> parseService(std::string_view text);
boost::json::value toJson(model::service_declaration const&);

}
