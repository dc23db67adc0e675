#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <optional>

namespace zinnialedge::wire {

/// Returns the operating system's estimate of the connection's round-trip time (TCP_INFO), or no value when there is no
/// estimate yet.
std::optional<std::chrono::microseconds> roundTripTimeOf(boost::asio::ip::tcp::socket&);

}
