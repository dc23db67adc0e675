#pragma once

#include "Libraries/zinnialedge/model/endpoint.h"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace zinnialedge::wire {

/// Header names in lower case.
using http_headers = std::map<std::string, std::string>;

struct http_request {
    std::string method { "GET" };
    std::string target { "/" };
    std::string body;
    http_headers headers;
    /// Names the request at the server that received it.
    std::uint64_t number { 0 };
};

struct http_response {
    int status { 200 };
    std::string body;
    http_headers headers;
    std::string contentType { "application/json" };
};

/// The part of a request target before the question mark.
std::string pathOf(http_request const&);
/// The decoded parameters behind the question mark.
std::map<std::string, std::string> parametersOf(http_request const&);
/// ASCII letters in lower case, as header names are kept here.
std::string toLowerCase(std::string_view);
/// The value of a header, or nothing.
std::string headerOf(http_headers const&, std::string const& name);

}
