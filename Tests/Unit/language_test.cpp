#include "Libraries/zinnialedge/language/formatter.h"
#include "Libraries/zinnialedge/language/parser.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge::language;

TEST_GROUP(Language) {
    static void checkError(std::string const& text, std::string const& wanted) {
        auto const parsed = parseStatements(text);
CHECK(!parsed);
LONGS_EQUAL(1, parsed.error().size());
STRCMP_EQUAL(wanted.c_str(), toString(parsed.error().front()).c_str());
}
}
;

TEST(Language, EveryStatementTypeIsParsed)
{
    auto const parsed = parseStatements(R"(# all statements
service lunch-portal { shards 20 epoch 3 coverage whole deadline 80ms soft-deadline 40ms after 95% hedge 5% group 3 }
mark request allergen of lunch-portal urgent   # a comment
mark request order-confirmation of kitchen-desk not-repeatable keyed
target t17 of lunch-portal at 10.0.0.1:80 shard 3 slots 2 connections 25
remove target t18 of lunch-portal
remove service old
drain target t17 of lunch-portal
undrain target t1 of lunch-portal
share of suva 50%
show services show targets of lunch-portal where state = draining
show daemons)");
    CHECK(parsed.has_value());
    auto const& read = *parsed;
    LONGS_EQUAL(12, read.size());
    using std::chrono::milliseconds;
    CHECK(read[0].command == command(declare_service { "lunch-portal", 20, 3, zinnialedge::model::coverage_policy::whole, milliseconds { 80 }, milliseconds { 40 }, 95, 5, 3 }));
    CHECK(read[1].command == command(mark_request { "lunch-portal", "allergen", true, {}, {} }));
    CHECK(read[2].command == command(mark_request { "kitchen-desk", "order-confirmation", {}, false, false }));
    CHECK(read[3].command == command(declare_target { "lunch-portal", "t17", { "10.0.0.1", 80 }, 3, 2, 25 }));
    CHECK(read[4].command == command(remove_target { "lunch-portal", "t18" }));
    CHECK(read[5].command == command(remove_service { "old" }));
    CHECK(read[6].command == command(change_drain { "lunch-portal", "t17", true }));
    CHECK(read[7].command == command(change_drain { "lunch-portal", "t1", false }));
    CHECK(read[8].command == command(declare_share { "suva", 50 }));
    CHECK(read[10].command == command(show { show_subject::targets, "lunch-portal", "draining" }));
    CHECK(read[11].position == (source_position { 12, 1 }));
}

TEST(Language, SyntaxErrorReportsPositionAndExpectedInput)
{
    checkError("drain target t17 off x", "line 1, column 18: expected of");
    checkError("\nservice a {\n  shards many }", "line 3, column 10: expected a whole number");
    checkError("service a { shards 2 deadline 80 }", "line 1, column 31: expected a duration such as 80ms");
    checkError("service a { shards 2", "line 1, column 21: expected shards, epoch, coverage, deadline, soft-deadline, hedge, group or }");
    checkError("restart all", "line 1, column 1: expected service, mark, target, remove, drain, undrain, share or show");
    checkError("target t of a at here:1 shard 0", "line 1, column 18: expected an IP address and a port from 1 to 65535");
    checkError("mark request r of a loud", "line 1, column 21: expected urgent, ordinary, repeatable, not-repeatable, keyed or all-shards");
    checkError("service a { hedge 18446744073709551616% }", "line 1, column 19: expected a number from 0 to 100");
}

TEST(Language, AllSemanticErrorsAreReported)
{
    auto const parsed = parseStatements(R"(service a { shards 0 shards 2 deadline 10ms soft-deadline 20ms hedge 101% }
target t of a at 127.0.0.1:1 shard 2
target t of a at 127.0.0.1:1 shard 0
mark request r of a urgent ordinary)");
    CHECK(!parsed);
    LONGS_EQUAL(7, parsed.error().size());
}

TEST(Language, FormattedDeclarationParsesBackToItsStatements)
{
    zinnialedge::model::service_declaration service;
    service.name = "kitchen-desk";
    service.requests = { { "order", true, false, false }, { "status", false, true, true } };
    service.targets = { { "t1", { "10.0.0.1", 80 }, 0, 4, 100, true }, { "t2", { "fd00::1", 81 }, 0, 4, 100, false } };
    auto const parsed = parseStatements(formatDeclaration(service));
    CHECK(parsed.has_value());
    LONGS_EQUAL(6, parsed->size());
    CHECK((*parsed)[4].command == command(change_drain { "kitchen-desk", "t1", true }));
    CHECK((*parsed)[5].command == command(declare_target { "kitchen-desk", "t2", { "fd00::1", 81 }, 0, 4, 100 }));
}
