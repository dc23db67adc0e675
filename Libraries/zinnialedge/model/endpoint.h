#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinnialedge::model {

/// An IP address and a port.
struct endpoint {
    std::string address;
    std::uint16_t port { 0 };

    auto operator<=>(endpoint const&) const = default;
};

/// Formats an endpoint as "address:port".
std::string toString(endpoint const&);
std::optional<endpoint> parseEndpoint(std::string_view);

}
