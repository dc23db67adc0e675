#include "Services/traffic/request_reader.h"

#include "Libraries/zinnialedge/wire/beast_framing.h"
#include <boost/beast/http/rfc7230.hpp>

namespace zinnialedge::services::traffic {

namespace beast = boost::beast;
namespace http = beast::http;
using errors::error_kind;

/// Memory of a field besides its bytes, in the parser.
static constexpr std::size_t fieldOverhead = 80;
/// Greatest ratio of the bytes in which a body is sent to those of the body: a chunk of one byte takes six, and some senders pad the size.
static constexpr std::size_t maximumEncodingRatio = 16;

request_reader::request_reader(forwarding::edge_protocol const& protocol, forwarding::caller_limits const& limits)
    : m_protocol(protocol)
    , m_maximumHeadBytes(limits.headerBytes)
{
    m_parser.header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(limits.headerBytes, std::numeric_limits<std::uint32_t>::max())));
    m_parser.body_limit(limits.bodyBytes);
}

request_reader::status request_reader::fail(error_kind kind)
{
    m_failure = kind;
    return status::failed;
}

request_reader::status request_reader::read(beast::flat_buffer& buffer)
{
    while (!m_parser.is_done() && buffer.size() > 0) {
        beast::error_code failure;
        auto const consumed = m_parser.put(buffer.data(), failure);
        if (!m_isHeadComplete)
            m_foldedLines.add({ static_cast<char const*>(buffer.data().data()), consumed });
        (m_isHeadComplete ? m_encodedBodyBytes : m_headBytes) += consumed;
        buffer.consume(consumed);
        if (failure == http::error::body_limit)
            return fail(error_kind::request_too_large);
        if (failure == http::error::header_limit)
            return fail(error_kind::headers_too_large);
        if (failure && failure != http::error::need_more)
            return fail(error_kind::malformed_request);
        if (m_parser.is_header_done() && !m_isHeadComplete) {
            if (!isHeadSound())
                return fail(error_kind::malformed_request);
            takeHead();
            continue;
        }
        if (failure || consumed == 0)
            break;
    }
    if (m_parser.is_done())
        return status::complete;
    return isFramingTooLong(buffer.size()) ? fail(error_kind::headers_too_large) : status::incomplete;
}

bool request_reader::isFramingTooLong(std::size_t unparsedBytes) const
{
    // The parser limits the head and the body, but neither trailers nor the extensions of chunks.
    return m_isHeadComplete && (unparsedBytes > m_maximumHeadBytes || m_encodedBodyBytes > m_maximumHeadBytes + maximumEncodingRatio * m_parser.get().body().size());
}

bool request_reader::isHeadSound() const
{
    return !m_foldedLines.hasFound() && wire::isFramingCertain(m_parser.get());
}

/// Returns true for a header that the request's Connection header lists: such a header applies to this connection only.
static bool isNamedByConnection(beast::string_view connection, beast::string_view name)
{
    return !connection.empty() && http::token_list { connection }.exists(name);
}

void request_reader::takeHead()
{
    m_isHeadComplete = true;
    m_shouldKeepAlive = m_parser.keep_alive();
    auto& message = m_parser.get();
    m_expectsContinue = beast::iequals(message[http::field::expect], "100-continue");
    m_request.method = std::string { message.method_string() };
    m_request.target = std::string { message.target() };
    auto const connection = message[http::field::connection];
    for (auto const& field : message) {
        std::string_view const name { field.name_string().data(), field.name_string().size() };
        std::string_view const value { field.value().data(), field.value().size() };
        if (field.name() == http::field::host)
            m_request.host = std::string { value.substr(0, value.find(':')) };
        if (forwarding::isHopByHopHeader(name) || isNamedByConnection(connection, field.name_string()))
            continue;
        if (m_protocol.parseRequestHeader(name, value, m_request))
            m_request.headers.push_back({ std::string { name }, std::string { value } });
    }
    // Fields of a trailer may not be merged into the head (RFC 9110, section 6.5.1), so the head is taken before the parser reads on.
    message.clear();
    m_parser.eager(true);
}

std::size_t request_reader::heldBytes() const
{
    auto const& message = m_parser.get();
    auto const fieldCount = static_cast<std::size_t>(std::distance(message.begin(), message.end()));
    return fieldCount * fieldOverhead + m_headBytes + memoryOf(m_request) + message.body().capacity();
}

forwarding::caller_request request_reader::takeRequest()
{
    m_request.body = std::move(m_parser.get().body());
    return std::move(m_request);
}

std::size_t memoryOf(forwarding::caller_request const& request)
{
    auto bytes = sizeof(request) + request.target.capacity() + request.body.capacity() + request.headers.capacity() * sizeof(forwarding::header);
    for (auto const& each : request.headers) {
        // Short strings are stored within the object.
        static auto const inlineBytes = std::string {}.capacity();
        bytes += each.name.capacity() > inlineBytes ? each.name.capacity() : 0;
        bytes += each.value.capacity() > inlineBytes ? each.value.capacity() : 0;
    }
    return bytes;
}

}
