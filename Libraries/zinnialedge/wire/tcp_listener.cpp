#include "Libraries/zinnialedge/wire/tcp_listener.h"

namespace zinnialedge::wire {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

errors::error_or<void> startListening(tcp::acceptor& acceptor, model::endpoint const& endpoint)
{
    boost::system::error_code failure;
    auto const address = asio::ip::make_address(endpoint.address, failure);
    if (failure)
        return errors::makeError(errors::error_kind::internal, "invalid IP address: " + endpoint.address);
    tcp::endpoint const local { address, endpoint.port };
    acceptor.open(local.protocol(), failure);
    if (!failure)
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        acceptor.bind(local, failure);
    if (!failure)
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    if (failure)
        return errors::makeError(errors::error_kind::internal, "cannot listen on " + toString(endpoint) + ": " + failure.message());
    return {};
}

}
