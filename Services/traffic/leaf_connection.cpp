#include "Services/traffic/leaf_connection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <cerrno>
#include <charconv>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace zinnialedge::services::traffic {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using forwarding::call_failure;

static constexpr std::size_t readChunkBytes = 8192;
/// Misdirected Request: RFC 9110, section 15.5.20. Beast 1.81 defines no name for this status.
static constexpr int misdirectedStatus = 421;
/// Maximum size of a chunk's line or a trailer.
static constexpr std::size_t maximumFramingBytes = 64U << 10U;
/// Size above which an unfinished reply counts as large.
static constexpr std::size_t largeReplyBytes = 64U << 10U;
/// A leaf that sends no Keep-Alive timeout closes an idle connection within a second.
static constexpr std::chrono::milliseconds defaultIdleTimeout { 700 };
/// Allowance for the transit time of a request to the leaf and for the resolution of the leaf's clock.
static constexpr std::chrono::milliseconds idleMargin { 500 };
/// A request that must not run twice is not sent over a connection that the leaf may be closing.
static constexpr std::chrono::milliseconds unrepeatableIdleTimeout { 300 };
/// Maximum number of replies to earlier calls that are discarded before the connection is closed.
static constexpr unsigned maximumDiscardedReplies = 2;

leaf_connection::leaf_connection(asio::io_context& context, leaf_connection_hooks hooks)
    : m_context(context)
    , m_hooks(std::move(hooks))
    , m_socket(context)
    , m_idleTimeout(defaultIdleTimeout)
    , m_unfinishedReplyCharge(m_hooks.unfinishedReplies)
{
}

std::string_view toString(connect_failure failure)
{
    switch (failure) {
    case connect_failure::refused:
        return "refused";
    case connect_failure::reset:
        return "reset";
    case connect_failure::timed_out:
        return "timed_out";
    case connect_failure::other:
        break;
    }
    return "other";
}

static connect_failure connectFailureOf(beast::error_code failure)
{
    if (failure == asio::error::connection_refused)
        return connect_failure::refused;
    if (failure == asio::error::connection_reset)
        return connect_failure::reset;
    return failure == asio::error::timed_out ? connect_failure::timed_out : connect_failure::other;
}

beast::error_code leaf_connection::bindTo(std::string const& source)
{
    beast::error_code failure;
    auto const address = asio::ip::make_address(source, failure);
    if (!failure)
        m_socket.open(tcp::v4(), failure);
    // The kernel chooses the port when the connection opens, so that connections to different leafs can share one.
    int const isPortChosenLater = 1;
    if (!failure && ::setsockopt(m_socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &isPortChosenLater, sizeof(isPortChosenLater)) != 0)
        failure = { errno, boost::system::system_category() };
    if (!failure)
        m_socket.bind({ address, 0 }, failure);
    return failure;
}

void leaf_connection::connectAndSend(model::endpoint const& endpoint, std::string const& source, serialized_call call)
{
    m_connectStartedAt = std::chrono::steady_clock::now();
    m_call = std::move(call);
    beast::error_code failure;
    auto const address = asio::ip::make_address(endpoint.address, failure);
    if (!failure && !source.empty())
        failure = bindTo(source);
    if (failure) {
        asio::post(m_context, [self = shared_from_this()] { self->abort(call_failure::not_sent); });
        return;
    }
    m_socket.async_connect(tcp::endpoint { address, endpoint.port }, [self = shared_from_this()](beast::error_code result) {
        if (self->m_isClosed)
            return;
        if (result) {
            self->abandonConnect(connectFailureOf(result));
            return;
        }
        beast::error_code ignored;
        self->m_socket.set_option(tcp::no_delay(true), ignored);
        self->m_socket.non_blocking(true, ignored);
        if (self->m_hooks.isCallWanted && !self->m_hooks.isCallWanted(self->m_call->number)) {
            self->abort(call_failure::withheld);
            return;
        }
        self->m_isConnected = true;
        if (self->m_hooks.callConnected)
            self->m_hooks.callConnected(self->m_call->number);
        self->writeCall();
        if (!self->m_isClosed)
            self->readMore();
    });
}

bool leaf_connection::isLikelyOpen(kernel::time_point now, bool isRepeatable) const
{
    auto const limit = isRepeatable ? m_idleTimeout : std::min<kernel::duration>(m_idleTimeout, unrepeatableIdleTimeout);
    return now - m_idleSince < limit;
}

void leaf_connection::send(serialized_call call)
{
    m_call = std::move(call);
    writeCall();
}

