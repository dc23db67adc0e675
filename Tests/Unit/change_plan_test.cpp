#include "Libraries/zinnialedge/configuration/call_budget.h"
#include "Libraries/zinnialedge/configuration/object_write.h"
#include "Libraries/zinnialedge/language/formatter.h"
#include "Libraries/zinnialedge/language/parser.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using namespace zinnialedge::configuration;
using declaration = std::optional<model::service_declaration>;

TEST_GROUP(ChangePlan) {
    static errors::error_or<declaration> apply(std::string const& text, declaration const& current, std::string const& partner = "suva") {
        return applyCommands(current, groupByService(*language::parseStatements(text)).front(), partner);
}

static declaration makeService()
{
    return *apply("service a { shards 2 } mark request r of a urgent keyed target t1 of a at 10.0.0.1:80 shard 1 target t2 of a at 10.0.0.2:80 shard 0 drain target t1 of a", {});
}

/// Returns the machine's action after a first read that finds the given object.
static write_action handleRead(object_write& machine, service_object const& object, std::uint64_t version)
{
    return machine.handle(read_result { store_reply::done, version, formatServiceObject(object) }, {});
}

static object_write makeWrite(std::string const& text, std::uint64_t sequence = 7)
{
    return { { groupByService(*language::parseStatements(text)).front(), "suva", "d1-1", sequence, 0, kernel::time_point { std::chrono::seconds { 5 } } }, kernel::makeSeededRandom(1) };
}
}
;

TEST(ChangePlan, FormattedStatementsRecreateTheService)
{
    auto const service = makeService();
    CHECK(*apply(language::formatDeclaration(*service), {}) == service);
}

TEST(ChangePlan, PlanIsEmptyAfterCommandsWereApplied)
{
    auto const statements = *language::parseStatements("service a { shards 3 hedge 7% } undrain target t1 of a service b { shards 1 }");
    std::map<std::string, declaration> declarations { { "a", makeService() } };
    auto const lookup = [&](std::string const& name) { return declarations[name]; };
    auto const changes = plan(statements, "suva", lookup);
    CHECK(changes.has_value());
    LONGS_EQUAL(2, changes->size());
    LONGS_EQUAL(3, changes->front().fields.size());
    for (auto const& group : groupByService(statements))
        declarations[group.service] = *applyCommands(declarations[group.service], group, "suva");
    CHECK(plan(statements, "suva", lookup)->empty());
}

TEST(ChangePlan, ChangeOfAnotherPartnersServiceIsNotPermitted)
{
    auto const rejected = apply("drain target t1 of a", makeService(), "amman");
    CHECK(!rejected);
    CHECK(rejected.error().kind == errors::error_kind::not_permitted);
}

TEST(ChangePlan, InvalidCommandRejectsAllCommandsOfTheService)
{
    CHECK(!apply("service a { hedge 9% } drain target t9 of a", makeService()));
    CHECK(!apply("service a { shards 1 }", makeService()));
    CHECK(!apply("service new { hedge 9% }", {}));
}

TEST(ChangePlan, RemovedServiceRetainsWriterHistory)
{
    service_object removed { "a", std::nullopt, {} };
    removed.writers.note("d1-1", 4);
    auto const parsed = parseServiceObject(formatServiceObject(removed));
    CHECK(parsed.has_value());
    CHECK(*parsed == removed);
}

TEST(ChangePlan, LostWriteReplyIsResolvedByRead)
{
    auto machine = makeWrite("service a { hedge 9% }");
    service_object object { "a", makeService(), {} };
    auto const firstWrite = std::get<write_object>(handleRead(machine, object, 4));
    LONGS_EQUAL(4, firstWrite.expectedVersion);
    CHECK(std::holds_alternative<retry_later>(machine.handle(write_result { store_reply::unknown, 0 }, {})));
    auto const settled = machine.handle(read_result { store_reply::done, 6, firstWrite.body }, {});
    CHECK(std::get<write_finished>(settled).result->version == 6);
}

TEST(ChangePlan, EvictedWriterMarkGivesUnknownOutcome)
{
    auto machine = makeWrite("service a { hedge 9% }");
    service_object object { "a", makeService(), {} };
    handleRead(machine, object, 4);
    machine.handle(write_result { store_reply::unknown, 0 }, {});
    for (std::size_t other = 0; other <= writer_history::capacity; ++other)
        object.writers.note("other-" + std::to_string(other), 1);
    auto const settled = handleRead(machine, object, 50);
    CHECK(std::get<write_finished>(settled).result.error().kind == errors::error_kind::outcome_unknown);
}

TEST(ChangePlan, ConcurrentChangesConflictOnlyInTheSameField)
{
    service_object object { "a", makeService(), {} };
    for (bool const isSameField : { false, true }) {
        auto machine = makeWrite("service a { hedge 9% }");
        handleRead(machine, object, 4);
        machine.handle(write_result { store_reply::precondition_failed, 0 }, {});
        auto newer = object;
        newer.declaration = *apply(isSameField ? "service a { hedge 12% }" : "service a { group 5 }", newer.declaration);
        auto const next = handleRead(machine, newer, 5);
        if (isSameField) {
            auto const& reason = std::get<write_finished>(next).result.error();
            CHECK(reason.kind == errors::error_kind::conflict);
            STRCMP_CONTAINS("hedge: wanted '9%', another operator set '12%'", reason.message.c_str());
        } else {
            auto const merged = *parseServiceObject(std::get<write_object>(next).body);
            LONGS_EQUAL(9, merged.declaration->maximumHedgePercent);
            LONGS_EQUAL(5, merged.declaration->daemonGroupSize);
        }
    }
}

TEST(ChangePlan, CallBudgetLimitsCallsToRateAndBurst)
{
    call_budget budget { 2, 3 };
    kernel::time_point now;
    int takenCount = 0;
    for (int each = 0; each < 100; ++each, now += std::chrono::milliseconds { 100 })
        takenCount += budget.take(now) ? 1 : 0;
    LONGS_EQUAL(22, takenCount);
    CHECK(budget.nextAvailableAt(now) <= now + std::chrono::milliseconds { 500 });
}
