#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace zinnialedge::wire {

/// Header values by header name. The names are in lower case.
using http_headers = std::map<std::string, std::string>;

struct http_request {
    std::string method { "GET" };
    std::string target { "/" };
    std::string body;
    http_headers headers;
    /// Number that identifies the request within the server that received it; 0 in a request that a client sends.
    std::uint64_t number { 0 };
};

struct http_response {
    int status { 200 };
    std::string body;
    http_headers headers;
    std::string contentType { "application/json" };
};

/// Returns the path of the request target, without the query string.
std::string requestPath(http_request const&);
/// Returns the decoded parameters of the query string.
std::map<std::string, std::string> parseQueryParameters(http_request const&);
/// Returns the text with its ASCII letters in lower case.
std::string toLowerCase(std::string_view);
/// Returns the value of the header with this lower-case name, or an empty string when the header is missing.
std::string headerValue(http_headers const&, std::string const& name);

}
