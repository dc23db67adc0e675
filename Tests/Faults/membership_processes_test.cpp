#include "Libraries/zinnialedge/membership/directory.h"
#include "Tests/Support/cluster.h"
#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>
#include <fstream>
#include <sstream>
#include <thread>

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

    /// Returns the number of daemons in the directory of the daemon with that number.
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

    /// Writes a load plan that queries the directory of every daemon. Returns the arguments of the load tool.
    std::vector<std::string> writePlan(int daemons, std::chrono::milliseconds duration)
    {
        json::array places;
        for (int number = 1; number <= daemons; ++number)
            places.push_back({ { "address", "127.0.0.1" }, { "port", daemon(number).callers.port } });
        auto const stream = [](char const* request, bool isKeyed, bool isTicketed) {
            return json::value { { "service", "lunch-portal" }, { "request", request }, { "per_second", 60 }, { "keyed", isKeyed }, { "ticketed", isTicketed } };
        };
        json::object const plan {
            { "directory", places },
            { "duration_ms", duration.count() },
            { "warm_up_ms", 0 },
            { "streams", { stream("search", false, false), stream("read", true, false), stream("confirm", true, true) } },
        };
        auto const file = running->folder() / "plan.json";
        std::ofstream { file } << json::serialize(plan);
        return { "--plan=" + file.string(), "--csv=" + (running->folder() / "load.csv").string() };
    }

    /// Stops a daemon with SIGTERM and starts a new daemon with an equal name at the previous caller port.
    void restart(int number)
    {
        auto const port = daemon(number).callers.port;
        daemon(number).process->signal(SIGTERM);
        LONGS_EQUAL(0, daemon(number).process->waitForExit().value_or(-1));
        running->startDaemon("suva-" + std::to_string(number), "suva", "suva-a", [port](json::object& settings) { settings["callers"].as_object()["port"] = port; });
    }

    static std::string describe(model::answer_or_error const& answer)
    {
        if (answer)
            return "answered";
        return std::string { errors::answerFor(answer.error().kind).name } + ": " + answer.error().message;
    }

    static constexpr auto outOfDirectory = 3s;
};

TEST(MembershipProcesses, ADeadOrFrozenDaemonLeavesTheDirectoryWithinThreeSeconds)
{
    startDaemons(4);
    auto const isLeftOut = [&](std::size_t count) { return countIn(1) == count && countIn(2) == count; };
    daemon(4).process->signal(SIGKILL);
    CHECK(waitUntil([&] { return isLeftOut(3); }, outOfDirectory));
    daemon(3).process->pause();
    CHECK(waitUntil([&] { return isLeftOut(2); }, outOfDirectory));
    daemon(3).process->signal(SIGCONT);
    CHECK(waitUntil([&] { return isLeftOut(3) && countIn(3) == 3; }));
}

TEST(MembershipProcesses, ARelayToADaemonThatDiesHasNoKnownOutcomeLongBeforeItsDeadline)
{
    startDaemons(3);
    auto request = makeConfirm(ticketPrefix(daemon(3).callers, "lunch-portal") + "~1");
    request.deadline = 60s;
    daemon(3).process->pause();
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
    running->platformProcess().pause();
    auto const seed = daemon(1).peers;
    running->startDaemon("suva-3", "suva", "suva-a", [&](json::object& settings) {
        settings["seeds"] = json::array { { { "address", seed.address }, { "port", seed.port } } };
    });
    CHECK(running->waitForLeafs(daemon(3), "lunch-portal"));
    CHECK(waitUntil([&] { return countIn(1) == 3 && countIn(2) == 3 && countIn(3) == 3; }, 11s));
    running->platformProcess().signal(SIGCONT);
}

TEST(MembershipProcesses, ARollingRestartOfAllInterruptsAndRefusesNothing)
{
    startDaemons(3);
    child_process load { "zl-load", writePlan(3, 24s) };
    // The load tool has read the directory once the first daemon has counted a query.
    CHECK(waitUntil([&] { return getJson(daemon(1).operators, "/state").at("services").at("decisions").at("counters").at("queries").to_number<int>() > 0; }));
    for (int number = 1; number <= 3; ++number) {
        restart(number);
        CHECK(waitUntil([&] { return countIn(1) == 3 && countIn(2) == 3 && countIn(3) == 3; }));
    }
    LONGS_EQUAL(0, load.waitForExit(60s).value_or(-1));
    std::ifstream csv { running->folder() / "load.csv" };
    std::string line;
    std::getline(csv, line);
    std::uint64_t sent = 0;
    while (std::getline(csv, line)) {
        std::vector<std::string> cells;
        std::istringstream row { line };
        for (std::string cell; std::getline(row, cell, ',');)
            cells.push_back(cell);
        sent += std::stoull(cells.at(3));
        STRCMP_EQUAL_TEXT("0", cells.at(6).c_str(), line.c_str());
    }
    CHECK(sent > 3000);
}

