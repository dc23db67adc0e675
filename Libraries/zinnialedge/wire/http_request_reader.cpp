#include "Libraries/zinnialedge/wire/http_request_reader.h"

#include "Libraries/zinnialedge/wire/beast_framing.h"

namespace zinnialedge::wire {

namespace beast = boost::beast;
namespace http = beast::http;
using errors::error_kind;

/// Maximum size of a chunk's line or a trailer.
static constexpr std::size_t maximumFramingBytes = 16'384;
/// Greatest ratio of the bytes in which a body is sent to those of the body.
static constexpr std::size_t maximumEncodingRatio = 16;
/// Memory of a header field besides its bytes, in the parser.
static constexpr std::size_t fieldOverhead = 80;

http_request_reader::http_request_reader(std::size_t maximumBodyBytes)
    : m_maximumBodyBytes(maximumBodyBytes)
{
    m_parser.body_limit(maximumBodyBytes);
}

http_request_reader::status http_request_reader::fail(error_kind kind, std::string message)
{
    m_failure = { kind, std::move(message), {} };
    return status::failed;
}

http_request_reader::status http_request_reader::read(beast::flat_buffer& buffer)
{
    while (!m_parser.is_done() && buffer.size() > 0) {
        beast::error_code failure;
        auto const consumed = m_parser.put(buffer.data(), failure);
        buffer.consume(consumed);
        m_encodedBodyBytes += m_isHeadTaken ? consumed : 0;
        if (failure == http::error::body_limit || failure == http::error::header_limit)
            return fail(error_kind::request_too_large, "the request exceeds the limit of " + std::to_string(m_maximumBodyBytes) + " bytes");
        if (failure && failure != http::error::need_more)
            return fail(error_kind::malformed_request, "malformed HTTP request: " + failure.message());
        if (m_parser.is_header_done() && !m_isHeadTaken) {
            if (!isFramingCertain(m_parser.get()))
                return fail(error_kind::malformed_request, "the request does not tell where its body ends");
            takeHead();
            continue;
        }
        if (failure || consumed == 0)
            break;
    }
    if (m_parser.is_done())
        return status::complete;
    if (isFramingTooLong(buffer.size()))
        return fail(error_kind::request_too_large, "the line of a chunk or the trailer is too long");
    return status::incomplete;
}

bool http_request_reader::isFramingTooLong(std::size_t unparsedBytes) const
{
    // The parser limits the head and the body, but neither trailers nor the extensions of chunks.
    return m_isHeadTaken && (unparsedBytes > maximumFramingBytes || m_encodedBodyBytes > maximumFramingBytes + maximumEncodingRatio * m_parser.get().body().size());
}

void http_request_reader::takeHead()
{
    m_isHeadTaken = true;
    m_shouldKeepAlive = m_parser.keep_alive();
    auto& message = m_parser.get();
    m_httpVersion = message.version();
    m_request.method = std::string { message.method_string() };
    m_request.target = std::string { message.target() };
    for (auto const& field : message) {
        auto name = toLowerCase(field.name_string());
        m_request.headers[std::move(name)] = std::string { field.value() };
    }
    // Fields of a trailer may not be merged into the head (RFC 9110, section 6.5.1), so the head is taken before the parser reads on.
    message.clear();
    m_parser.eager(true);
}

std::size_t http_request_reader::heldBytes() const
{
    auto const& message = m_parser.get();
    auto const fieldCount = static_cast<std::size_t>(std::distance(message.begin(), message.end())) + m_request.headers.size();
    return message.body().capacity() + fieldCount * fieldOverhead;
}

http_request http_request_reader::takeRequest()
{
    m_request.body = std::move(m_parser.get().body());
    return std::move(m_request);
}

}
