#include "Libraries/zinnialedge/model/endpoint.h"

#include <charconv>

namespace zinnialedge::model {

std::string toString(endpoint const& value)
{
    return value.address + ":" + std::to_string(value.port);
}

std::optional<endpoint> parseEndpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    auto const digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto const result = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (result.ec != std::errc {} || result.ptr != digits.data() + digits.size())
        return std::nullopt;
    return endpoint { std::string { text.substr(0, colon) }, port };
}

}
