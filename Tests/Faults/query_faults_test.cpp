#include "Libraries/zinnialedge/wire/caller_codec.h"
#include "Tests/Support/cluster.h"
#include "Utilities/zl-load/answer_check.h"
#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <future>

// CppUTest redefines `new`, so its header comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace zinnialedge::tests;
using errors::error_kind;

// Every test checks with the counters of the leaf stand-ins that a ticket runs at most once, that a request whose error says
// "not run" has no run, and that the rows of an answer match its coverage and its single snapshot.

static constexpr std::chrono::milliseconds requestDeadline { 1000 };
static constexpr std::chrono::milliseconds longDeadline { 20'000 };
/// Time after the deadline within which an answer must reach the caller, also on a busy machine.
static constexpr std::chrono::milliseconds deadlineTolerance { 3000 };

TEST_GROUP(QueryFaults)
{
    std::unique_ptr<cluster> testCluster;
    std::map<std::string, model::answer_or_error> confirmationResults;

    void setup() override
    {
        testCluster = std::make_unique<cluster>();
        testCluster->startService(smallPlan("lunch-portal", "suva", 2));
        startDaemon("suva-1");
    }

    void teardown() override
    {
        confirmationResults.clear();
        testCluster = nullptr;
    }

    running_daemon& startDaemon(std::string const& name) const
    {
        auto& daemon = testCluster->startDaemon(name, "suva", "suva-a");
        CHECK(testCluster->waitForLeafs(daemon, "lunch-portal"));
        return daemon;
    }

    /// Starts a second daemon and waits until both daemons know each other.
    void startSecondDaemon() const
    {
        startDaemon("suva-2");
        for (auto const* name : { "suva-1", "suva-2" })
            CHECK(waitUntil([&] { return getJson(testCluster->daemon(name).operators, "/state").at("services").at("decisions").at("daemons_known").to_number<int>() == 2; }));
    }

    std::vector<running_leaf>& leafs() const { return testCluster->leafsOf("lunch-portal"); }

    static model::query_request makeRequest(std::string const& kind)
    {
        static unsigned count = 0;
        model::query_request request;
        request.id = "request-" + std::to_string(++count);
        request.service = "lunch-portal";
        request.requestKind = kind;
        request.deadline = requestDeadline;
        return request;
    }

    model::query_request makeConfirmation(std::string const& issuer) const
    {
        auto request = makeRequest("confirm");
        request.key = request.id;
        request.ticket = ticketPrefix(testCluster->daemon(issuer).callers, "lunch-portal") + "~" + request.id;
        return request;
    }

    /// Sends a confirmation and records its result for checkConfirmations().
    model::answer_or_error confirm(std::string const& daemon, model::query_request const& request)
    {
        auto const result = query(testCluster->daemon(daemon).callers, request);
        confirmationResults.insert_or_assign(request.ticket, result);
        return result;
    }

    model::answer_or_error search(std::string const& daemon = "suva-1") const
    {
        auto const request = makeRequest("search");
        auto const result = query(testCluster->daemon(daemon).callers, request);
        if (result) {
            auto const fault = utilities::load::findAnswerError(*result, request.id);
            STRCMP_EQUAL("", fault.value_or("").c_str());
        }
        return result;
    }

    std::uint64_t sumLeafCounter(std::string const& name) const
    {
        std::uint64_t sum = 0;
        for (auto const& leaf : leafs())
            sum += getJson(leaf.place, "/counts").at(name).to_number<std::uint64_t>();
        return sum;
    }

    std::uint64_t runCountOf(std::string const& ticket) const
    {
        std::uint64_t runs = 0;
        for (auto const& leaf : leafs()) {
            if (auto const leafCounts = getJson(leaf.place, "/counts"); leafCounts.is_object()) {
                if (auto const* found = leafCounts.at("runs_of_ticket").as_object().if_contains(ticket))
                    runs += found->to_number<std::uint64_t>();
            }
        }
        return runs;
    }

    /// Returns the leaf that runs the ticket.
    running_leaf& findLeafRunning(std::string const& ticket) const
    {
        auto& allLeafs = leafs();
        auto const leafRunningTicket = std::find_if(allLeafs.begin(), allLeafs.end(), [&](auto const& leaf) { return getJson(leaf.place, "/counts").at("runs_of_ticket").as_object().contains(ticket); });
        CHECK(leafRunningTicket != allLeafs.end());
        return *leafRunningTicket;
    }

    void checkConfirmations() const
    {
        for (auto const& [ticket, result] : confirmationResults) {
            auto const runs = runCountOf(ticket);
            CHECK(runs <= 1);
            if (result)
                LONGS_EQUAL(1, runs);
            else if (errors::propertiesOf(result.error().kind).executionState == errors::execution_state::no)
                LONGS_EQUAL(0, runs);
        }
    }

    void setFaults(boost::json::value const& faults) const
    {
        for (auto const& leaf : leafs())
            testCluster->setLeafFaults(leaf, faults);
    }

    /// Returns a confirmation whose key belongs to the shard.
    model::query_request makeConfirmationOfShard(std::string const& issuer, std::uint32_t shard) const
    {
        auto request = makeConfirmation(issuer);
        for (unsigned suffix = 0; model::shardOfKey(request.key, testCluster->declarationOf("lunch-portal").shardCount) != shard; ++suffix)
            request.key = request.id + "-" + std::to_string(suffix);
        return request;
    }

    std::future<model::answer_or_error> queryAsync(std::string const& daemon, model::query_request const& request) const
    {
        return std::async(std::launch::async, [endpoint = testCluster->daemon(daemon).callers, request] { return query(endpoint, request); });
    }

    static void checkErrorKind(error_kind kind, model::answer_or_error const& result)
    {
        CHECK(!result);
        STRCMP_EQUAL(std::string { errors::propertiesOf(kind).name }.c_str(), std::string { errors::propertiesOf(result.error().kind).name }.c_str());
    }
};

TEST(QueryFaults, ARelayToAFrozenDaemonEndsAtTheDeadlineOfTheRequest)
{
    startSecondDaemon();
    auto const request = makeConfirmation("suva-2");
    testCluster->daemon("suva-2").process->pause();
    auto const start = std::chrono::steady_clock::now();
    checkErrorKind(error_kind::outcome_unknown, confirm("suva-1", request));
    CHECK(std::chrono::steady_clock::now() - start < requestDeadline + deadlineTolerance);
    testCluster->daemon("suva-2").process->signal(SIGCONT);
    // The relayed request may run after the daemon has resumed. Its late answer is dropped, and a retry must not run the
    // request again.
    CHECK(waitUntil([&] { return query(testCluster->daemon("suva-1").callers, request).has_value(); }));
    LONGS_EQUAL(1, runCountOf(request.ticket));
}

TEST(QueryFaults, WhenALeafIsKilledItsQueryIsRetriedAndItsTicketIsUnknown)
{
    setFaults({ { "slow_factor", 500 } });
    auto confirmation = makeConfirmationOfShard("suva-1", 0);
    confirmation.deadline = longDeadline;
    auto pendingConfirmation = queryAsync("suva-1", confirmation);
    CHECK(waitUntil([&] { return runCountOf(confirmation.ticket) == 1; }));
    auto request = makeRequest("search");
    request.deadline = longDeadline;
    auto pendingSearch = queryAsync("suva-1", request);
    CHECK(waitUntil([&] { return sumLeafCounter("calls") >= 3; }));
    auto& leafRunningTicket = findLeafRunning(confirmation.ticket);
    leafRunningTicket.process->signal(SIGKILL);
    checkErrorKind(error_kind::outcome_unknown, pendingConfirmation.get());
    checkErrorKind(error_kind::outcome_unknown, query(testCluster->daemon("suva-1").callers, confirmation));
    std::erase_if(leafs(), [&](auto const& leaf) { return &leaf == &leafRunningTicket; });
    LONGS_EQUAL(0, runCountOf(confirmation.ticket));
    auto const answer = pendingSearch.get();
    CHECK(answer.has_value());
    CHECK(answer->covered.isWhole());
    CHECK(!utilities::load::findAnswerError(*answer, request.id));
}

TEST(QueryFaults, AFrozenLeafSettlesItsTicketAfterItResumes)
{
    setFaults({ { "slow_factor", 500 } });
    auto const unsettled = makeConfirmation("suva-1");
    auto pendingConfirmation = queryAsync("suva-1", unsettled);
    CHECK(waitUntil([&] { return runCountOf(unsettled.ticket) == 1; }));
    auto const& frozen = findLeafRunning(unsettled.ticket);
    frozen.process->pause();
    checkErrorKind(error_kind::outcome_unknown, pendingConfirmation.get());
    for (auto const& leaf : leafs()) {
        if (&leaf != &frozen)
            testCluster->setLeafFaults(leaf, { { "slow_factor", 1 } });
    }
    CHECK(waitUntil([&] {
        auto const answer = search();
        return answer && answer->covered.isWhole();
    }));
    frozen.process->signal(SIGCONT);
    CHECK(waitUntil([&] { return confirm("suva-1", unsettled).has_value(); }));
    CHECK(confirmationResults.at(unsettled.ticket)->isRemembered);
    checkConfirmations();
}

TEST(QueryFaults, ATruncatedOrMismatchedReplyIsNeverMerged)
{
    for (auto const* fault : { "cut_replies", "answer_other_call", "answer_other_shard", "answer_other_version" }) {
        setFaults({ { fault, true } });
        CHECK(!search());
        auto const request = makeConfirmation("suva-1");
        checkErrorKind(error_kind::outcome_unknown, confirm("suva-1", request));
        checkErrorKind(error_kind::outcome_unknown, confirm("suva-1", request));
        LONGS_EQUAL(1, runCountOf(request.ticket));
        // Queries succeed when each shard has a healthy leaf.
        for (auto const& leaf : leafs()) {
            if (&leaf != &leafs().front())
                testCluster->setLeafFaults(leaf, { { fault, false } });
        }
        CHECK(waitUntil([&] {
            auto const answer = search();
            return answer && answer->covered.isWhole();
        }));
        setFaults({ { fault, false } });
    }
    checkConfirmations();
}

TEST(QueryFaults, AShedRequestIsNotRunAndItsTicketStaysUsable)
{
    setFaults({ { "shed", true } });
    auto const request = makeConfirmation("suva-1");
    auto const refused = confirm("suva-1", request);
    CHECK(!refused);
    CHECK(errors::propertiesOf(refused.error().kind).executionState == errors::execution_state::no);
    checkConfirmations();
    auto const search = query(testCluster->daemon("suva-1").callers, makeRequest("search"));
    CHECK(!search);
    CHECK(errors::propertiesOf(search.error().kind).executionState == errors::execution_state::no);
    LONGS_EQUAL(0, sumLeafCounter("runs"));
    setFaults({ { "shed", false } });
    CHECK(confirm("suva-1", request).has_value());
    checkConfirmations();
}

TEST(QueryFaults, AnswersStayConsistentWhileVersionsAndPartitionsChange)
{
    auto const endpoint = testCluster->daemon("suva-1").callers;
    std::atomic<bool> shouldStop { false };
    auto const runLoad = [&] {
        std::vector<std::string> faults;
        for (unsigned index = 0; !shouldStop; ++index) {
            model::query_request request;
            request.id = "load-" + std::to_string(index);
            request.service = "lunch-portal";
            request.requestKind = "search";
            auto const result = query(endpoint, request);
            if (auto const fault = result ? utilities::load::findAnswerError(*result, request.id) : std::nullopt)
                faults.push_back(*fault);
        }
        return faults;
    };
    auto first = std::async(std::launch::async, runLoad);
    auto second = std::async(std::launch::async, runLoad);
    auto const waitForSnapshot = [&](model::snapshot wanted) {
        return waitUntil([&] {
            auto const answer = search();
            return answer && answer->covered.isWhole() && answer->reflects == wanted;
        });
    };
    setFaults({ { "versions", { 1, 2 } } });
    CHECK(waitForSnapshot({ 1, 2 }));
    setFaults({ { "versions", { 3 } } });
    CHECK(waitForSnapshot({ 1, 3 }));
    setFaults({ { "epochs", { 1, 2 } } });
    auto newDeclaration = testCluster->declarationOf("lunch-portal");
    newDeclaration.epoch = 2;
    newDeclaration.shardCount = 1;
    for (auto& target : newDeclaration.targets)
        target.shard = 0;
    testCluster->declare(newDeclaration);
    CHECK(waitForSnapshot({ 2, 3 }));
    setFaults({ { "epochs", { 2 } }, { "versions", { 4 } } });
    CHECK(waitForSnapshot({ 2, 4 }));
    shouldStop = true;
    for (auto* each : { &first, &second }) {
        auto const faults = each->get();
        STRCMP_EQUAL("", faults.empty() ? "" : faults.front().c_str());
    }
}

TEST(QueryFaults, ATicketOfAKilledDaemonIsUnknownAndNotRunAgain)
{
    startSecondDaemon();
    setFaults({ { "slow_factor", 500 } });
    auto request = makeConfirmation("suva-2");
    request.deadline = longDeadline;
    auto relayed = queryAsync("suva-1", request);
    CHECK(waitUntil([&] { return runCountOf(request.ticket) == 1; }));
    testCluster->daemon("suva-2").process->signal(SIGKILL);
    checkErrorKind(error_kind::outcome_unknown, relayed.get());
    setFaults({ { "slow_factor", 1 } });
    checkErrorKind(error_kind::outcome_unknown, query(testCluster->daemon("suva-1").callers, request));
    LONGS_EQUAL(1, runCountOf(request.ticket));
}

TEST(QueryFaults, ATicketSentToTwoDaemonsConcurrentlyRunsOnce)
{
    startSecondDaemon();
    for (unsigned round = 0; round < 20; ++round) {
        auto const request = makeConfirmation(round % 2 == 0 ? "suva-1" : "suva-2");
        auto first = queryAsync("suva-1", request);
        auto second = queryAsync("suva-2", request);
        auto const answers = std::pair { first.get(), second.get() };
        CHECK(answers.first.has_value());
        CHECK(answers.second.has_value());
        CHECK(answers.first->rows == answers.second->rows);
        LONGS_EQUAL(1, runCountOf(request.ticket));
    }
}

TEST(QueryFaults, AQueryIsCancelledAtTheLeafsWhenItsCallerDisconnects)
{
    setFaults({ { "slow_factor", 1'000'000 } });
    auto const& daemon = testCluster->daemon("suva-1");
    auto request = makeRequest("search");
    request.deadline = std::chrono::milliseconds { 60'000 };
    // The caller disconnects after 1 s, long before the deadline of 60 s.
    CHECK(!callHttp(daemon.callers, { "POST", "/query", wire::formatQuery(request), {} }, requestDeadline));
    CHECK(waitUntil([&] { return sumLeafCounter("cancelled") >= 2; }));
    CHECK(waitUntil([&] { return getJson(daemon.operators, "/state").at("services").at("decisions").at("queries_in_flight").to_number<int>() == 0; }));
    CHECK(callHttp(daemon.callers, { "GET", "/health", {}, {} })->status == 200);
}
