#include "Libraries/zinnialedge/wire/http_server.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <thread>

// Included after the library headers, because CppUTest defines a macro `new` that breaks them.
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

TEST_GROUP(HttpServer) {};

// Guards against a planned stop that ends while the response to a caller who reads slowly is being written.
TEST(HttpServer, ResponseThatIsNotWrittenCompletelyCountsAsOpen)
{
    static constexpr std::size_t bodyBytes = 32U << 20U;
    asio::io_context context;
    auto const server = wire::http_server::listen(context, { "127.0.0.1", 0 }, {}, [](wire::http_request const&, wire::http_responder const& respond) { respond({ 200, std::string(bodyBytes, 'a'), {} }); });
    CHECK(server.has_value());
    asio::io_context clientContext;
    tcp::socket client { clientContext };
    client.connect({ asio::ip::address_v4::loopback(), (*server)->port() });
    asio::write(client, asio::buffer(std::string { "GET / HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n" }));
    context.run_for(std::chrono::milliseconds { 300 });
    LONGS_EQUAL(1, (*server)->unansweredCount());
    std::size_t received = 0;
    std::thread reader { [&] {
        boost::system::error_code end;
        std::string response;
        received = asio::read(client, asio::dynamic_buffer(response), end);
    } };
    while ((*server)->unansweredCount() > 0)
        context.run_for(std::chrono::milliseconds { 10 });
    context.run_for(std::chrono::milliseconds { 10 });
    LONGS_EQUAL(0, (*server)->unansweredCount());
    (*server)->cutConnections();
    context.run_for(std::chrono::milliseconds { 10 });
    reader.join();
    CHECK(received > bodyBytes);
}
