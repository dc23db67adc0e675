#include "Tests/Support/cluster.h"
#include "Utilities/zl-load/answer_check.h"
#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>

using namespace zinnialedge;
using namespace zinnialedge::tests;

TEST_GROUP(WholePath)
{
    std::unique_ptr<cluster> testCluster;

    void setup() override
    {
        testCluster = std::make_unique<cluster>();
        testCluster->startService(smallPlan("lunch-portal", "suva", 3));
        auto const& daemon = testCluster->startDaemon("suva-1", "suva", "suva-a");
        CHECK(testCluster->waitForLeafs(daemon, "lunch-portal"));
    }

    void teardown() override
    {
        testCluster = nullptr;
    }

    /// Sends the signals to the daemon while a query is in flight. Returns whether the query gets a complete answer.
    bool answerAcrossSignals(std::vector<int> const& signals)
    {
        auto const& daemon = testCluster->daemon("suva-1");
        for (auto const& leaf : testCluster->leafsOf("lunch-portal"))
            testCluster->setLeafFaults(leaf, { { "slow_factor", 200 } });
        model::answer_or_error answer = errors::makeError(errors::error_kind::internal, "query not sent");
        std::thread caller { [&] {
            model::query_request request;
            request.id = "q1";
            request.service = "lunch-portal";
            request.requestKind = "search";
            request.deadline = std::chrono::milliseconds { 5000 };
            answer = query(daemon.callers, request);
        } };
        CHECK(waitUntil([&] { return getJson(daemon.operators, "/state").at("services").at("decisions").at("queries_in_flight").to_number<int>() == 1; }));
        for (auto const signal : signals) {
            daemon.process->signal(signal);
            std::this_thread::sleep_for(std::chrono::milliseconds { 50 });
        }
        caller.join();
        return answer.has_value() && answer->covered.isWhole();
    }

    static std::uint64_t runCountOf(std::vector<running_leaf> const& leafs, std::string const& ticket)
    {
        std::uint64_t runs = 0;
        for (auto const& leaf : leafs) {
            auto const counts = getJson(leaf.place, "/counts");
            if (auto const* found = counts.at("runs_of_ticket").as_object().if_contains(ticket))
                runs += found->to_number<std::uint64_t>();
        }
        return runs;
    }
};

TEST(WholePath, AQueryOverAllShardsIsMerged)
{
    model::query_request request;
    request.id = "q1";
    request.service = "lunch-portal";
    request.requestKind = "search";
    auto const answer = query(testCluster->daemon("suva-1").callers, request);
    CHECK(answer.has_value());
    CHECK(answer->covered.isWhole());
    LONGS_EQUAL(3, answer->covered.asked);
    LONGS_EQUAL(6, answer->rows.size());
    CHECK(!utilities::load::findAnswerError(*answer, "q1"));
}

TEST(WholePath, ARetriedTicketRunsOnce)
{
    auto const& daemon = testCluster->daemon("suva-1");
    model::query_request request;
    request.service = "lunch-portal";
    request.requestKind = "confirm";
    request.key = "order-1";
    request.ticket = ticketPrefix(daemon.callers, "lunch-portal") + "~1";
    auto const first = query(daemon.callers, request);
    auto const second = query(daemon.callers, request);
    CHECK(first.has_value());
    CHECK(second.has_value());
    CHECK(second->isRemembered);
    CHECK(first->rows == second->rows);
    LONGS_EQUAL(1, runCountOf(testCluster->leafsOf("lunch-portal"), request.ticket));
}

TEST(WholePath, ATicketOfAnotherDaemonIsRelayed)
{
    auto const& first = testCluster->daemon("suva-1");
    auto const& second = testCluster->startDaemon("suva-2", "suva", "suva-a");
    CHECK(testCluster->waitForLeafs(second, "lunch-portal"));
    CHECK(waitUntil([&] { return getJson(first.operators, "/state").at("services").at("decisions").at("daemons_known").to_number<int>() == 2; }));
    model::query_request request;
    request.service = "lunch-portal";
    request.requestKind = "confirm";
    request.key = "order-2";
    request.ticket = ticketPrefix(second.callers, "lunch-portal") + "~1";
    auto const relayed = query(first.callers, request);
    auto const direct = query(second.callers, request);
    CHECK(relayed.has_value());
    CHECK(direct.has_value());
    CHECK(direct->isRemembered);
    LONGS_EQUAL(1, runCountOf(testCluster->leafsOf("lunch-portal"), request.ticket));
}

