#include "Libraries/zinnialedge/wire/http_client.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <thread>

// After the library headers: it defines a macro new, which they do not expect.
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

TEST_GROUP(HttpClient)
{
    static constexpr std::chrono::milliseconds longTimeout { 10'000 };

    asio::io_context m_context;
    tcp::acceptor m_acceptor { m_context, tcp::endpoint { asio::ip::address_v4::loopback(), 0 } };
    std::unique_ptr<wire::http_client> m_client;

    /// Opens the client's connection and returns the other end of it.
    tcp::socket open()
    {
        m_client = std::make_unique<wire::http_client>(m_context, model::endpoint { "127.0.0.1", m_acceptor.local_endpoint().port() });
        bool isConnected = false;
        m_client->connect(longTimeout, [&](bool result) { isConnected = result; });
        auto other = m_acceptor.accept();
        m_context.restart();
        m_context.run();
        CHECK(isConnected);
        return other;
    }

    /// Sends a request; `act` plays the server meanwhile.
    wire::http_result send(std::string body, std::chrono::milliseconds timeout, std::function<void()> const& act)
    {
        wire::http_result received = tl::unexpected(wire::http_failure { false, "no reply" });
        m_client->send({ "POST", "/search", std::move(body), {} }, timeout, [&](wire::http_result const& result) { received = result; });
        std::thread server { act };
        m_context.restart();
        m_context.run();
        server.join();
        return received;
    }
};

TEST(HttpClient, AResponseMayComeInPieces)
{
    auto other = open();
    auto const reply = send("question", longTimeout, [&] {
        for (char const letter : std::string { "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nETag: \"7\"\r\n\r\nanswer" })
            asio::write(other, asio::buffer(&letter, 1));
    });
    CHECK(reply.has_value());
    STRCMP_EQUAL("answer", reply->body.c_str());
    STRCMP_EQUAL("\"7\"", wire::headerOf(reply->headers, "etag").c_str());
    CHECK(m_client->isUsable());
}

TEST(HttpClient, ALargeRequestIsWrittenWhole)
{
    static constexpr std::size_t bodyBytes = 32UL << 20U;
    auto other = open();
    std::size_t received = 0;
    auto const reply = send(std::string(bodyBytes, 'x'), longTimeout, [&] {
        std::vector<char> buffer(1 << 16);
        while (received < bodyBytes)
            received += other.read_some(asio::buffer(buffer));
        asio::write(other, asio::buffer(std::string { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }));
    });
    CHECK(reply.has_value());
    CHECK(received > bodyBytes);
}

TEST(HttpClient, ABodyWithoutALengthEndsWithTheConnection)
{
    auto other = open();
    auto const reply = send("question", longTimeout, [&] {
        asio::write(other, asio::buffer(std::string { "HTTP/1.1 200 OK\r\n\r\nanswer" }));
        // A close would reset the connection, because the request was not read.
        other.shutdown(tcp::socket::shutdown_send);
    });
    CHECK(reply.has_value());
    STRCMP_EQUAL("answer", reply->body.c_str());
    CHECK_FALSE(m_client->isOpen());
}

TEST(HttpClient, ACutResponseIsAFailure)
{
    auto other = open();
    auto const reply = send("question", longTimeout, [&] {
        asio::write(other, asio::buffer(std::string { "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nans" }));
        other.close();
    });
    CHECK_FALSE(reply.has_value());
    CHECK(reply.error().mayHaveBeenSent);
    CHECK_FALSE(m_client->isOpen());
}

TEST(HttpClient, ATimeoutClosesTheConnection)
{
    auto const other = open();
    auto const reply = send("question", std::chrono::milliseconds { 20 }, [] { });
    CHECK_FALSE(reply.has_value());
    CHECK(reply.error().mayHaveBeenSent);
    CHECK_FALSE(m_client->isOpen());
}

TEST(HttpClient, AnIdleConnectionThatThePeerClosedIsNotUsable)
{
    auto other = open();
    CHECK(m_client->isUsable());
    other.close();
    CHECK_FALSE(m_client->isUsable());
}
