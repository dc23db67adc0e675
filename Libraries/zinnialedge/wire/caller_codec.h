#pragma once

#include "Libraries/zinnialedge/model/query.h"
#include <string>
#include <string_view>

namespace zinnialedge::wire {

/// Reads the body of POST /query; the error names every wrong field. A request without an id is given `fallbackId`.
errors::error_or<model::query_request> parseQuery(std::string_view body, std::string const& fallbackId);
std::string formatQuery(model::query_request const&);

/// The body of a whole or partial answer.
std::string formatAnswer(model::answer const&);
errors::error_or<model::answer> parseAnswer(std::string_view body);

/// The body of every refusal and failure.
std::string formatError(errors::error const&, std::string const& requestId = {});
errors::error parseError(std::string_view body);

}
