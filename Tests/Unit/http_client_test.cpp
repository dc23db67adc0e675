#include "Libraries/zinnialedge/wire/http_client.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <thread>

// Included after the library headers, because CppUTest defines a macro `new` that breaks them.
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

    /// Connects the client and returns the server's socket of the connection.
    tcp::socket open()
    {
        m_client = std::make_unique<wire::http_client>(m_context, model::endpoint { "127.0.0.1", m_acceptor.local_endpoint().port() });
        bool isConnected = false;
        m_client->connect(longTimeout, [&](bool result) { isConnected = result; });
        auto serverSocket = m_acceptor.accept();
        m_context.restart();
        m_context.run();
        CHECK(isConnected);
        return serverSocket;
    }

    /// Sends a request and runs `runServer` as the server on another thread. Returns the result of the request.
    wire::http_result send(std::string body, std::chrono::milliseconds timeout, std::function<void()> const& runServer)
    {
        wire::http_result received = tl::unexpected(wire::http_failure { false, "no reply" });
        m_client->send({ "POST", "/search", std::move(body), {} }, timeout, [&](wire::http_result const& result) { received = result; });
        std::thread server { runServer };
        m_context.restart();
        m_context.run();
        server.join();
        return received;
    }
};

TEST(HttpClient, ResponseInSingleBytesIsReassembled)
{
    auto serverSocket = open();
    auto const reply = send("question", longTimeout, [&] {
        for (char const letter : std::string { "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nETag: \"7\"\r\n\r\nanswer" })
            asio::write(serverSocket, asio::buffer(&letter, 1));
    });
    CHECK(reply.has_value());
    STRCMP_EQUAL("answer", reply->body.c_str());
    STRCMP_EQUAL("\"7\"", wire::headerValue(reply->headers, "etag").c_str());
    CHECK(m_client->isUsable());
}

TEST(HttpClient, RequestLargerThanSocketBufferIsWrittenCompletely)
{
    static constexpr std::size_t bodyBytes = 32UL << 20U;
    auto serverSocket = open();
    std::size_t received = 0;
    auto const reply = send(std::string(bodyBytes, 'x'), longTimeout, [&] {
        std::vector<char> buffer(1 << 16);
        while (received < bodyBytes)
            received += serverSocket.read_some(asio::buffer(buffer));
        asio::write(serverSocket, asio::buffer(std::string { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }));
    });
    CHECK(reply.has_value());
    CHECK(received > bodyBytes);
}

TEST(HttpClient, BodyWithoutContentLengthEndsWithConnection)
{
    auto serverSocket = open();
    auto const reply = send("question", longTimeout, [&] {
        asio::write(serverSocket, asio::buffer(std::string { "HTTP/1.1 200 OK\r\n\r\nanswer" }));
        // close() would reset the connection, because the request has not been read from the socket.
        serverSocket.shutdown(tcp::socket::shutdown_send);
    });
    CHECK(reply.has_value());
    STRCMP_EQUAL("answer", reply->body.c_str());
    CHECK_FALSE(m_client->isOpen());
}

TEST(HttpClient, TruncatedResponseIsReportedAsFailure)
{
    auto serverSocket = open();
    auto const reply = send("question", longTimeout, [&] {
        asio::write(serverSocket, asio::buffer(std::string { "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nans" }));
        serverSocket.close();
    });
    CHECK_FALSE(reply.has_value());
    CHECK(reply.error().mayHaveBeenSent);
    CHECK_FALSE(m_client->isOpen());
}

// Guards against a response that looks complete although the server stopped in the middle of it.
TEST(HttpClient, ResponseCutAtAnyByteIsReportedAsFailure)
{
    std::string const whole = "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 6\r\n\r\nanswer";
    for (std::size_t length = 0; length < whole.size(); ++length) {
        auto serverSocket = open();
        auto const reply = send("question", longTimeout, [&] {
            asio::write(serverSocket, asio::buffer(whole.substr(0, length)));
            serverSocket.shutdown(tcp::socket::shutdown_send);
        });
        CHECK_FALSE_TEXT(reply.has_value(), std::to_string(length).c_str());
    }
}

TEST(HttpClient, TimeoutClosesConnection)
{
    auto const serverSocket = open();
    auto const reply = send("question", std::chrono::milliseconds { 20 }, [] { });
    CHECK_FALSE(reply.has_value());
    CHECK(reply.error().mayHaveBeenSent);
    CHECK_FALSE(m_client->isOpen());
}

TEST(HttpClient, IdleConnectionClosedByServerIsNotUsable)
{
    auto serverSocket = open();
    CHECK(m_client->isUsable());
    serverSocket.close();
    CHECK_FALSE(m_client->isUsable());
}

TEST(HttpClient, ChunkExtensionWithoutAnEndIsGivenUp)
{
    auto serverSocket = open();
    std::size_t written = 0;
    auto const reply = send("question", longTimeout, [&] {
        boost::system::error_code failure;
        asio::write(serverSocket, asio::buffer(std::string { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" }), failure);
        static constexpr std::size_t mostBytes = 512U << 20U;
        std::string const block(65'536, 'x');
        while (!failure && written < mostBytes)
            written += asio::write(serverSocket, asio::buffer(block), failure);
    });
    CHECK(!reply.has_value());
    static constexpr std::size_t maximumBytesTaken = 64U << 20U;
    CHECK(written < maximumBytesTaken);
}
