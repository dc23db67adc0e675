#include "Libraries/zinnialedge/wire/http_message.h"

#include <algorithm>
#include <charconv>

namespace zinnialedge::wire {

std::string requestPath(http_request const& request)
{
    return request.target.substr(0, request.target.find('?'));
}

static std::string decodePercent(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned value = 0;
        if (text[index] == '%' && index + 2 < text.size()
            && std::from_chars(text.data() + index + 1, text.data() + index + 3, value, 16).ptr == text.data() + index + 3) {
            decoded += static_cast<char>(value);
            index += 2;
            continue;
        }
        decoded += text[index] == '+' ? ' ' : text[index];
    }
    return decoded;
}

std::map<std::string, std::string> parseQueryParameters(http_request const& request)
{
    std::map<std::string, std::string> parameters;
    auto const start = request.target.find('?');
    if (start == std::string::npos)
        return parameters;
    std::string_view remaining { request.target };
    remaining.remove_prefix(start + 1);
    while (!remaining.empty()) {
        auto const pair = remaining.substr(0, remaining.find('&'));
        remaining.remove_prefix(std::min(remaining.size(), pair.size() + 1));
        auto const equals = pair.find('=');
        auto const value = equals == std::string_view::npos ? std::string_view {} : pair.substr(equals + 1);
        parameters[decodePercent(pair.substr(0, equals))] = decodePercent(value);
    }
    return parameters;
}

std::string toLowerCase(std::string_view text)
{
    std::string lower { text };
    for (auto& character : lower) {
        if (character >= 'A' && character <= 'Z')
            character = static_cast<char>(character - 'A' + 'a');
    }
    return lower;
}

std::string headerValue(http_headers const& headers, std::string const& name)
{
    auto const found = headers.find(name);
    return found == headers.end() ? std::string {} : found->second;
}

}
