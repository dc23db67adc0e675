#include "Tests/Support/http_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <thread>

namespace zinnialedge::tests {

static constexpr std::chrono::milliseconds pollInterval { 10 };

wire::http_result callHttp(model::endpoint const& endpoint, wire::http_request const& request, std::chrono::milliseconds timeout)
{
    boost::asio::io_context context;
    wire::http_client client { context, endpoint };
    wire::http_result received = tl::unexpected(wire::http_failure { false, "no reply" });
    client.connectAndSend(request, timeout, [&](wire::http_result result) { received = std::move(result); });
    context.run();
    return received;
}

boost::json::value getJson(model::endpoint const& endpoint, std::string const& target)
{
    auto const result = callHttp(endpoint, { "GET", target, {}, {} });
    boost::json::error_code failure;
    auto value = boost::json::parse(result ? result->body : std::string {}, failure);
    return failure ? boost::json::value {} : value;
}

wire::http_result postJson(model::endpoint const& endpoint, std::string const& target, boost::json::value const& body)
{
    return callHttp(endpoint, { "POST", target, boost::json::serialize(body), {} });
}

bool waitUntil(std::function<bool()> const& condition, std::chrono::milliseconds timeout)
{
    auto const deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

}
