#include "Services/traffic/caller_connection.h"
#include "platform/edge_codec.h"
#include <boost/algorithm/string/erase.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

// Included after the library headers, because CppUTest defines a macro `new` that breaks them.
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace std::chrono_literals;
using services::traffic::caller_connection;
using tcp = boost::asio::ip::tcp;

namespace {

/// A caller that pipelines, and the connection that serves it. The test answers the requests.
struct pipelining_caller {
    pipelining_caller()
    {
        tcp::acceptor acceptor { context, { boost::asio::ip::address_v4::loopback(), 0 } };
        caller.connect(acceptor.local_endpoint());
        auto accepted = acceptor.accept();
        accepted.non_blocking(true);
        accepted.set_option(tcp::no_delay(true));
        services::traffic::caller_connection_hooks hooks;
        hooks.protocol = &protocol;
        hooks.limits = [] { return forwarding::caller_limits {}; };
        hooks.requestReceived = [this](auto const& origin, forwarding::caller_request const& request) {
            origin->setRequestToken(received.size());
            received.push_back(request.method + " " + request.target + " " + request.body);
            isAnswerDue = true;
        };
        hooks.callerDisconnected = [](auto) { };
        hooks.connectionClosed = [](auto*) { };
        hooks.isLeaving = [] { return false; };
        hooks.requestRejected = [](auto const&) { };
        connection = std::make_shared<caller_connection>(std::move(accepted), std::move(hooks));
        connection->start();
    }

    void settle()
    {
        context.restart();
        context.run_for(200us);
    }

    void send(std::string const& bytes)
    {
        boost::asio::write(caller, boost::asio::buffer(bytes));
        settle();
    }

    /// Answers the request that is due, if there is one, with a body that names it.
    bool answer()
    {
        if (!std::exchange(isAnswerDue, false))
            return false;
        connection->sendAnswer({ .status = 200, .body = "<" + received.back() + ">" });
        settle();
        return true;
    }

    /// Answers requests until the last answer has arrived, which contains `last`. Returns all answers, without interim ones.
    std::string exchangeUntil(std::string const& last)
    {
        static constexpr auto timeLimit = 5s;
        auto const end = std::chrono::steady_clock::now() + timeLimit;
        std::string bytes;
        std::vector<char> chunk(65'536);
        caller.non_blocking(true);
        while (bytes.find(last) == std::string::npos && std::chrono::steady_clock::now() < end) {
            if (!answer())
                settle();
            boost::system::error_code ignored;
            bytes.append(chunk.data(), caller.read_some(boost::asio::buffer(chunk), ignored));
        }
        boost::algorithm::erase_all(bytes, "HTTP/1.1 100 Continue\r\n\r\n");
        return bytes;
    }

    boost::asio::io_context context;
    tcp::socket caller { context };
    forwarding::edge_protocol protocol { platform::makeEdgeProtocol() };
    std::vector<std::string> received;
    bool isAnswerDue { false };
    std::shared_ptr<caller_connection> connection;
};

}

TEST_GROUP(CallerConnection) {};

// Guards against pipelined requests that are read twice or never, and against answers to other requests.
TEST(CallerConnection, PipelinedRequestsThatAreCutAnywhereAreReadOnceInOrder)
{
    std::vector<std::string> const requests {
        "GET /a HTTP/1.1\r\nHost: host\r\n\r\n",
        "POST /b HTTP/1.1\r\nHost: host\r\nContent-Length: 5\r\n\r\nhello",
        "POST /c HTTP/1.1\r\nHost: host\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        "POST /d HTTP/1.1\r\nHost: host\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nxyz",
        "GET /e HTTP/1.1\r\nHost: host\r\n\r\n",
        "GET /f HTTP/1.1\r\nHost: host\r\n\r\n",
    };
    std::vector<std::string> const expected { "GET /a ", "POST /b hello", "POST /c abcde", "POST /d xyz", "GET /e ", "GET /f " };
    std::string stream;
    for (auto const& each : requests)
        stream += each;
    for (std::size_t cut = 1; cut < stream.size(); ++cut) {
        pipelining_caller pipelining;
        pipelining.send(stream.substr(0, cut));
        // The rest arrives while a later request is being answered.
        pipelining.answer();
        pipelining.send(stream.substr(cut));
        auto const answers = pipelining.exchangeUntil("<" + expected.back() + ">");
        CHECK(pipelining.received == expected);
        std::size_t position = 0;
        for (auto const& each : expected) {
            position = answers.find("<" + each + ">", position);
            CHECK(position != std::string::npos);
        }
    }
}
