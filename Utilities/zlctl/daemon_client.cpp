#include "Utilities/zlctl/daemon_client.h"

#include <boost/asio/io_context.hpp>
#include <cctype>

namespace zinnialedge::utilities::control {

/// Timeout of a call. Exceeds both the time for which a daemon retries a store call and the longest query deadline (60 s).
static constexpr std::chrono::seconds callTimeout { 70 };

daemon_client::daemon_client(model::endpoint operators, std::string key)
    : m_operators(std::move(operators))
    , m_key(std::move(key))
{
}

wire::http_result daemon_client::call(model::endpoint const& endpoint, wire::http_request const& request)
{
    boost::asio::io_context context;
    wire::http_client client { context, endpoint };
    wire::http_result result = tl::unexpected(wire::http_failure { false, "no reply" });
    client.connectAndSend(request, callTimeout, [&](wire::http_result received) { result = std::move(received); });
    context.run();
    return result;
}

wire::http_result daemon_client::command(std::string const& statements, bool isDryRun)
{
    return call(m_operators, { "POST", isDryRun ? "/commands?dry_run=true" : "/commands", statements, { { "authorization", "Bearer " + m_key } } });
}

wire::http_result daemon_client::state()
{
    return call(m_operators, { "GET", "/state", {}, {} });
}

/// Encodes every byte that has a meaning in a query string.
static std::string encodePercent(std::string const& text)
{
    static constexpr std::string_view digits { "0123456789ABCDEF" };
    std::string encoded;
    for (unsigned char const byte : text) {
        if (std::isalnum(byte) != 0 || byte == '-' || byte == '.' || byte == '_' || byte == '/') {
            encoded += static_cast<char>(byte);
            continue;
        }
        encoded += { '%', digits[byte / digits.size()], digits[byte % digits.size()] };
    }
    return encoded;
}

wire::http_result daemon_client::route(std::string const& method, std::string const& host, std::string const& path, std::string const& tenant)
{
    auto target = "/route?method=" + encodePercent(method) + "&host=" + encodePercent(host) + "&path=" + encodePercent(path);
    if (!tenant.empty())
        target += "&tenant=" + encodePercent(tenant);
    return call(m_operators, { "GET", std::move(target), {}, {} });
}

wire::http_result daemon_client::query(model::endpoint const& callers, std::string const& body)
{
    return call(callers, { "POST", "/query", body, {} });
}

}
