#include "Tests/Support/cluster.h"
#include "Utilities/zl-load/answer_check.h"
#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>

using namespace zinnialedge;
using namespace zinnialedge::tests;
using errors::error_kind;

// Every test checks, by counting at the stand-ins: a ticket runs once at the most, a refusal that says "not run" has no
// run, and an answer's rows fit its coverage and its one snapshot.

static constexpr std::chrono::milliseconds ownDeadline { 1000 };
/// How much later than its deadline an answer may reach the caller on a busy machine.
static constexpr std::chrono::milliseconds busyMachine { 3000 };

TEST_GROUP(QueryFaults)
{
    std::unique_ptr<cluster> running;
    std::map<std::string, model::answer_or_error> confirmations;

    void setup() override
    {
        running = std::make_unique<cluster>();
        running->startService(smallPlan("lunch-portal", "suva", 2));
        startDaemon("suva-1");
    }

    void teardown() override
    {
        confirmations.clear();
        running = nullptr;
    }

    running_daemon& startDaemon(std::string const& name) const
    {
        auto& daemon = running->startDaemon(name, "suva", "suva-a");
        CHECK(running->waitForLeafs(daemon, "lunch-portal"));
        return daemon;
    }

    /// Two daemons that know each other.
    void startSecondDaemon() const
    {
        startDaemon("suva-2");
        for (auto const* name : { "suva-1", "suva-2" })
            CHECK(waitUntil([&] { return getJson(running->daemon(name).operators, "/state").at("services").at("decisions").at("daemons_known").to_number<int>() == 2; }));
    }

    std::vector<running_leaf>& leafs() const { return running->leafsOf("lunch-portal"); }

    static model::query_request makeRequest(std::string const& kind)
    {
        static unsigned count = 0;
        model::query_request request;
        request.id = "request-" + std::to_string(++count);
        request.service = "lunch-portal";
        request.requestKind = kind;
        request.deadline = ownDeadline;
        return request;
    }

    model::query_request makeConfirmation(std::string const& issuer) const
    {
        auto request = makeRequest("confirm");
        request.key = request.id;
        request.ticket = ticketPrefix(running->daemon(issuer).callers, "lunch-portal") + "~" + request.id;
        return request;
    }

    /// Asks for it and keeps the outcome for the check at the end.
    model::answer_or_error confirm(std::string const& daemon, model::query_request const& request)
    {
        auto const result = query(running->daemon(daemon).callers, request);
        confirmations.insert_or_assign(request.ticket, result);
        return result;
    }

    model::answer_or_error search(std::string const& daemon = "suva-1") const
    {
        auto const request = makeRequest("search");
        auto const result = query(running->daemon(daemon).callers, request);
        if (result) {
            auto const fault = utilities::load::findFault(*result, request.id);
            STRCMP_EQUAL("", fault.value_or("").c_str());
        }
        return result;
    }

    std::uint64_t countOfLeafs(std::string const& name) const
    {
        std::uint64_t sum = 0;
        for (auto const& leaf : leafs())
            sum += getJson(leaf.place, "/counts").at(name).to_number<std::uint64_t>();
        return sum;
    }

    std::uint64_t runsOf(std::string const& ticket) const
    {
        std::uint64_t runs = 0;
        for (auto const& leaf : leafs()) {
            if (auto const runsOfTicket = getJson(leaf.place, "/counts"); runsOfTicket.is_object()) {
                if (auto const* found = runsOfTicket.at("runs_of_ticket").as_object().if_contains(ticket))
                    runs += found->to_number<std::uint64_t>();
            }
        }
        return runs;
    }

    void checkConfirmations() const
    {
        for (auto const& [ticket, result] : confirmations) {
            auto const runs = runsOf(ticket);
            CHECK(runs <= 1);
            if (result)
                LONGS_EQUAL(1, runs);
            else if (errors::answerFor(result.error().kind).ran == errors::run_state::no)
                LONGS_EQUAL(0, runs);
        }
    }

    void setFaults(boost::json::value const& faults) const
    {
        for (auto const& leaf : leafs())
            running->setLeafFaults(leaf, faults);
    }

    static void checkKind(error_kind kind, model::answer_or_error const& result)
    {
        CHECK(!result);
        STRCMP_EQUAL(std::string { errors::answerFor(kind).name }.c_str(), std::string { errors::answerFor(result.error().kind).name }.c_str());
    }
};

TEST(QueryFaults, AFrozenDaemonDoesNotKeepARelayedRequestWaiting)
{
    startSecondDaemon();
    auto const request = makeConfirmation("suva-2");
    running->daemon("suva-2").process->signal(SIGSTOP);
    auto const start = std::chrono::steady_clock::now();
    checkKind(error_kind::outcome_unknown, confirm("suva-1", request));
    CHECK(std::chrono::steady_clock::now() - start < ownDeadline + busyMachine);
    running->daemon("suva-2").process->signal(SIGCONT);
    // The relayed request may run now that the daemon goes on; its late answer goes nowhere, and asking again does not run it again.
    CHECK(waitUntil([&] { return query(running->daemon("suva-1").callers, request).has_value(); }));
    LONGS_EQUAL(1, runsOf(request.ticket));
}