TEST(MembershipProcesses, ASecondSignalEndsTheWaitOfAPlannedStop)
{
    startDaemons(2);
    auto const begin = std::chrono::steady_clock::now();
    daemon(2).process->signal(SIGTERM);
    CHECK(daemon(2).process->waitForLine("event=leaving").has_value());
    CHECK(waitUntil([&] { return countIn(1) == 1; }, outOfDirectory));
    daemon(2).process->signal(SIGTERM);
    LONGS_EQUAL(0, daemon(2).process->waitForExit().value_or(-1));
    CHECK(std::chrono::steady_clock::now() - begin < 2 * membership::directoryValidity);
}

TEST(MembershipProcesses, ALeavingDaemonAnswersATicketThatRanBefore)
{
    startDaemons(2);
    auto const request = makeConfirm(ticketPrefix(daemon(2).callers, "lunch-portal") + "~1");
    CHECK(query(daemon(2).callers, request).has_value());
    for (auto const& leaf : running->leafsOf("lunch-portal"))
        running->setLeafFaults(leaf, { { "slow_factor", 12'000 } });
    auto slow = makeConfirm(ticketPrefix(daemon(2).callers, "lunch-portal") + "~2");
    slow.deadline = 15s;
    std::thread caller { [&] { std::ignore = query(daemon(2).callers, slow); } };
    daemon(2).process->signal(SIGTERM);
    CHECK(waitUntil([&] {
        auto const state = getJson(daemon(2).operators, "/state");
        return state.is_object() && state.at("services").at("callers").at("refusing").as_bool();
    }));
    auto const again = query(daemon(2).callers, request);
    CHECK(again.has_value() && again->isRemembered);
    auto const fresh = query(daemon(2).callers, makeConfirm(request.ticket + "-other"));
    CHECK(fresh.error().kind == errors::error_kind::leaving);
    caller.join();
    LONGS_EQUAL(0, daemon(2).process->waitForExit().value_or(-1));
}

TEST(MembershipProcesses, ADaemonThatHearsNobodySaysSoAndRunsNothingThatMustNotBeRepeated)
{
    startDaemons(2);
    auto const& alone = daemon(1);
    auto const asked = makeConfirm(ticketPrefix(alone.callers, "lunch-portal") + "~1");
    CHECK(query(alone.callers, asked).has_value());
    running->platformProcess().pause();
    daemon(2).process->pause();
    CHECK(alone.process->waitForLine("event=cut_off").has_value());
    auto search = asked;
    search.requestKind = "search";
    search.ticket = {};
    CHECK(query(alone.callers, search)->isCutOff);
    CHECK(query(alone.callers, makeConfirm(asked.ticket + "-other")).error().kind == errors::error_kind::cut_off);
    CHECK(query(alone.callers, asked)->isRemembered);
    LONGS_EQUAL(0, countIn(1));
    // A reply from a peer ends the cut-off state although the store is still unresponsive.
    daemon(2).process->signal(SIGCONT);
    CHECK(waitUntil([&] { return countIn(1) == 2; }));
    CHECK(!query(alone.callers, search)->isCutOff);
    running->platformProcess().signal(SIGCONT);
}

TEST(MembershipProcesses, ADaemonThatWakesRunsNothingThatWaitedUntilItHearsSomebody)
{
    startDaemons(2);
    auto const& sleeper = daemon(1);
    auto const prefix = ticketPrefix(sleeper.callers, "lunch-portal");
    for (auto* process : { &running->platformProcess(), daemon(2).process.get(), sleeper.process.get() })
        process->pause();
    static constexpr int waiting = 20;
    std::vector<model::answer_or_error> answers(waiting, errors::fail(errors::error_kind::internal, "query not sent"));
    std::vector<std::thread> callers;
    callers.reserve(waiting);
    for (int number = 0; number < waiting; ++number)
        callers.emplace_back([&, number] { answers[number] = query(sleeper.callers, makeConfirm(prefix + "~" + std::to_string(number))); });
    // 12 s without a message from the store or a peer: the daemon must be cut off when its process resumes.
    std::this_thread::sleep_for(12s);
    sleeper.process->signal(SIGCONT);
    for (auto& caller : callers)
        caller.join();
    for (auto const& answer : answers)
        STRCMP_EQUAL("cut_off: this daemon hears neither the store nor its peers", describe(answer).c_str());
    daemon(2).process->signal(SIGCONT);
    running->platformProcess().signal(SIGCONT);
}
