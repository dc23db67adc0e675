#include "Tests/Support/cluster.h"
#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>
#include <fstream>

using namespace zinnialedge;
using namespace zinnialedge::tests;
namespace json = boost::json;
using namespace std::chrono_literals;

TEST_GROUP(MembershipProcesses)
{
    std::unique_ptr<cluster> running;

    void setup() override
    {
        running = std::make_unique<cluster>();
        running->startService(smallPlan("lunch-portal", "suva", 2));
    }

    void teardown() override
    {
        running = nullptr;
    }

    void startDaemons(int count)
    {
        for (int number = 1; number <= count; ++number)
            running->startDaemon("suva-" + std::to_string(number), "suva", "suva-a");
        for (int number = 1; number <= count; ++number)
            CHECK(waitUntil([&] { return countIn(number) == static_cast<std::size_t>(count); }));
    }

    running_daemon& daemon(int number)
    {
        return running->daemon("suva-" + std::to_string(number));
    }

    /// How many daemons the directory of that one names.
    std::size_t countIn(int number)
    {
        auto const directory = getJson(daemon(number).callers, "/directory?service=lunch-portal");
        auto const* addresses = directory.is_object() ? directory.as_object().if_contains("addresses") : nullptr;
        return addresses ? addresses->as_array().size() : 0;
    }

    model::query_request makeConfirm(std::string ticket)
    {
        model::query_request request;
        request.service = "lunch-portal";
        request.requestKind = "confirm";
        request.key = "order-1";
        request.ticket = std::move(ticket);
        return request;
    }

    static constexpr auto outOfDirectory = 3s;
};

TEST(MembershipProcesses, ADeadOrFrozenDaemonLeavesTheDirectoryWithinThreeSeconds)
{
    startDaemons(4);
    auto const isLeftOut = [&](std::size_t count) { return countIn(1) == count && countIn(2) == count; };
    daemon(4).process->signal(SIGKILL);
    CHECK(waitUntil([&] { return isLeftOut(3); }, outOfDirectory));
    daemon(3).process->signal(SIGSTOP);
    CHECK(waitUntil([&] { return isLeftOut(2); }, outOfDirectory));
    daemon(3).process->signal(SIGCONT);
    CHECK(waitUntil([&] { return isLeftOut(3) && countIn(3) == 3; }));
}

TEST(MembershipProcesses, ARelayToADaemonThatDiesHasNoKnownOutcomeLongBeforeItsDeadline)
{
    startDaemons(3);
    auto request = makeConfirm(ticketPrefix(daemon(3).callers, "lunch-portal") + "~1");
    request.deadline = 60s;
    daemon(3).process->signal(SIGSTOP);
    auto const begin = std::chrono::steady_clock::now();
    auto const inFlight = query(daemon(1).callers, request);
    CHECK(std::chrono::steady_clock::now() - begin < 11s);
    CHECK(inFlight.error().kind == errors::error_kind::outcome_unknown);
    auto const later = query(daemon(1).callers, request);
    CHECK(later.error().kind == errors::error_kind::outcome_unknown);
    daemon(3).process->signal(SIGCONT);
}

TEST(MembershipProcesses, WithTheStoreOutADaemonStartsFromItsSeeds)
{
    startDaemons(2);
    running->platformProcess().signal(SIGSTOP);
    auto const seed = daemon(1).peers;
    running->startDaemon("suva-3", "suva", "suva-a", [&](json::object& settings) {
        settings["seeds"] = json::array { { { "address", seed.address }, { "port", seed.port } } };
    });
    CHECK(running->waitForLeafs(daemon(3), "lunch-portal"));
    CHECK(waitUntil([&] { return countIn(1) == 3 && countIn(2) == 3 && countIn(3) == 3; }, 11s));
    running->platformProcess().signal(SIGCONT);
}
