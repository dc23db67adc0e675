// Leafs that stop in the middle of a reply and close the connection. Callers must not get a success that looks complete.

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

enum class framing {
    length,
    chunks,
    /// The body ends with the connection.
    none,
};

std::string const body = std::string(16, 'a') + std::string(16, 'b');

std::string formatReply(std::string const& request, framing kind)
{
    auto reply = sealedReply(request, body);
    auto const lengthLine = reply.find("Content-Length");
    auto const headEnd = reply.find("\r\n\r\n");
    if (kind == framing::length)
        return reply;
    auto const head = reply.substr(0, lengthLine);
    if (kind == framing::none)
        return head + "\r\n" + reply.substr(headEnd + 4);
    return head + "Transfer-Encoding: chunked\r\n\r\n10\r\n" + body.substr(0, 16) + "\r\n10\r\n" + body.substr(16) + "\r\n0\r\n\r\n";
}

/// Requests with the id "cut-N-X" get the first N bytes of their reply and the end of the connection; all others get a complete reply.
struct cutting_leaf {
    explicit cutting_leaf(framing kind)
        : leaf([this, kind](std::string const& request) {
            auto const reply = formatReply(request, kind);
            auto const id = rawHeaderValue(request, "Zinnialedge-Attempt-Id");
            if (!id.starts_with("cut-"))
                return scripted_reply { sealedReply(request, body), false, false };
            ++cutCount;
            auto const length = std::stoul(id.substr(4));
            return scripted_reply { reply.substr(0, length), true, false };
        })
    {
    }

    std::atomic<std::size_t> cutCount { 0 };
    scripted_leaf leaf;
};

/// Returns the number of bytes of a reply that a leaf may send before it is complete.
std::size_t incompleteBytes(framing kind, std::string const& id)
{
    auto const request = "GET / HTTP/1.1\r\nZinnialedge-Attempt-Id: " + id + "\r\nZinnialedge-Target-Instance: leaf0\r\n\r\n";
    auto const reply = formatReply(request, kind);
    return kind == framing::none ? reply.find("\r\n\r\n") + 3 : reply.size() - 1;
}

}

TEST_GROUP(CutReplies) {};

// Guards against a success with an empty or short body when a leaf stops in the middle of its reply.
TEST(CutReplies, NoCutReplyBecomesASuccess)
{
    for (auto const kind : { framing::length, framing::chunks, framing::none }) {
        cutting_leaf desk { kind };
        cutting_leaf shard { kind };
        edge_traffic_harness traffic;
        traffic.declare(1, { engine_harness::singleRoute(false), engine_harness::gatherRoute(1, 1) });
        traffic.registerLeafs({ makeRegistration("leaf0", "desk", desk.leaf), makeRegistration("leaf1", "shard0", shard.leaf) });
        auto const last = incompleteBytes(kind, "cut-100-p");
        for (std::size_t length = 0; length <= last; ++length) {
            auto const number = std::to_string(length);
            // Replies to shorter ids are shorter.
            if (length > incompleteBytes(kind, "cut-" + number + "-p"))
                continue;
            // The paths differ, since a request under which connections break again and again is quarantined.
            auto const single = traffic.post("/single/" + number, "cut-" + number + "-p", "order");
            CHECK_TEXT(single.isTruncated || single.status >= 400, number.c_str());
            auto const query = traffic.get("/gather/" + number, "cut-" + number + "-g");
            CHECK_TEXT(query.isTruncated || query.status >= 400, number.c_str());
            // Successes keep the leafs in use, and show that kept connections are sound.
            STRCMP_EQUAL(body.c_str(), traffic.post("/single/whole", "p" + number, "order").body.c_str());
            LONGS_EQUAL(200, traffic.get("/gather/whole", "g" + number).status);
        }
        CHECK(desk.cutCount > last / 2);
        CHECK(shard.cutCount > last / 2);
    }
}
