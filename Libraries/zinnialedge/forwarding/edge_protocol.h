#pragma once

#include "Libraries/zinnialedge/forwarding/messages.h"
#include <functional>

namespace zinnialedge::forwarding {

/// Conversion between message fields and HTTP headers. Paths, methods and bodies are forwarded unchanged.
struct edge_protocol {
    /// Parses a caller's header into the request. Returns false when the header must not be forwarded to leafs.
    std::function<bool(std::string_view name, std::string_view value, caller_request&)> parseRequestHeader;
    /// Appends the header lines that a call has in addition to those of its request. `left` is the caller's remaining time.
    std::function<void(leaf_call const&, std::optional<std::chrono::milliseconds> left, std::string& lines)> writeCallHeaders;
    /// Parses a leaf's header into the reply. Returns false when the header must not be forwarded to callers.
    std::function<bool(std::string_view name, std::string_view value, leaf_reply&)> parseReplyHeader;
    /// Appends the header lines that an answer has in addition to those of the leaf's reply.
    std::function<void(final_answer const&, std::string& lines)> writeAnswerHeaders;
    /// Parses a header that concerns the identity of callers; `parseRequestHeader` does so as well. Returns false when the header must
    /// not be forwarded to leafs.
    std::function<bool(std::string_view name, std::string_view value, caller_request&)> parseAccessHeader {};
};

/// Returns true for hop-by-hop headers, which apply to a single connection.
bool isHopByHopHeader(std::string_view name);
/// Appends one header line to `lines`.
void appendHeader(std::string& lines, std::string_view name, std::string_view value);

}
