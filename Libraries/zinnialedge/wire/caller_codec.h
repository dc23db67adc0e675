#pragma once

#include "Libraries/zinnialedge/model/query.h"
#include <string>
#include <string_view>

namespace zinnialedge::wire {

/// Parses the body of POST /query. The error lists every invalid field. A request without an id gets `fallbackId`.
errors::error_or<model::query_request> parseQuery(std::string_view body, std::string const& fallbackId);
std::string formatQuery(model::query_request const&);

/// Returns the response body of a complete or partial answer.
std::string formatAnswer(model::answer const&);
errors::error_or<model::answer> parseAnswer(std::string_view body);

/// Returns the response body of a rejected or failed request.
std::string formatError(errors::error const&, std::string const& requestId = {});
errors::error parseError(std::string_view body);

}
