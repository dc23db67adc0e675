#include "Kernel/clock.h"
#include "Services/traffic/caller_connection.h"
#include "platform/edge_codec.h"
#include <boost/algorithm/string/erase.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <sstream>

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

namespace {

/// Header lines that frame a body, and the body as it is sent.
struct framing_sample {
    std::string lines;
    std::string sentBody;
};

template <typename T>
T const& pick(std::vector<T> const& values, kernel::random_hook const& random)
{
    return values[random() % values.size()];
}

std::string formatChunks(std::string const& body, kernel::random_hook const& random)
{
    std::string chunks;
    for (std::size_t start = 0; start < body.size();) {
        auto const length = std::min<std::size_t>(1 + random() % 12, body.size() - start);
        std::ostringstream size;
        size << (random() % 2 == 0 ? "" : "00") << std::hex << std::uppercase << length << pick<std::string>({ "", ";a", ";a=b", ";a=\"b c\"" }, random);
        chunks += size.str() + "\r\n" + body.substr(start, length) + "\r\n";
        start += length;
    }
    return chunks + "0\r\n" + pick<std::string>({ "", "Trailer: x\r\n" }, random) + "\r\n";
}

framing_sample makeSoundFraming(std::string const& body, kernel::random_hook const& random)
{
    auto const length = std::to_string(body.size());
    if (random() % 2 == 0)
        return { pick<std::string>({ "Content-Length: " + length, "content-length:" + length, "CONTENT-LENGTH: \t" + length + " ", "Content-Length: 00" + length }, random) + "\r\n", body };
    return { pick<std::string>({ "Transfer-Encoding: chunked", "transfer-encoding:chunked", "Transfer-Encoding: \tCHUNKED " }, random) + "\r\n", formatChunks(body, random) };
}

framing_sample makeUncertainFraming(std::string const& body, kernel::random_hook const& random)
{
    auto const length = std::to_string(body.size());
    if (random() % 3 == 0)
        return { "Transfer-Encoding: chunked\r\n", pick<std::string>({ "+5\r\nhello\r\n0\r\n\r\n", "0x5\r\nhello\r\n0\r\n\r\n", "g\r\nhello\r\n0\r\n\r\n", "\r\nhello\r\n0\r\n\r\n", "-5\r\nhello\r\n0\r\n\r\n", "5\r\nhello!\r\n0\r\n\r\n", "fffffffffffffffff\r\nhello\r\n0\r\n\r\n" }, random) };
    auto const lines = pick<std::string>(
        { "Transfer-Encoding: " + pick<std::string>({ "gzip", "identity", "chunked, gzip", "gzip, chunked", "chunked, chunked", "chunked;q=1", "\"chunked\"", "chunke", "," }, random) + "\r\n",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: " + pick<std::string>({ "chunked", "identity", "gzip" }, random) + "\r\n",
            "Transfer-Encoding: chunked\r\nContent-Length: " + length + "\r\n", "Content-Length: " + length + "\r\nTransfer-Encoding: chunked\r\n",
            "Content-Length: " + length + "\r\nContent-Length: 1" + length + "\r\n",
            "Content-Length: " + pick<std::string>({ "+", "-", "0x", "1 ", "1,", ".", "" }, random) + (length + "x") + "\r\n",
            "Content-Length : " + length + "\r\n", "Content-Length: " + length + "\r\n X: folded\r\n", "X: a\r\n\tContent-Length: " + length + "\r\n" },
        random);
    return { lines, body };
}

}

// Guards against a reader that takes a part of a body for a request, whatever frames the body and wherever the bytes are cut.
TEST(CallerConnection, RandomFramingIsReadAsSentOrRejected)
{
    static constexpr int samples = 600;
    static std::string const behind = "GET /behind HTTP/1.1\r\nHost: host\r\n\r\n";
    auto const random = kernel::makeSeededRandom(20261205);
    for (int sample = 0; sample < samples; ++sample) {
        bool const isSound = random() % 2 == 0;
        // The body looks like a request itself.
        auto const body = pick<std::string>({ "hello", behind, "0\r\n\r\n" + behind, std::string(5000, 'b') + behind }, random);
        auto const framing = isSound ? makeSoundFraming(body, random) : makeUncertainFraming(body, random);
        auto const bytes = "POST /a HTTP/1.1\r\nHost: host\r\n" + framing.lines + "X-Last: x\r\n\r\n" + framing.sentBody + behind;
        pipelining_caller sender;
        for (std::size_t start = 0; start < bytes.size();) {
            auto const length = std::min<std::size_t>(1 + random() % (random() % 4 == 0 ? 20 : 4000), bytes.size() - start);
            sender.send(bytes.substr(start, length));
            start += length;
        }
        auto const answers = sender.exchangeUntil(isSound ? "<GET /behind >" : "HTTP/1.1 4");
        // Nothing that comes later may be read either.
        sender.answer();
        sender.settle();
        if (isSound)
            CHECK_TEXT((sender.received == std::vector<std::string> { "POST /a " + body, "GET /behind " }), bytes.c_str());
        else
            CHECK_TEXT(sender.received.empty() && answers.starts_with("HTTP/1.1 4"), bytes.c_str());
    }
}
