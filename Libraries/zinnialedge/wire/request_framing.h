#pragma once

#include <span>
#include <string_view>

namespace zinnialedge::wire {

/// Header fields that tell where the body of a request ends.
struct request_framing {
    /// Values of the Transfer-Encoding fields, in order.
    std::span<std::string_view const> transferEncodings;
    bool hasContentLength { false };
    /// HTTP version as 10 times the major plus the minor number.
    unsigned httpVersion { 11 };
};

/// Returns whether the end of the body is certain. Otherwise the request must be rejected and its connection closed, since bytes of the body could be
/// taken for another request (RFC 9112, sections 6.1, 6.3 and 11.2). The parser checks the value of Content-Length.
bool isFramingCertain(request_framing const&);

/// Finds header lines that continue the previous one (obsolete line folding) in the bytes of a request's head, which may come in pieces.
class folded_line_finder {
public:
    /// Takes the next bytes of the request. Bytes behind the head are ignored.
    void add(std::string_view bytes);
    bool hasFound() const { return m_hasFound; }

private:
    /// Number of bytes of "\r\n\r\n" that the last bytes match.
    unsigned m_matchedEndBytes { 0 };
    bool m_hasStarted { false };
    bool m_hasFound { false };
};

}
