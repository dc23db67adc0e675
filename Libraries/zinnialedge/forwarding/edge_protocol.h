#pragma once

#include "Libraries/zinnialedge/forwarding/messages.h"
#include <functional>

namespace zinnialedge::forwarding {

/// How the fields of requests and answers are written in HTTP headers. The paths, methods and bodies are passed on as they are.
struct edge_protocol {
    /// Takes what a header of a caller says. False: it is not passed on to leafs.
    std::function<bool(std::string_view name, std::string_view value, caller_request&)> takeRequestHeader;
    /// Appends the header lines of a call beyond those of its request. `left` is what the caller still waits.
    std::function<void(leaf_call const&, std::optional<std::chrono::milliseconds> left, std::string& lines)> writeCallHeaders;
    /// Takes what a header of a leaf says. False: it is not passed on to callers.
    std::function<bool(std::string_view name, std::string_view value, leaf_reply&)> takeReplyHeader;
    /// Appends the header lines of an answer beyond those of the leaf.
    std::function<void(final_answer const&, std::string& lines)> writeAnswerHeaders;
};

/// True for headers that concern one connection only.
bool isConnectionHeader(std::string_view name);
/// Appends the line of one header.
void appendHeader(std::string& lines, std::string_view name, std::string_view value);

}
