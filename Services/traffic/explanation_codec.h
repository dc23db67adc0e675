#pragma once

#include "Libraries/zinnialedge/forwarding/request_explanation.h"
#include <map>

namespace zinnialedge::services::traffic {

/// Reads the parameters of GET /route: method, host and path, and optionally tenant. The error names each wrong one.
errors::error_or<forwarding::caller_request> parseExplainedRequest(std::map<std::string, std::string> const& parameters);
/// Returns an explanation as a JSON object. Times are in milliseconds, and what is unknown is null.
std::string formatExplanation(forwarding::request_explanation const&);

}
