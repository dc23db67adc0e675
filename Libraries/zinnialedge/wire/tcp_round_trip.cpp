#include "Libraries/zinnialedge/wire/tcp_round_trip.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace zinnialedge::wire {

std::optional<std::chrono::microseconds> roundTripTimeOf(boost::asio::ip::tcp::socket& socket)
{
    tcp_info info {};
    socklen_t length = sizeof(info);
    // getsockopt() fails for a socket that is not a TCP socket. Such a socket has no estimate either, so the failure is not
    // reported.
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) != 0 || info.tcpi_rtt == 0)
        return std::nullopt;
    return std::chrono::microseconds { info.tcpi_rtt };
}

}
