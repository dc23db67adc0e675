#include "Libraries/zinnialedge/wire/tcp_round_trip.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace zinnialedge::wire {

std::optional<std::chrono::microseconds> roundTripOf(boost::asio::ip::tcp::socket& socket)
{
    tcp_info info {};
    socklen_t length = sizeof(info);
    // A socket of another kind has no such estimate, which is an answer as good as any.
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) != 0 || info.tcpi_rtt == 0)
        return std::nullopt;
    return std::chrono::microseconds { info.tcpi_rtt };
}

}
