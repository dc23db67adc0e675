#include "Libraries/zinnialedge/limits/guaranteed_shares.h"
#include "Libraries/zinnialedge/limits/shard_admission.h"
#include "Libraries/zinnialedge/queries/query_engine.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using std::chrono::milliseconds;

static limits::admission_input makeQuestion(model::coverage_policy coverage, std::vector<limits::shard_queueing_delay> waits)
{
    return { coverage, milliseconds { 100 }, milliseconds { 70 }, 50, milliseconds { 10 }, std::move(waits) };
}

TEST_GROUP(ShardAdmission) {};

TEST(ShardAdmission, CompleteQueryThatWouldMissItsDeadlineIsRejectedWithTheDrainTime)
{
    auto const verdict = limits::decideAdmission(makeQuestion(model::coverage_policy::whole, { { 0, milliseconds { 0 } }, { 1, milliseconds { 90 } } }));
    CHECK(!verdict.isAdmitted);
    // The backlog is 90 ms and a query can be queued for at most (100 - 10) / 1.5 = 60 ms, so the drain time is 30 ms.
    LONGS_EQUAL(30'000, verdict.drainTime.count());
}

TEST(ShardAdmission, CompleteQueryKeepsASlowShardWithinTheDeadline)
{
    auto const verdict = limits::decideAdmission(makeQuestion(model::coverage_policy::whole, { { 0, milliseconds { 0 } }, { 1, milliseconds { 50 } } }));
    CHECK(verdict == limits::admission_decision {});
}

TEST(ShardAdmission, PartialQuerySkipsASlowShardWithinTheMinimumCoverage)
{
    auto const partialVerdict = limits::decideAdmission(makeQuestion(model::coverage_policy::partial, { { 0, milliseconds { 0 } }, { 1, milliseconds { 50 } } }));
    CHECK(partialVerdict.isAdmitted);
    CHECK(partialVerdict.skipped == std::vector<std::uint32_t> { 1 });
    CHECK(!limits::decideAdmission(makeQuestion(model::coverage_policy::partial, { { 0, milliseconds { 50 } }, { 1, milliseconds { 50 } } })).isAdmitted);
}

TEST_GROUP(PartnerAdmission) {};

TEST(PartnerAdmission, FloodOfOnePartnerLeavesTheGuaranteeOfTheOther)
{
    limits::guaranteed_shares shares { 100 };
    shares.setShares({ { "suva", 50 }, { "amman", 50 } });
    std::uint32_t admittedCount = 0;
    while (shares.tryAdmit("amman"))
        ++admittedCount;
    // The unused guarantee of suva is lent to amman, except for the reserve.
    CHECK(admittedCount > 50);
    CHECK(admittedCount < 100);
    for (int index = 0; index < 50; ++index)
        CHECK(shares.tryAdmit("suva"));
    // A lent slot that is released goes back to its owner first.
    shares.release("amman");
    CHECK(!shares.tryAdmit("amman"));
}

TEST_GROUP(EngineUnderLoad)
{
    kernel::time_point now { milliseconds { 1000 } };
    std::unique_ptr<queries::query_engine> engine;
    queries::caller_token lastCaller { 0 };
    std::vector<queries::send_leaf_call> sent;
    std::vector<queries::answer_caller> answers;

    void declare(std::uint32_t leafsPerShard, model::coverage_policy coverage, std::uint32_t shards = 1)
    {
        queries::engine_settings settings;
        settings.sharePercentByPartner = { { "suva", 100 } };
        engine = std::make_unique<queries::query_engine>(settings, kernel::makeSeededRandom(1));
        auto service = std::make_shared<model::service_declaration>();
        service->name = "lunch-portal";
        service->partner = "suva";
        service->shardCount = shards;
        service->coverage = coverage;
        service->deadline = milliseconds { 100 };
        service->softDeadline = milliseconds { 60 };
        service->minimumCoveragePercent = 50;
        service->requests = { { "menu", true, true, true }, { "order-check", false, true, true } };
        for (std::uint32_t index = 0; index < shards * leafsPerShard; ++index)
            service->targets.push_back({ "t" + std::to_string(index), { "127.0.0.1", 1 }, index / leafsPerShard, 1, 25, false });
        step(queries::service_declared { service });
        for (routing::leaf_handle leaf = 0; leaf < shards * leafsPerShard; ++leaf)
            step(queries::leaf_status_received { leaf, queries::leaf_status { { 1 }, { 1 }, 0, false }, {} });
    }

    void teardown() override
    {
        engine = nullptr;
        sent = {};
        answers = {};
    }

    void step(queries::event const& happened)
    {
        for (auto const& action : engine->step(happened, now)) {
            if (auto const* call = std::get_if<queries::send_leaf_call>(&action))
                sent.push_back(*call);
            if (auto const* answer = std::get_if<queries::answer_caller>(&action))
                answers.push_back(*answer);
        }
    }

    void passTime(milliseconds span)
    {
        auto const until = now + span;
        for (auto next = engine->nextTimerTime(); next && *next <= until; next = engine->nextTimerTime()) {
            now = std::max(now, *next);
            step(queries::timer_due {});
        }
        now = until;
    }

    queries::caller_token sendQuery(std::string const& kind)
    {
        model::query_request request;
        request.service = "lunch-portal";
        request.requestKind = kind;
        step(queries::query_arrived { ++lastCaller, request });
        return lastCaller;
    }

    void fail(queries::call_id call, bool mayHaveBeenSent)
    {
        queries::leaf_outcome outcome;
        outcome.mayHaveBeenSent = mayHaveBeenSent;
        step(queries::leaf_call_ended { call, outcome });
    }

    void reply(queries::send_leaf_call const& call)
    {
        queries::leaf_outcome outcome;
        outcome.kind = queries::leaf_outcome_kind::answered;
        outcome.shard = call.shard;
        outcome.reflects = call.pin;
        step(queries::leaf_call_ended { call.call, outcome });
    }
};

TEST(EngineUnderLoad, QueryBehindABacklogBeyondItsDeadlineIsRejectedAtOnceAsNotRun)
{
    declare(1, model::coverage_policy::whole);
    std::size_t queryCount = 0;
    while (answers.empty() && queryCount < 1000) {
        sendQuery("menu");
        ++queryCount;
    }
    CHECK(queryCount < 1000);
    auto const& refusal = answers.front().result.error();
    CHECK(refusal.kind == errors::error_kind::deadline_too_short);
    CHECK(errors::propertiesOf(refusal.kind).executionState == errors::execution_state::no);
    CHECK(refusal.retryAfter && refusal.retryAfter->count() > 0);
    LONGS_EQUAL(1, sent.size());
}

TEST(EngineUnderLoad, PartialServiceSkipsTheShardWithABacklog)
{
    declare(1, model::coverage_policy::partial, 2);
    // Shard 1 replies to all calls; shard 0 never replies.
    for (int round = 0; round < 100; ++round) {
        auto const previousCallCount = sent.size();
        sendQuery("menu");
        for (auto index = previousCallCount; index < sent.size(); ++index) {
            if (sent[index].shard == 1)
                reply(sent[index]);
        }
    }
    CHECK(!answers.empty());
    auto const& answer = answers.front().result;
    CHECK(answer.has_value());
    LONGS_EQUAL(1, answer->covered.answered);
    CHECK(answer->covered.missing.front().reason == model::missing_reason::overloaded);
}

TEST(EngineUnderLoad, UrgentCallIsSentFirst)
{
    declare(1, model::coverage_policy::whole);
    sendQuery("menu");
    sendQuery("order-check");
    sendQuery("menu");
    reply(sent.front());
    CHECK(sent.at(1).isUrgent);
    CHECK(!sent.at(2).isUrgent);
}

TEST(EngineUnderLoad, OldOrdinaryCallIsSentBeforeANewUrgentCall)
{
    declare(1, model::coverage_policy::whole);
    sendQuery("menu");
    sendQuery("order-check");
    passTime(milliseconds { 55 });
    sendQuery("menu");
    reply(sent.front());
    CHECK(!sent.at(1).isUrgent);
    CHECK(sent.at(2).isUrgent);
}

TEST(EngineUnderLoad, SlowCallOfAShardWithAFreeLeafIsHedged)
{
    declare(2, model::coverage_policy::whole);
    sendQuery("menu");
    passTime(milliseconds { 50 });
    LONGS_EQUAL(1, engine->counters().hedges);
}

TEST(EngineUnderLoad, ShardWithQueuedCallsIsNotHedged)
{
    declare(2, model::coverage_policy::whole);
    for (int index = 0; index < 6; ++index)
        sendQuery("menu");
    passTime(milliseconds { 50 });
    for (std::size_t index = 1; index < sent.size(); ++index)
        reply(sent[index]);
    LONGS_EQUAL(0, engine->counters().hedges);
}

TEST(EngineUnderLoad, HedgesStayWithinTheBudgetInEveryWindow)
{
    declare(2, model::coverage_policy::whole);
    static constexpr std::uint64_t burst = 20;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> counts;
    for (int round = 0; round < 3000; ++round) {
        sent.clear();
        sendQuery("menu");
        // Hedges get an immediate reply, so that the observed latencies suggest ever earlier hedges.
        for (int tick = 0; tick < 30 && sent.size() == 1; ++tick)
            passTime(milliseconds { 1 });
        reply(sent.back());
        if (sent.size() > 1)
            reply(sent.front());
        counts.emplace_back(engine->counters().leafCalls - engine->counters().hedges, engine->counters().hedges);
    }
    for (std::size_t begin = 0; begin < counts.size(); begin += 50) {
        for (auto end = begin; end < counts.size(); end += 50) {
            auto const primary = counts[end].first - counts[begin].first;
            auto const hedges = counts[end].second - counts[begin].second;
            CHECK(hedges * 20 <= primary + 20 * (burst + 1));
        }
    }
    CHECK(counts.back().second > burst);
}

TEST(EngineUnderLoad, RetriesStayWithinTheBudgetAndUnsentCallsAreNotCharged)
{
    declare(2, model::coverage_policy::whole);
    for (int round = 0; round < 500; ++round) {
        sendQuery("menu");
        fail(sent.back().call, false);
        reply(sent.back());
    }
    LONGS_EQUAL(1000, sent.size());
    LONGS_EQUAL(0, engine->counters().retries);
    for (int round = 0; round < 500; ++round) {
        sendQuery("menu");
        auto const callCount = sent.size();
        fail(sent.back().call, true);
        if (sent.size() > callCount)
            reply(sent.back());
    }
    // The budget allows a tenth of the 500 calls and a burst of 20.
    CHECK(engine->counters().retries <= 50 + 20);
}
