// Leafs and daemons that keep no rules, within the limits of a single reply or datagram.

#include "Libraries/zinnialedge/wire/membership_codec.h"
#include "Tests/Faults/crowd_checks.h"
#include "Tests/Support/http_call.h"
#include "Tests/Support/small_edge_fleet.h"
#include <boost/asio/ip/udp.hpp>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::checkBears;
using tests::crowded_daemon;
using tests::scripted_reply;

namespace {

std::string chunkedReplyHead(std::string const& request)
{
    return "HTTP/1.1 200 OK\r\nZinnialedge-Server-Seal: seal-" + tests::rawHeaderValue(request, "Zinnialedge-Target-Instance") + "\r\nZinnialedge-Attempt-Id: " + tests::rawHeaderValue(request, "Zinnialedge-Attempt-Id") + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string repeat(std::string const& text, std::size_t bytes)
{
    std::string repeated;
    repeated.reserve(bytes + text.size());
    while (repeated.size() < bytes)
        repeated += text;
    return repeated;
}

/// Returns whether a request is of the crowd, whose requests get the replies of leafs in trouble.
bool isOfCrowd(std::string const& request)
{
    return request.find("/crowd") != std::string::npos;
}

/// Sends requests one after another on each of some connections, and reads the answers.
void sendRequests(crowded_daemon& daemon, std::string const& path, std::size_t connectionCount, std::size_t requestCount)
{
    std::vector<std::thread> callers;
    callers.reserve(connectionCount);
    for (std::size_t caller = 0; caller < connectionCount; ++caller) {
        callers.emplace_back([&, caller] {
            for (std::size_t number = 0; number < requestCount; ++number)
                tests::callHttp(daemon.callers(), { "GET", path, {}, { { "Host", "host" }, { "Zinnialedge-Attempt-Id", "c" + std::to_string(caller) + "-" + std::to_string(number) }, { "Zinnialedge-Deadline-Ms", "5000" } } }, 10s);
        });
    }
    for (auto& each : callers)
        each.join();
}

}

TEST_GROUP(CrowdReplyTrailers) {};

// The fields of a trailer take far more memory than their bytes.
TEST(CrowdReplyTrailers, ManyFieldsWithAnEnd)
{
    static constexpr std::size_t trailerBytes = 6U << 20U;
    auto const trailer = repeat("a:\r\n", trailerBytes);
    auto const reply = [&](std::string const& request) {
        return isOfCrowd(request) ? scripted_reply { chunkedReplyHead(request) + "1\r\nx\r\n0\r\n" + trailer + "\r\n" } : tests::replySuccessfully(request);
    };
    crowded_daemon daemon { reply, reply };
    checkBears(daemon.watch([&] { sendRequests(daemon, "/single/crowd", 2, 1); }));
}

TEST_GROUP(CrowdReplyParts) {};

// Complete replies that wait for those of other shards.
TEST(CrowdReplyParts, LargeOnes)
{
    static constexpr std::size_t partBytes = 7U << 20U;
    auto const reply = [](std::string const& request) {
        return isOfCrowd(request) ? scripted_reply { tests::sealedReply(request, std::string(partBytes, 'x')) } : tests::replySuccessfully(request);
    };
    crowded_daemon daemon { reply, reply };
    checkBears(daemon.watch([&] { sendRequests(daemon, "/gather/crowd", 8, 2); }));
}

TEST_GROUP(CrowdReplyBodies) {};

TEST(CrowdReplyBodies, UnfinishedOnes)
{
    auto const reply = [](std::string const& request) {
        return isOfCrowd(request) ? scripted_reply { chunkedReplyHead(request), false, false, repeat("100\r\n" + std::string(256, 'x') + "\r\n", 65'536) } : tests::replySuccessfully(request);
    };
    crowded_daemon daemon { reply, reply };
    checkBears(daemon.watch([&] { sendRequests(daemon, "/gather/crowd", 16, 2); }));
}

TEST_GROUP(CrowdUnreadCalls) {};

// Requests with large bodies to leafs that read nothing.
TEST(CrowdUnreadCalls, OfRequestsOverShards)
{
    auto const reply = [](std::string const& request) {
        auto made = tests::replySuccessfully(request);
        made.runTime = isOfCrowd(request) ? 3000ms : 0ms;
        return made;
    };
    crowded_daemon daemon { reply, reply };
    std::string const body(crowded_daemon::maximumBodyBytes, 'x');
    auto const request = "POST /gather/crowd HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: crowd\r\nZinnialedge-Deadline-Ms: 20000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    checkBears(daemon.meet({ { .endpoint = daemon.callers(), .connectionCount = 40, .start = request } }));
}

TEST_GROUP(CrowdOfMembers) {};

// Datagrams that name ever more daemons.
TEST(CrowdOfMembers, ThatNobodyHasStarted)
{
    static constexpr std::size_t memberCount = 60'000;
    static constexpr std::size_t membersPerDatagram = 5;
    crowded_daemon daemon;
    checkBears(daemon.watch([&] {
        boost::asio::io_context context;
        boost::asio::ip::udp::socket socket { context, boost::asio::ip::udp::v4() };
        boost::asio::ip::udp::endpoint const to { boost::asio::ip::make_address(daemon.peers().address), daemon.peers().port };
        auto const makeUpdate = [](std::size_t number) {
            auto const address = "127.200." + std::to_string(number / 250 % 250) + "." + std::to_string(1 + number % 250);
            auto const port = static_cast<std::uint16_t>(2000 + number / 62'500);
            membership::member_update update;
            update.record = { .name = "member" + std::to_string(number) + "." + std::string(100, 'x'), .partner = "all", .region = "region", .dataCentre = "here", .incarnation = 1, .callerEndpoint = { address, port }, .peerEndpoint = { address, port } };
            update.version = 1;
            update.status = membership::member_status::joining;
            return update;
        };
        for (std::size_t number = 0; number < memberCount; number += membersPerDatagram) {
            membership::datagram content;
            content.kind = membership::datagram_kind::acknowledgement;
            content.sender = makeUpdate(number);
            for (std::size_t other = 1; other < membersPerDatagram; ++other)
                content.updates.push_back(makeUpdate(number + other));
            boost::system::error_code ignored;
            socket.send_to(boost::asio::buffer(wire::encodeDatagram(content)), to, 0, ignored);
            std::this_thread::sleep_for(1ms);
        }
    }));
}

// Guards against: the number of elements that a datagram announces reserves memory for all of them.
TEST(CrowdOfMembers, DatagramsThatAnnounceMoreThanTheyHave)
{
    // A list of 2^31 - 1 updates, suspect requests, or usages of a report, none of which follows.
    std::string const announced { "\xfc\xff\xff\xff\xff\x07" };
    crowded_daemon daemon;
    checkBears(daemon.watch([&] {
        boost::asio::io_context context;
        boost::asio::ip::udp::socket socket { context, boost::asio::ip::udp::v4() };
        boost::asio::ip::udp::endpoint const to { boost::asio::ip::make_address(daemon.peers().address), daemon.peers().port };
        for (std::string const field : { "\x79", "\x99", "\xac\x69" }) {
            boost::system::error_code ignored;
            socket.send_to(boost::asio::buffer(field + announced), to, 0, ignored);
            std::this_thread::sleep_for(500ms);
        }
    }));
}

TEST_GROUP(CrowdPeerAnswers) {};

// The JSON of an answer takes far more memory than its bytes.
TEST(CrowdPeerAnswers, WithManyValues)
{
    static constexpr std::size_t answerBytes = 7U << 20U;
    static constexpr std::size_t askedCount = 3;
    auto const body = "[" + repeat("[],", answerBytes) + "[]]";
    tests::scripted_leaf peer { [&](std::string const&) { return scripted_reply { "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body }; } };
    crowded_daemon daemon;
    checkBears(daemon.watch([&] {
        boost::asio::io_context context;
        boost::asio::ip::udp::socket socket { context, { boost::asio::ip::make_address(peer.place().address), peer.place().port } };
        membership::datagram content;
        content.kind = membership::datagram_kind::acknowledgement;
        content.sender.record = { .name = "peer.1", .partner = "all", .region = "region", .dataCentre = "here", .incarnation = 1, .callerEndpoint = peer.place(), .peerEndpoint = peer.place() };
        content.sender.version = 1;
        content.sender.status = membership::member_status::serving;
        // A daemon with another configuration is asked for it.
        CHECK(tests::waitUntil([&] {
            ++content.configurationDigest;
            socket.send_to(boost::asio::buffer(wire::encodeDatagram(content)), { boost::asio::ip::make_address(daemon.peers().address), daemon.peers().port });
            std::this_thread::sleep_for(100ms);
            return peer.requests().size() >= askedCount;
        }));
        std::this_thread::sleep_for(2s);
    }));
}
