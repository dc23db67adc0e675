#include "Utilities/zl-load/run_report.h"
#include <CppUTest/TestHarness.h>
#include <sstream>

using namespace zinnialedge::utilities::load;

TEST_GROUP(RunReport)
{
    static constexpr char const* csv = "second,service,request,sent,whole,partial,errors,p50_ms,p90_ms,p99_ms,p999_ms,later\n"
                                       "0,lunch,menu,10,10,0,0,1,2,3,4,x\n"
                                       "0,lunch,allergen,5,5,0,0,1,2,3.5,4,x\n"
                                       "1,lunch,menu,10,7,2,1,1,20,30,40,x\n"
                                       "2,lunch,menu,10,0,0,10,0,0,0,0,x\n";

    static std::string error(std::string_view text)
    {
        auto const parsed = parseRunCsv(text);
        return parsed ? "" : parsed.error();
    }
};

TEST(RunReport, CsvIsParsedIntoSecondsByStream)
{
    auto const streams = parseRunCsv(csv);
    CHECK(streams.has_value());
    LONGS_EQUAL(2, streams->size());
    STRCMP_EQUAL("lunch/menu", streams->front().name.c_str());
    CHECK((streams->front().seconds[1] == second_result { 1, 10, 7, 2, 1, { 1, 20, 30, 40 } }));
    CHECK((streams->back().seconds == std::vector<second_result> { { 0, 5, 5, 0, 0, { 1, 2, 3.5, 4 } } }));
}

TEST(RunReport, ParseErrorContainsLineNumber)
{
    STRCMP_EQUAL("line 1: missing column service", error("second,sent\n").c_str());
    std::string wrong { csv };
    wrong += "3,lunch,menu,ten,0,0,0,0,0,0,0,x\n";
    STRCMP_EQUAL("line 6: expected 12 values, as in the header", error(wrong).c_str());
    STRCMP_EQUAL("line 2: expected SECOND,TEXT", parseMarks("1,fine\nsoon,late\n").error().c_str());
}

TEST(RunReport, PlotHasLineForEachQuantileAndMark)
{
    std::ostringstream svg;
    writeSvg(svg, *parseRunCsv(csv), *parseMarks("1.5,leaf <a> & b frozen\n"));
    std::size_t lines = 0;
    for (auto at = svg.str().find("<polyline"); at != std::string::npos; at = svg.str().find("<polyline", at + 1))
        ++lines;
    LONGS_EQUAL(8, lines);
    CHECK(svg.str().find("leaf &lt;a> &amp; b frozen</text>") != std::string::npos);
    CHECK(svg.str().find("stroke-dasharray") != std::string::npos);
}

TEST(RunReport, TableHasRowForEachSpanBetweenMarks)
{
    std::ostringstream table;
    printSpanTable(table, *parseRunCsv(csv), *parseMarks("2,store out\n1,leaf frozen\n"));
    CHECK(table.str().find("lunch/menu                        start                          10       10        0        0         3.0         3.0\n") != std::string::npos);
    CHECK(table.str().find("lunch/menu                        leaf frozen                    10        7        2        1        30.0        30.0\n") != std::string::npos);
    CHECK(table.str().find("lunch/menu                        store out                      10        0        0       10         0.0         0.0\n") != std::string::npos);
}
