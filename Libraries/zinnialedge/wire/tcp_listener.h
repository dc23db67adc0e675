#pragma once

// Include this header only from .cpp files and from headers of socket classes, because it includes Asio headers.

#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/model/endpoint.h"
#include <boost/asio/ip/tcp.hpp>

namespace zinnialedge::wire {

/// Makes the acceptor listen at the endpoint. Port 0 selects a free port.
errors::error_or<void> startListening(boost::asio::ip::tcp::acceptor&, model::endpoint const&);

}
