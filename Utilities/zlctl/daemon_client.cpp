#include "Utilities/zlctl/daemon_client.h"

#include <boost/asio/io_context.hpp>

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

wire::http_result daemon_client::query(model::endpoint const& callers, std::string const& body)
{
    return call(callers, { "POST", "/query", body, {} });
}

}
