// Real daemons that learn of an evacuation from the store or from each other.

#include "Tests/Support/http_call.h"
#include "Tests/Support/small_edge_fleet.h"
#include <CppUTest/TestHarness.h>
#include <boost/json/object.hpp>

using namespace zinnialedge;
using namespace std::chrono_literals;
using tests::edge_fleet;
using tests::replySuccessfully;
using tests::scripted_leaf;

TEST_GROUP(EdgeEvacuation) {};

// Guards against: the bytes of a call that a leaf has not taken before the evacuation reach it seconds later.
TEST(EdgeEvacuation, CallThatIsNotDeliveredIsGivenUp)
{
    edge_fleet fleet { 1 };
    // A leaf that accepts no connection: its machine takes the first bytes of a large body only.
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor standing { context, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
    standing.set_option(boost::asio::socket_base::receive_buffer_size { 8192 });
    fleet.registerLeaf("desk0", "desk", { "127.0.0.1", standing.local_endpoint().port() });
    fleet.declare(1, 1, false);
    fleet.replaceSetting(0, "evacuations", true);
    fleet.start(0);
    CHECK(fleet.waitUntilReady());
    auto const startedAt = std::chrono::steady_clock::now();
    std::string const body(200'000, 'x');
    auto const request = "POST /single/a HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: a1\r\nZinnialedge-Deadline-Ms: 6000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    tests::caller_answer answer;
    std::thread caller { [&] { answer = tests::sendOverNewConnection(fleet.daemon(0).callers, request); } };
    std::this_thread::sleep_for(300ms);
    fleet.store().put("evacuations", "here", boost::json::object {});
    caller.join();
    LONGS_EQUAL(502, answer.status);
    CHECK(std::chrono::steady_clock::now() - startedAt < 3s);
}

// Guards against: a daemon whose store is away calls leafs of a data centre that is evacuated, although another daemon knows of it.
TEST(EdgeEvacuation, DaemonWithoutTheStoreLearnsOfTheEvacuationFromAnother)
{
    edge_fleet fleet { 2 };
    scripted_leaf localLeaf { replySuccessfully };
    scripted_leaf remoteLeaf { replySuccessfully };
    fleet.registerLeaf("desk0", "desk", localLeaf.place());
    fleet.registerLeaf("desk1", "desk", remoteLeaf.place(), "ready", "there");
    for (std::size_t shard = 0; shard < 4; ++shard)
        fleet.registerLeaf("leaf" + std::to_string(shard), "shard" + std::to_string(shard), shard == 0 ? remoteLeaf.place() : localLeaf.place(), "ready", shard == 0 ? "there" : "here");
    fleet.declare(1, 4, true);
    fleet.replaceSetting(0, "evacuations", true);
    fleet.replaceSetting(1, "evacuations", true);
    // Nothing listens there.
    fleet.replaceSetting(1, "store", "127.0.0.1:1");
    fleet.start(0);
    fleet.start(1);
    CHECK(fleet.waitUntilReady());
    STRCMP_EQUAL("0", fleet.get(1, "/gather/a", "a0").header("Zinnialedge-Missing-Parts").c_str());

    auto const checkEvacuated = [&](std::string const& name) {
        auto const before = remoteLeaf.requests().size();
        for (int count = 0; count < 10; ++count) {
            auto const attempt = name + std::to_string(count);
            LONGS_EQUAL(200, fleet.get(1, "/single/a", "s" + attempt).status);
            STRCMP_EQUAL("1", fleet.get(1, "/gather/a", "g" + attempt).header("Zinnialedge-Missing-Parts").c_str());
        }
        LONGS_EQUAL(before, remoteLeaf.requests().size());
    };
    fleet.store().put("evacuations", "there", "unreadable");
    CHECK(fleet.daemon(0).process->waitForLine("event=evacuation_began data_centre=there leafs=2", 1s).has_value());
    CHECK(fleet.daemon(1).process->waitForLine("event=evacuation_began data_centre=there leafs=2", 4s).has_value());
    checkEvacuated("running");
    // A daemon that starts during the evacuation calls no leaf there before it knows of it.
    fleet.daemon(1).process.reset();
    fleet.start(1);
    CHECK(fleet.waitUntilReady());
    checkEvacuated("started");

    fleet.store().erase("evacuations", "there");
    CHECK(fleet.daemon(1).process->waitForLine("event=evacuation_ended data_centre=there", 5s).has_value());
    STRCMP_EQUAL("0", fleet.get(1, "/gather/a", "a9").header("Zinnialedge-Missing-Parts").c_str());
}

// Guards against: subscribers and a daemon that the store turns away do not hear of an evacuation and its end from other daemons.
TEST(EdgeEvacuation, PollsTellSubscribersOfEvacuations)
{
    constexpr std::size_t daemons = 6;
    edge_fleet fleet { daemons };
    scripted_leaf leaf { replySuccessfully };
    fleet.registerLeaf("desk0", "desk", leaf.place());
    fleet.declare(1, 1, true);
    for (std::size_t index = 0; index < daemons; ++index)
        fleet.replaceSetting(index, "evacuations", true);
    // Nothing listens there.
    fleet.replaceSetting(daemons - 1, "store", "127.0.0.1:1");
    for (std::size_t index = 0; index < daemons; ++index)
        fleet.start(index);
    CHECK(fleet.waitUntilReady());
    auto const stateOf = [&](std::size_t index) { return tests::getJson(fleet.daemon(index).operators, "/state").at("services").at("fleet").as_object(); };
    auto const countReading = [&] {
        std::size_t count = 0;
        for (std::size_t index = 0; index < daemons; ++index)
            count += stateOf(index).at("reads_store").as_bool() ? 1 : 0;
        return count;
    };
    CHECK(tests::waitUntil([&] { return countReading() <= 3; }, 15s));
    auto const allKnow = [&](std::size_t evacuations) {
        for (std::size_t index = 0; index < daemons; ++index) {
            if (stateOf(index).at("evacuations").as_array().size() != evacuations)
                return false;
        }
        return true;
    };
    fleet.store().put("evacuations", "there", boost::json::object {});
    CHECK(tests::waitUntil([&] { return allKnow(1); }, 2s));
    fleet.store().erase("evacuations", "there");
    CHECK(tests::waitUntil([&] { return allKnow(0); }, 2s));
    CHECK(countReading() <= 3);
}
