#pragma once

#include "Libraries/zinnialedge/forwarding/edge_protocol.h"
#include "Libraries/zinnialedge/forwarding/route.h"
#include "Libraries/zinnialedge/wire/request_framing.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace zinnialedge::services::traffic {

/// Reads one request of a caller. The fields of a trailer are dropped.
class request_reader {
public:
    enum class status {
        /// More bytes are needed.
        incomplete,
        complete,
        failed,
    };

    /// `protocol` must outlive the reader.
    request_reader(forwarding::edge_protocol const& protocol, forwarding::caller_limits const&);

    /// Consumes the bytes of the request from the buffer. Must not be called again after the end of the request.
    status read(boost::beast::flat_buffer&);
    /// Returns the reason of a failure.
    errors::error_kind failure() const { return m_failure; }
    bool isHeadComplete() const { return m_isHeadComplete; }
    /// Returns whether the caller waits for an interim response before it sends the body.
    bool expectsContinue() const { return m_expectsContinue; }
    bool shouldKeepAlive() const { return m_shouldKeepAlive; }
    /// Returns the memory that the request takes, in bytes.
    std::size_t heldBytes() const;
    /// Returns the complete request.
    forwarding::caller_request takeRequest();

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    status fail(errors::error_kind);
    void takeHead();
    /// Returns whether the head leaves no doubt where the request ends.
    bool isHeadSound() const;
    bool isFramingTooLong(std::size_t unparsedBytes) const;

    forwarding::edge_protocol const& m_protocol;
    std::size_t m_maximumHeadBytes { 0 };
    parser m_parser;
    wire::folded_line_finder m_foldedLines;
    forwarding::caller_request m_request;
    errors::error_kind m_failure { errors::error_kind::malformed_request };
    /// Number of bytes consumed from the head, and behind it.
    std::size_t m_headBytes { 0 };
    std::size_t m_encodedBodyBytes { 0 };
    bool m_isHeadComplete { false };
    bool m_expectsContinue { false };
    bool m_shouldKeepAlive { true };
};

/// Returns the memory that a request takes, in bytes.
std::size_t memoryOf(forwarding::caller_request const&);

}
