#include "Libraries/zinnialedge/forwarding/edge_protocol.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>

namespace zinnialedge::forwarding {

// RFC 9110, section 7.6.1; the length is written anew for each hop, and a body is never passed on half read.
static constexpr std::array<std::string_view, 11> connectionHeaders {
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect"
};

bool isConnectionHeader(std::string_view name)
{
    return std::any_of(connectionHeaders.begin(), connectionHeaders.end(), [&](auto each) { return boost::beast::iequals(each, name); });
}

void appendHeader(std::string& lines, std::string_view name, std::string_view value)
{
    lines += name;
    lines += ": ";
    lines += value;
    lines += "\r\n";
}

}
