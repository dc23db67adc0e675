#pragma once

// Include this header only from .cpp files, because it includes Beast headers.

#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/wire/http_message.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace zinnialedge::wire {

/// Reads one request of a client. The fields of a trailer are dropped.
class http_request_reader {
public:
    enum class status {
        /// More bytes are needed.
        incomplete,
        complete,
        failed,
    };

    explicit http_request_reader(std::size_t maximumBodyBytes);

    /// Consumes the bytes of the request from the buffer. Must not be called again after the end of the request.
    status read(boost::beast::flat_buffer&);
    /// Returns the reason of a failure.
    errors::error const& failure() const { return m_failure; }
    bool shouldKeepAlive() const { return m_shouldKeepAlive; }
    /// Returns the HTTP version of the request as 10 times the major plus the minor number.
    unsigned httpVersion() const { return m_httpVersion; }
    /// Returns an estimate of the memory that the request takes, in bytes.
    std::size_t heldBytes() const;
    /// Returns the complete request, without a number.
    http_request takeRequest();

private:
    status fail(errors::error_kind, std::string message);
    void takeHead();
    bool isFramingTooLong(std::size_t unparsedBytes) const;

    std::size_t m_maximumBodyBytes { 0 };
    boost::beast::http::request_parser<boost::beast::http::string_body> m_parser;
    http_request m_request;
    errors::error m_failure { errors::error_kind::malformed_request, {}, {} };
    /// Number of bytes consumed behind the head.
    std::size_t m_encodedBodyBytes { 0 };
    unsigned m_httpVersion { 11 };
    bool m_isHeadTaken { false };
    bool m_shouldKeepAlive { true };
};

}