void leaf_connection::writeCall()
{
    ++m_callCount;
    m_discardedReplyCount = 0;
    m_receivedBytes = 0;
    m_parser.reset();
    beast::error_code failure;
    auto const written = m_socket.write_some(m_call->buffers(), failure);
    if (failure && failure != asio::error::would_block) {
        asio::post(m_context, [self = shared_from_this()] { self->abort(call_failure::broken); });
        return;
    }
    if (written < asio::buffer_size(m_call->buffers()))
        writeRemainder(written);
    else
        m_call->dropBytes();
}

void leaf_connection::writeRemainder(std::size_t written)
{
    m_isWritePending = true;
    // The call may end before its bytes have been written.
    auto const call = std::make_shared<serialized_call>(std::move(*m_call));
    m_call = serialized_call { call->number, call->attemptId, call->isHead, call->isRepeatable, {}, {}, call->replyLimit };
    auto remainder = beast::buffers_suffix<serialized_call::buffer_list> { call->buffers() };
    remainder.consume(written);
    asio::async_write(m_socket, remainder, [self = shared_from_this(), call](beast::error_code failure, std::size_t) {
        self->m_isWritePending = false;
        if (failure && !self->m_isClosed && self->m_call)
            self->abort(call_failure::broken);
    });
}

void leaf_connection::readMore()
{
    m_socket.async_read_some(m_buffer.prepare(readChunkBytes), [self = shared_from_this()](beast::error_code failure, std::size_t bytes) { self->handleRead(failure, bytes); });
}

void leaf_connection::handleRead(beast::error_code failure, std::size_t bytes)
{
    if (m_isClosed)
        return;
    m_buffer.commit(bytes);
    m_receivedBytes += bytes;
    if (failure == asio::error::eof && m_call && m_parser && m_parser->got_some()) {
        // A body without a declared length ends when the leaf closes the connection. A connection reset does not complete the body.
        beast::error_code incomplete;
        m_parser->put_eof(incomplete);
        if (!incomplete && m_parser->is_done()) {
            finishReply();
            return;
        }
    }
    if (failure || !m_call) {
        if (!failure)
            reportUnexpectedReply();
        // Bytes that belong to no call make the connection unusable.
        abort(m_receivedBytes == 0 ? call_failure::broken : call_failure::malformed);
        return;
    }
    parseReplies();
    if (m_isClosed)
        return;
    if (!accountReplyBytes()) {
        abort(call_failure::malformed);
        return;
    }
    readMore();
}

bool leaf_connection::accountReplyBytes()
{
    bool const isHeadRead = m_parser && m_parser->is_header_done();
    auto const held = m_buffer.size() + (isHeadRead ? m_parser->get().body().size() : 0);
    m_unfinishedReplyCharge.set(held);
    if (!m_call)
        return true;
    // What is left is a part of the head, or the line of a chunk or a trailer, which the parser does not limit.
    return m_buffer.size() <= maximumFramingBytes && m_receivedBytes <= m_call->replyLimit && (held <= largeReplyBytes || !m_unfinishedReplyCharge.isBudgetExceeded());
}

void leaf_connection::parseReplies()
{
    while (m_call && m_buffer.size() > 0) {
        if (!m_parser) {
            m_parser.emplace();
            m_parser->eager(true);
            m_parser->body_limit(serialized_call::maximumReplyBytes);
            m_parser->skip(m_call->isHead);
        }
        beast::error_code failure;
        m_buffer.consume(m_parser->put(m_buffer.data(), failure));
        if (failure == http::error::need_more)
            return;
        if (failure) {
            abort(call_failure::malformed);
            return;
        }
        if (!m_parser->is_done())
            return;
        finishReply();
    }
}

void leaf_connection::reportUnexpectedReply()
{
    if (!m_hooks.handleUnmatchedReply)
        return;
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->body_limit(serialized_call::maximumReplyBytes);
    beast::error_code ignored;
    m_buffer.consume(m_parser->put(m_buffer.data(), ignored));
    if (m_parser->is_header_done())
        m_hooks.handleUnmatchedReply(extractReply());
}

/// Returns false for a status that HTTP does not have, and for a change to another protocol, which no call asks for.
static bool isUsableStatus(int status)
{
    static constexpr int firstStatus = 100;
    static constexpr int lastStatus = 599;
    return status >= firstStatus && status <= lastStatus && status != static_cast<int>(http::status::switching_protocols);
}

