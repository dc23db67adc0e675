// Load pattern: leafs under pressure that name the number of requests per second that they accept from all daemons together.

#include "Tests/Support/engine_harness.h"
#include "platform/edge_codec.h"
#include <CppUTest/TestHarness.h>
#include <cmath>
#include <limits>

using namespace zinnialedge;
using namespace std::chrono_literals;
using forwarding::leaf_rate_limit;
using forwarding::leaf_reply;
using tests::engine_harness;

namespace {

/// The service "desk" with one leaf.
struct limited_desk : engine_harness {
    limited_desk()
    {
        declare(1, { singleRoute(true) });
        registerLeafs({ "desk" }, 1);
    }

    /// Sends one request and replies with the limit, or without one. Returns the handle of the leaf.
    std::uint32_t serveOnce(std::optional<double> limit)
    {
        arrive("/single/1");
        auto const call = openCalls("desk").front();
        reply(call.number, sealedReply(limit));
        return call.leaf;
    }

    static leaf_reply sealedReply(std::optional<double> limit)
    {
        leaf_reply made;
        made.status = 200;
        made.seal = "seal";
        made.requestLimit = limit;
        return made;
    }

    leaf_rate_limit const& limitOf(std::uint32_t leaf) const { return engine.leafs().at(leaf).rateLimit(); }
};

}

TEST_GROUP(LeafRateLimit) {};

TEST(LeafRateLimit, HoldsUntilAReplyNamesNone)
{
    limited_desk desk;
    auto const leaf = desk.serveOnce(12.5);
    CHECK(desk.limitOf(leaf).isInForce());
    DOUBLES_EQUAL(12.5, desk.limitOf(leaf).requestsPerSecond(), 0);
    desk.pass(10s);
    desk.serveOnce(7);
    DOUBLES_EQUAL(7, desk.limitOf(leaf).requestsPerSecond(), 0);
    desk.pass(10s);
    desk.serveOnce({});
    CHECK(!desk.limitOf(leaf).isInForce());
    LONGS_EQUAL(2, desk.engine.counters().leafLimits);
    LONGS_EQUAL(1, desk.engine.counters().leafLimitsEnded);
}

// Guards against a reply that was written before the leaf named its limit, and that ends the limit because it arrives later.
TEST(LeafRateLimit, OvertakenReplyDoesNotEndIt)
{
    limited_desk desk;
    desk.arrive("/single/1");
    desk.pass(1ms);
    desk.arrive("/single/2");
    auto const calls = desk.openCalls("desk");
    LONGS_EQUAL(2, calls.size());
    desk.reply(calls.back().number, desk.sealedReply(5));
    desk.pass(1ms);
    desk.reply(calls.front().number, desk.sealedReply({}));
    CHECK(desk.limitOf(calls.front().leaf).isInForce());
}

TEST(LeafRateLimit, OnlySealedRepliesEndIt)
{
    limited_desk desk;
    auto const leaf = desk.serveOnce(5);
    desk.pass(5s);
    desk.arrive("/single/1");
    desk.shed(desk.openCalls("desk").front().number);
    CHECK(desk.limitOf(leaf).isInForce());
    desk.engine.handleUnmatchedReply(leaf, desk.sealedReply({}), desk.now());
    CHECK(desk.limitOf(leaf).isInForce());
}

TEST(LeafRateLimit, UnmatchedReplyCanNameIt)
{
    limited_desk desk;
    auto const leaf = desk.serveOnce({});
    desk.engine.handleUnmatchedReply(leaf, desk.sealedReply(5), desk.now());
    CHECK(desk.limitOf(leaf).isInForce());
}

TEST(LeafRateLimit, ReplyOfAnotherLeafAtTheAddressDoesNotCount)
{
    limited_desk desk;
    auto const leaf = desk.serveOnce({});
    auto misdirected = desk.sealedReply(5);
    misdirected.isMisdirected = true;
    desk.engine.handleUnmatchedReply(leaf, misdirected, desk.now());
    CHECK(!desk.limitOf(leaf).isInForce());
}

TEST(LeafRateLimit, InvalidNumberIsIgnoredAndKeepsTheLimit)
{
    limited_desk desk;
    auto const leaf = desk.serveOnce(5);
    for (auto const invalid : { -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity() }) {
        desk.pass(5s);
        desk.serveOnce(invalid);
        DOUBLES_EQUAL(5, desk.limitOf(leaf).requestsPerSecond(), 0);
    }
    LONGS_EQUAL(3, desk.engine.counters().leafLimitsIgnored);
}

TEST(LeafRateLimit, HeaderHoldsADecimalNumber)
{
    auto const protocol = platform::makeEdgeProtocol();
    leaf_reply reply;
    CHECK(protocol.parseReplyHeader("Server-Limit", "12.25", reply));
    DOUBLES_EQUAL(12.25, *reply.requestLimit, 0);
    for (auto const* const malformed : { "", "12 a second", "x", "0x10" }) {
        reply.requestLimit.reset();
        CHECK(protocol.parseReplyHeader("Server-Limit", malformed, reply));
        CHECK(reply.requestLimit && std::isnan(*reply.requestLimit));
    }
}
