#pragma once

#include "Libraries/zinnialedge/forwarding/edge_protocol.h"
#include "Libraries/zinnialedge/forwarding/route.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace zinnialedge::services::traffic {

class caller_connection;

struct caller_connection_hooks {
    forwarding::edge_protocol const* protocol { nullptr };
    std::function<forwarding::caller_limits()> limits;
    /// Calls beginRequest() first; the answer may come from within.
    std::function<void(std::shared_ptr<caller_connection> const&, forwarding::caller_request)> arrived;
    std::function<void(forwarding::request_token)> left;
    std::function<void(caller_connection*)> closed;
    /// True while this daemon leaves: answers ask the caller to close the connection.
    std::function<bool()> isLeaving;
    /// A request that was refused before it was read whole.
    std::function<void(errors::error const&)> refused;
};

/// One connection of a caller: reads a request, waits for its answer, writes it, and reads the next.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    using socket = boost::asio::ip::tcp::socket;

    caller_connection(socket, caller_connection_hooks);

    void start();
    /// The request that was read last has that token until it is answered.
    void beginRequest(forwarding::request_token token) { m_token = token; }
    void answer(forwarding::final_answer const&);
    /// Ends it when the caller takes longer than its limits allow.
    void checkTime(kernel::time_point now);

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    enum class phase {
        idle,
        reading,
        answering,
        /// The last answer is out; what the caller still sends is dropped, since closing with unread bytes resets the connection.
        closing,
    };

    void read();
    void handleRead(boost::system::error_code, std::size_t bytes);
    void parse();
    void dispatch();
    void refuse(errors::error_kind);
    void write(std::string bytes, bool isLast);
    void finishWrite(bool isLast);
    void close();

    socket m_socket;
    caller_connection_hooks m_hooks;
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    std::optional<forwarding::request_token> m_token;
    phase m_phase { phase::idle };
    kernel::time_point m_phaseSince;
    /// Not the first request of the connection.
    bool m_hasAnswered { false };
    bool m_isKeptAlive { true };
    bool m_isHead { false };
    bool m_isReading { false };
    bool m_hasContinued { false };
    bool m_isClosed { false };
};

}