void leaf_connection::finishReply()
{
    auto reply = extractReply();
    if (!isUsableStatus(reply.status)) {
        abort(call_failure::malformed);
        return;
    }
    bool const isKeptAlive = m_parser->keep_alive();
    m_parser.reset();
    bool const belongsToOtherCall = !reply.attemptId.empty() && reply.attemptId != m_call->attemptId;
    bool const isInterim = reply.status < 200;
    if (belongsToOtherCall && m_hooks.handleUnmatchedReply)
        m_hooks.handleUnmatchedReply(reply);
    if (isKeptAlive && (isInterim || (belongsToOtherCall && ++m_discardedReplyCount <= maximumDiscardedReplies)))
        return;
    // Without an attempt ID, a successful reply may belong to another request, and on a connection that has carried other calls any
    // reply may be a late copy. A copied rejection would say of this call that it has not run.
    bool const isUnidentified = reply.attemptId.empty() && !m_call->attemptId.empty() && (reply.status < 300 || m_callCount > 1);
    if (belongsToOtherCall || isInterim || isUnidentified) {
        abort(call_failure::malformed);
        return;
    }
    bool const isReusable = isKeptAlive && !m_isWritePending && m_buffer.size() == 0;
    m_idleSince = std::chrono::steady_clock::now();
    if (!isReusable)
        close();
    endCall(std::move(reply));
    if (isReusable && !m_isClosed && !m_call)
        m_hooks.becameIdle();
}

/// Returns the seconds of a "timeout=N" parameter, or nothing when the parameter is absent or malformed.
static std::optional<unsigned> parseKeepAlive(std::string_view value)
{
    static constexpr std::string_view name = "timeout=";
    auto const start = value.find(name);
    if (start == std::string_view::npos)
        return std::nullopt;
    unsigned seconds = 0;
    auto const* const begin = value.data() + start + name.size();
    if (std::from_chars(begin, value.data() + value.size(), seconds).ec != std::errc {})
        return std::nullopt;
    return seconds;
}

forwarding::leaf_reply leaf_connection::extractReply()
{
    forwarding::leaf_reply reply;
    auto message = m_parser->release();
    reply.status = static_cast<int>(message.result_int());
    reply.isOnNewConnection = m_callCount == 1;
    reply.isMisdirected = reply.status == misdirectedStatus;
    for (auto const& field : message) {
        std::string_view const name { field.name_string().data(), field.name_string().size() };
        std::string_view const value { field.value().data(), field.value().size() };
        if (field.name() == http::field::keep_alive) {
            if (auto const seconds = parseKeepAlive(value))
                m_idleTimeout = std::max<kernel::duration>(std::chrono::seconds { *seconds } - idleMargin, defaultIdleTimeout / 2);
        }
        if (field.name() == http::field::content_encoding)
            reply.isEncoded = true;
        if (!forwarding::isHopByHopHeader(name) && m_hooks.protocol->parseReplyHeader(name, value, reply))
            reply.headers.push_back({ std::string { name }, std::string { value } });
    }
    reply.body = std::move(message.body());
    return reply;
}

void leaf_connection::endCall(forwarding::call_result result)
{
    auto const number = m_call->number;
    m_call.reset();
    m_hooks.handleCallEnd(number, std::move(result));
}

void leaf_connection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_isConnected = false;
    m_unfinishedReplyCharge.set(0);
    beast::error_code ignored;
    m_socket.close(ignored);
    m_hooks.connectionClosed();
}

void leaf_connection::abort(call_failure failure)
{
    if (m_isClosed)
        return;
    auto const self = shared_from_this();
    bool const wasConnected = m_isConnected;
    // A reset drops what a partition holds up, which would otherwise reach the leaf when the partition ends.
    beast::error_code ignored;
    if (m_call && wasConnected)
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
    if (m_call)
        endCall(tl::unexpected(wasConnected || failure == call_failure::withheld ? failure : call_failure::not_sent));
}

void leaf_connection::abortIfUndelivered()
{
    int unconfirmedBytes = 0;
    bool const isKnown = ::ioctl(m_socket.native_handle(), SIOCOUTQ, &unconfirmedBytes) == 0;
    if (m_call && (m_isWritePending || (isKnown && unconfirmedBytes > 0)))
        abort(call_failure::timed_out);
}

void leaf_connection::abandonConnect(connect_failure failure)
{
    if (m_isClosed)
        return;
    if (m_hooks.connectFailed)
        m_hooks.connectFailed(failure);
    abort(call_failure::not_sent);
}

}
