#include "Libraries/zinnialedge/wire/request_framing.h"

#include <boost/algorithm/string/predicate.hpp>

namespace zinnialedge::wire {

static constexpr unsigned firstVersionWithChunks = 11;

bool isFramingCertain(request_framing const& framing)
{
    if (framing.transferEncodings.empty())
        return true;
    // No other coding is decoded here, and a length beside the coding may be what another reader of the request goes by.
    return framing.transferEncodings.size() == 1 && boost::algorithm::iequals(framing.transferEncodings.front(), "chunked") && !framing.hasContentLength && framing.httpVersion >= firstVersionWithChunks;
}

void folded_line_finder::add(std::string_view bytes)
{
    static constexpr std::string_view headEnd = "\r\n\r\n";
    static constexpr unsigned lineEndBytes = 2;
    for (auto const character : bytes) {
        if (m_matchedEndBytes == headEnd.size())
            return;
        m_hasFound |= m_hasStarted && m_matchedEndBytes == lineEndBytes && (character == ' ' || character == '\t');
        // Empty lines before the request line don't end the head.
        bool const isLineEnd = character == '\r' || character == '\n';
        if (!m_hasStarted && isLineEnd)
            continue;
        m_hasStarted = true;
        if (character == headEnd[m_matchedEndBytes])
            ++m_matchedEndBytes;
        else
            m_matchedEndBytes = character == headEnd.front() ? 1 : 0;
    }
}

}
