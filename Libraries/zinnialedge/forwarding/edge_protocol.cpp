#include "Libraries/zinnialedge/forwarding/edge_protocol.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>

namespace zinnialedge::forwarding {

// Hop-by-hop headers of RFC 9110, section 7.6.1. Content-Length is computed for each hop. Expect is not forwarded because
// bodies are read completely before a request is forwarded.
static constexpr std::array<std::string_view, 11> hopByHopHeaders {
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect"
};

bool isHopByHopHeader(std::string_view name)
{
    return std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(), [&](auto each) { return boost::beast::iequals(each, name); });
}

void appendHeader(std::string& lines, std::string_view name, std::string_view value)
{
    lines += name;
    lines += ": ";
    lines += value;
    lines += "\r\n";
}

}
