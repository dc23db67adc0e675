#pragma once

#include "Libraries/zinnialedge/wire/http_client.h"
#include <boost/json/value.hpp>

namespace zinnialedge::tests {

/// One request over a connection of its own; waits for the reply.
wire::http_result callHttp(model::endpoint const&, wire::http_request const&, std::chrono::milliseconds timeout = std::chrono::seconds { 10 });

/// The same for JSON: the parsed body of the reply, or null.
boost::json::value getJson(model::endpoint const&, std::string const& target);
wire::http_result postJson(model::endpoint const&, std::string const& target, boost::json::value const& body);

/// Checks again and again until the condition holds; false when it does not within the timeout.
bool waitUntil(std::function<bool()> const& condition, std::chrono::milliseconds timeout = std::chrono::seconds { 30 });

}
