#pragma once

#include "Libraries/zinnialedge/wire/http_client.h"
#include <boost/json/value.hpp>

namespace zinnialedge::tests {

/// Sends one request over a new connection and waits for the reply.
wire::http_result callHttp(model::endpoint const&, wire::http_request const&, std::chrono::milliseconds timeout = std::chrono::seconds { 10 });

/// Sends a GET request and returns the parsed JSON body of the reply, or null when the call or the parsing fails.
boost::json::value getJson(model::endpoint const&, std::string const& target);
/// Sends a POST request with a JSON body and waits for the reply.
wire::http_result postJson(model::endpoint const&, std::string const& target, boost::json::value const& body);

/// Polls the condition until the condition holds. Returns false when the timeout expires first.
bool waitUntil(std::function<bool()> const& condition, std::chrono::milliseconds timeout = std::chrono::seconds { 30 });

}
