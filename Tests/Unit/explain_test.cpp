#include "Utilities/zlctl/explain.h"
#include <CppUTest/TestHarness.h>
#include <sstream>

using namespace zinnialedge::utilities::control;

TEST_GROUP(Explain) {};

TEST(Explain, LinesOfOneRequestAreSortedByTime)
{
    std::istringstream first { "time=2026-04-06T21:08:47.043Z level=INFO process=a event=request_ended id=r1 status=502\n"
                               "time=2026-04-06T21:08:47.044Z level=INFO process=a event=request_ended id=r12 status=200\n"
                               "time=2026-04-06T21:08:47.045Z level=INFO process=a event=leafs_read leafs=3\n" };
    std::istringstream second { "time=2026-04-06T21:08:47.040Z level=INFO process=b event=call_broken id=r1 leaf=i-1 age_ms=3\n" };
    auto lines = findRequestLines(first, "r1");
    for (auto const& line : findRequestLines(second, "r1"))
        lines.push_back(line);
    auto const ordered = sortByTime(lines);
    LONGS_EQUAL(2, ordered.size());
    CHECK(ordered[0].find("call_broken") != std::string::npos);
    CHECK(ordered[1].find("status=502") != std::string::npos);
}

TEST(Explain, PausesThatLedToARejectionAreShown)
{
    std::istringstream log { "time=1 event=leaf_paused id=r1 leaf=a age_ms=9000\n"
                             "time=2 event=leaf_paused id=r2 leaf=a age_ms=2000\n"
                             "time=3 event=leaf_paused id=r2 leaf=b age_ms=2000\n"
                             "time=4 event=request_ended id=r3 reason=leafs_paused\n"
                             "time=5 event=request_ended id=r4 reason=whole\n" };
    auto const lines = findRequestLines(log, "r3");
    LONGS_EQUAL(3, lines.size());
    CHECK(lines[0].starts_with("time=2"));
    CHECK(lines[1].starts_with("time=3"));
    CHECK(lines[2].starts_with("time=4"));
}

TEST(Explain, LimitsThatLedToARejectionAreShown)
{
    std::istringstream log { "time=1 event=leaf_limit_named leaf=a limit=5\n"
                             "time=2 event=leaf_limit_named leaf=b limit=7\n"
                             "time=3 event=leaf_limit_named leaf=a limit=4\n"
                             "time=4 event=leaf_limit_ended leaf=b limit=0\n"
                             "time=5 event=request_ended id=r1 reason=leafs_limited\n" };
    auto const lines = findRequestLines(log, "r1");
    LONGS_EQUAL(2, lines.size());
    CHECK(lines[0].starts_with("time=3"));
    CHECK(lines[1].starts_with("time=5"));
}