TEST(WholePath, AnotherReplicaAnswersForAKilledLeaf)
{
    auto const& daemon = testCluster->daemon("suva-1");
    auto& leafs = testCluster->leafsOf("lunch-portal");
    leafs[0].process->signal(SIGKILL);
    CHECK(leafs[0].process->waitForExit().has_value());
    model::query_request request;
    request.id = "q1";
    request.service = "lunch-portal";
    request.requestKind = "search";
    auto const answer = query(daemon.callers, request);
    CHECK(answer.has_value());
    CHECK(answer->covered.isWhole());
    CHECK(!utilities::load::findAnswerError(*answer, "q1"));
}

TEST(WholePath, InvalidRequestsAreRejectedAndTheDaemonKeepsServing)
{
    auto const& endpoint = testCluster->daemon("suva-1").callers;
    auto const errorKindOf = [&](wire::http_request const& request) {
        auto const result = callHttp(endpoint, request);
        CHECK(result.has_value());
        auto const error = boost::json::parse(result->body).at("error");
        STRCMP_EQUAL("no", std::string { error.at("ran").as_string() }.c_str());
        return std::string { error.at("kind").as_string() };
    };
    STRCMP_EQUAL("malformed_request", errorKindOf({ "POST", "/query", "{", {} }).c_str());
    STRCMP_EQUAL("malformed_request", errorKindOf({ "POST", "/query", R"({"service":"lunch-portal","request":"search","surprise":1})", {} }).c_str());
    STRCMP_EQUAL("malformed_request", errorKindOf({ "POST", "/query", R"({"service":"lunch-portal","request":"search","deadline_ms":999999999})", {} }).c_str());
    STRCMP_EQUAL("request_too_large", errorKindOf({ "POST", "/query", std::string(100'000, ' '), {} }).c_str());
    STRCMP_EQUAL("unknown_route", errorKindOf({ "GET", "/nothing", {}, {} }).c_str());
    STRCMP_EQUAL("unknown_service", errorKindOf({ "POST", "/query", R"({"service":"nothing","request":"search"})", {} }).c_str());
    STRCMP_EQUAL("unknown_request_kind", errorKindOf({ "POST", "/query", R"({"service":"lunch-portal","request":"nothing"})", {} }).c_str());
    STRCMP_EQUAL("missing_key", errorKindOf({ "POST", "/query", R"({"service":"lunch-portal","request":"read"})", {} }).c_str());
    STRCMP_EQUAL("ticket_required", errorKindOf({ "POST", "/query", R"({"service":"lunch-portal","request":"confirm","key":"k"})", {} }).c_str());
    CHECK(callHttp(endpoint, { "GET", "/health", {}, {} })->status == 200);
}

TEST(WholePath, APlannedStopAnswersQueriesInFlight)
{
    CHECK(answerAcrossSignals({ SIGTERM }));
    LONGS_EQUAL(0, testCluster->daemon("suva-1").process->waitForExit().value_or(-1));
}

// Guards against a further stop signal that cuts the queries in flight.
TEST(WholePath, RepeatedStopSignalsCutNoQuery)
{
    CHECK(answerAcrossSignals({ SIGTERM, SIGTERM, SIGINT, SIGTERM }));
    LONGS_EQUAL(0, testCluster->daemon("suva-1").process->waitForExit().value_or(-1));
}

// Guards against a daemon that does not end after its planned stop, because nobody reads its log.
TEST(WholePath, ReaderOfTheLogThatStandsStillKeepsNoProcessFromEnding)
{
    auto const& daemon = testCluster->daemon("suva-1");
    daemon.process->stopReading();
    // Each of these requests has a line in the log.
    for (int count = 0; count < 200; ++count)
        LONGS_EQUAL(200, callHttp(daemon.operators, { "POST", "/log-level", "info", {} })->status);
    CHECK(answerAcrossSignals({ SIGTERM }));
    LONGS_EQUAL(0, daemon.process->waitForExit().value_or(-1));
}

// Guards against a reload signal that ends the process.
TEST(WholePath, AReloadSignalCutsNoQuery)
{
    CHECK(answerAcrossSignals({ SIGHUP, SIGHUP }));
    CHECK(callHttp(testCluster->daemon("suva-1").callers, { "GET", "/health", {}, {} })->status == 200);
}
