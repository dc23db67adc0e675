#pragma once

// Includes Asio; only sources and the headers of sockets include it.

#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/model/endpoint.h"
#include <boost/asio/ip/tcp.hpp>

namespace zinnialedge::wire {

/// Makes the acceptor listen at the place; port 0 takes a free one.
errors::error_or<void> listenAt(boost::asio::ip::tcp::acceptor&, model::endpoint const&);

}
