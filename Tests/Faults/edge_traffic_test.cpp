#include "Tests/Support/edge_bench.h"
#include "Tests/Support/engine_harness.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using tests::edge_traffic_harness;
using tests::engine_harness;
using tests::makeRegistration;
using tests::rawHeaderValue;
using tests::scripted_leaf;
using tests::scripted_reply;
using tests::sealedReply;

namespace {

scripted_reply replySuccessfully(std::string const& request)
{
    return { sealedReply(request, "body of " + rawHeaderValue(request, "Zinnialedge-Attempt-Id")), false, false };
}

/// The service "desk" with one leaf behind an in-process daemon.
struct one_leaf_fixture {
    explicit one_leaf_fixture(std::function<scripted_reply(std::string const&)> answer, bool isRepeatable = false)
        : leaf(std::move(answer))
    {
        traffic.declare(1, { engine_harness::singleRoute(isRepeatable) });
        traffic.registerLeafs({ makeRegistration("leaf", "desk", leaf) });
    }

    scripted_leaf leaf;
    edge_traffic_harness traffic;
};

}

TEST_GROUP(EdgeTraffic) {};

TEST(EdgeTraffic, ARequestIsForwardedWithoutHopByHopHeaders)
{
    one_leaf_fixture fixture { replySuccessfully };
    auto const answer = fixture.traffic.send("POST /single/a?b=c%20d HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: a1\r\nZinnialedge-Deadline-Ms: 1000\r\nX-Other: kept\r\n"
                                             "Connection: X-Hop\r\nX-Hop: dropped\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    LONGS_EQUAL(200, answer.status);
    STRCMP_EQUAL("body of a1", answer.body.c_str());
    STRCMP_EQUAL("seal-leaf", answer.header("Zinnialedge-Server-Seal").c_str());
    auto const request = fixture.leaf.requests().front();
    CHECK(request.starts_with("POST /single/a?b=c%20d HTTP/1.1\r\n"));
    STRCMP_EQUAL("host", rawHeaderValue(request, "Host").c_str());
    STRCMP_EQUAL("kept", rawHeaderValue(request, "X-Other").c_str());
    STRCMP_EQUAL("", rawHeaderValue(request, "X-Hop").c_str());
    STRCMP_EQUAL("leaf", rawHeaderValue(request, "Zinnialedge-Target-Instance").c_str());
    CHECK(request.ends_with("\r\n\r\nabcde"));
    auto const remainingMs = std::stoi(rawHeaderValue(request, "Zinnialedge-Deadline-Ms"));
    CHECK(remainingMs > 0 && remainingMs <= 1000);
}

TEST(EdgeTraffic, ALeafThatAnswers421IsNotCalledAgain)
{
    // A leaf of another service may reuse the address of a leaf that is gone, and then answers 421 to calls for the old leaf.
    one_leaf_fixture fixture { [](std::string const&) { return scripted_reply { "HTTP/1.1 421 Misdirected Request\r\nZinnialedge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false, false }; } };
    for (int count = 0; count < 5; ++count)
        LONGS_EQUAL(503, fixture.traffic.get("/single/a", "a" + std::to_string(count)).status);
    LONGS_EQUAL(1, fixture.leaf.requests().size());
}

TEST(EdgeTraffic, AReplyToAnEarlierRequestIsIgnored)
{
    one_leaf_fixture fixture { [](std::string const& request) {
        auto const id = rawHeaderValue(request, "Zinnialedge-Attempt-Id");
        // The leaf repeats the reply to the first request before the reply to the second request.
        auto const repeatedReply = id == "a2" ? sealedReply("\r\nZinnialedge-Attempt-Id: a1\r\n", "body of a1") : std::string {};
        return scripted_reply { repeatedReply + sealedReply(request, "body of " + id), false, false };
    } };
    STRCMP_EQUAL("body of a1", fixture.traffic.get("/single/a", "a1").body.c_str());
    STRCMP_EQUAL("body of a2", fixture.traffic.get("/single/a", "a2").body.c_str());
    STRCMP_EQUAL("body of a3", fixture.traffic.get("/single/a", "a3").body.c_str());
}

// Guards against a late copy of a rejection that is taken for the reply to the next call, which runs.
TEST(EdgeTraffic, ACopyOfARejectionWithoutAnIdSaysNothingOfTheNextRequest)
{
    std::atomic<std::size_t> runCount { 0 };
    one_leaf_fixture fixture { [&](std::string const& request) {
        std::string const rejection = "HTTP/1.1 503 Service Unavailable\r\nZinnialedge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        auto const id = rawHeaderValue(request, "Zinnialedge-Attempt-Id");
        if (id == "a1")
            return scripted_reply { rejection, false, false };
        ++runCount;
        return scripted_reply { id == "a2" ? rejection + sealedReply(request, "body") : sealedReply(request, "body"), false, false };
    } };
    LONGS_EQUAL(503, fixture.traffic.post("/single/a", "a1", "order").status);
    std::this_thread::sleep_for(std::chrono::milliseconds { 50 });
    auto const status = fixture.traffic.post("/single/a", "a2", "order").status;
    LONGS_EQUAL(1, runCount);
    CHECK(status == 200 || status == 502);
    LONGS_EQUAL(200, fixture.traffic.post("/single/a", "a3", "order").status);
}

TEST(EdgeTraffic, BytesAfterAReplyCloseTheConnection)
{
    one_leaf_fixture fixture { [](std::string const& request) { return scripted_reply { sealedReply(request, "one") + sealedReply(request, "two"), false, false }; } };
    STRCMP_EQUAL("one", fixture.traffic.get("/single/a", "a1").body.c_str());
    STRCMP_EQUAL("one", fixture.traffic.get("/single/a", "a2").body.c_str());
    LONGS_EQUAL(2, fixture.leaf.connectionCount());
}

// Guards against: a reply with a status that HTTP does not have is passed on to the caller, or taken for an interim reply until the deadline.
TEST(EdgeTraffic, AReplyWithAnInvalidStatusIsAnError)
{
    for (std::string const status : { "000", "099", "101", "600", "999" }) {
        one_leaf_fixture fixture { [&](std::string const& request) {
            auto reply = replySuccessfully(request);
            reply.bytes.replace(reply.bytes.find("200"), status.size(), status);
            return reply;
        } };
        auto const answer = fixture.traffic.get("/single/a", "a1");
        CHECK_TEXT(answer.status == 502, (status + " gave " + std::to_string(answer.status)).c_str());
        STRCMP_EQUAL("", answer.header("Zinnialedge-Server-Seal").c_str());
        CHECK_TEXT(answer.body.find("leaf_failed") != std::string::npos, answer.body.c_str());
    }
}

// Guards against: the fields of a trailer change where a request goes, or are forwarded as headers.
TEST(EdgeTraffic, ATrailerIsDropped)
{
    one_leaf_fixture fixture { replySuccessfully };
    auto const answer = fixture.traffic.send("POST /single/a HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: a1\r\nZinnialedge-Deadline-Ms: 1000\r\nTransfer-Encoding: chunked\r\n\r\n"
                                             "3;name=value\r\nabc\r\n0\r\nHost: other\r\nZinnialedge-Attempt-Id: b1\r\nX-Trailer: x\r\n\r\n");
    LONGS_EQUAL(200, answer.status);
    STRCMP_EQUAL("body of a1", answer.body.c_str());
    auto const request = fixture.leaf.requests().front();
    STRCMP_EQUAL("host", rawHeaderValue(request, "Host").c_str());
    STRCMP_EQUAL("", rawHeaderValue(request, "X-Trailer").c_str());
    CHECK(request.ends_with("\r\n\r\nabc"));
}

TEST(EdgeTraffic, ATruncatedReplyIsAnError)
{
    one_leaf_fixture fixture { [](std::string const& request) {
        auto reply = sealedReply(request, "a body of some length");
        reply.resize(reply.size() - 4);
        return scripted_reply { reply, true, false };
    } };
    LONGS_EQUAL(502, fixture.traffic.get("/single/a", "a1").status);
    LONGS_EQUAL(1, fixture.leaf.requests().size());
}

TEST(EdgeTraffic, AReplyWithoutLengthEndsWhenTheConnectionCloses)
{
    one_leaf_fixture fixture { [](std::string const& request) {
        return scripted_reply { "HTTP/1.1 200 OK\r\nZinnialedge-Server-Seal: s\r\nZinnialedge-Attempt-Id: " + rawHeaderValue(request, "Zinnialedge-Attempt-Id") + "\r\n\r\nall of it", true, false };
    } };
    auto const answer = fixture.traffic.get("/single/a", "a1");
    LONGS_EQUAL(200, answer.status);
    STRCMP_EQUAL("all of it", answer.body.c_str());
}

TEST(EdgeTraffic, AReplyWithoutLengthThatIsResetIsAnError)
{
    one_leaf_fixture fixture { [](std::string const& request) {
        return scripted_reply { "HTTP/1.1 200 OK\r\nZinnialedge-Server-Seal: s\r\nZinnialedge-Attempt-Id: " + rawHeaderValue(request, "Zinnialedge-Attempt-Id") + "\r\n\r\npart of it", false, true };
    } };
    LONGS_EQUAL(502, fixture.traffic.get("/single/a", "a1").status);
}

TEST(EdgeTraffic, ANonRepeatableRequestReachesOneLeafWhenTheReplyFails)
{
    scripted_leaf first { [](std::string const&) { return scripted_reply { "", false, true }; } };
    scripted_leaf second { [](std::string const&) { return scripted_reply { "garbage\r\n\r\n", true, false }; } };
    edge_traffic_harness traffic;
    traffic.declare(1, { engine_harness::singleRoute(false) });
    traffic.registerLeafs({ makeRegistration("first", "desk", first), makeRegistration("second", "desk", second) });
    static constexpr std::size_t requestCount = 20;
    for (std::size_t count = 0; count < requestCount; ++count)
        LONGS_EQUAL(502, traffic.post("/single/a", "a" + std::to_string(count), "order").status);
    LONGS_EQUAL(requestCount, first.requests().size() + second.requests().size());
}

TEST(EdgeTraffic, InvalidRequestsGetTheMatchingErrorStatus)
{
    one_leaf_fixture fixture { replySuccessfully };
    LONGS_EQUAL(404, fixture.traffic.get("/other/a", "a1").status);
    LONGS_EQUAL(400, fixture.traffic.send("nonsense\r\n\r\n").status);
    LONGS_EQUAL(431, fixture.traffic.send("GET /single/a HTTP/1.1\r\nHost: host\r\nX-Long: " + std::string(20'000, 'x') + "\r\n\r\n").status);
    LONGS_EQUAL(413, fixture.traffic.send("POST /single/a HTTP/1.1\r\nHost: host\r\nContent-Length: 300000\r\n\r\n").status);
    LONGS_EQUAL(0, fixture.leaf.requests().size());
}

TEST(EdgeTraffic, ARequestWithTwoLengthHeadersIsRejected)
{
    one_leaf_fixture fixture { replySuccessfully };
    auto const answer = fixture.traffic.send("POST /single/a HTTP/1.1\r\nHost: host\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /single/smuggled HTTP/1.1\r\nHost: host\r\n\r\n");
    LONGS_EQUAL(400, answer.status);
    LONGS_EQUAL(0, fixture.leaf.requests().size());
}

// Guards against requests that are smuggled in bodies whose end is not certain, and against bodies that are lost.
TEST(EdgeTraffic, NothingBehindAnUncertainBodyIsRun)
{
    static constexpr auto smuggled = "GET /single/smuggled HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: inner\r\n\r\n";
    for (auto const* const lines : {
             "Transfer-Encoding: gzip\r\n",
             "Transfer-Encoding: identity\r\n",
             "Transfer-Encoding: chunked, gzip\r\n",
             "Transfer-Encoding: gzip, chunked\r\n",
             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
             "Transfer-Encoding: xchunked\r\n",
             "Transfer-Encoding : chunked\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
             "Content-Length: 4\r\nTransfer-Encoding: gzip\r\n",
             "Content-Length: 4\r\nContent-Length: 5\r\n",
             "Content-Length: +4\r\n",
             "Content-Length: -4\r\n",
             "Content-Length: 4 4\r\n",
             "Content-Length: 4, 5\r\n",
             "Content-Length: 0x4\r\n",
             "Content-Length: 99999999999999999999\r\n",
             "Content-Length: 4\r\nX: a\r\n b\r\n",
             "X: a\nContent-Length: 4\r\n",
             "X: a\rContent-Length: 4\r\n",
             " Content-Length: 4\r\n",
         }) {
        one_leaf_fixture fixture { replySuccessfully };
        auto const answer = fixture.traffic.send(std::string { "POST /single/a HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: outer\r\n" } + lines + "\r\n" + smuggled);
        CHECK_TEXT(answer.status >= 400 && answer.status < 500, lines);
        STRCMP_EQUAL_TEXT("close", answer.header("Connection").c_str(), lines);
        std::this_thread::sleep_for(std::chrono::milliseconds { 20 });
        LONGS_EQUAL_TEXT(0, fixture.leaf.requests().size(), lines);
    }
}
