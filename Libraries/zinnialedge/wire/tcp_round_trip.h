#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <optional>

namespace zinnialedge::wire {

/// The kernel's estimate of the time to the other end and back, from TCP_INFO. Nothing when it has none.
std::optional<std::chrono::microseconds> roundTripOf(boost::asio::ip::tcp::socket&);

}
