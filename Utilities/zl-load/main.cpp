#include "Libraries/zinnialedge/configuration/text_file.h"
#include "Utilities/zl-load/load_report.h"
#include "Utilities/zl-load/load_run.h"
#include "Utilities/zl-load/run_report.h"
#include <algorithm>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <optional>

DEFINE_string(plan, "", "JSON file with the load plan");
DEFINE_string(csv, "", "CSV file to write, with one line per second and stream; for a report, the CSV file to read");
DEFINE_string(svg, "", "for a report: SVG file to write the plot to");
DEFINE_string(marks, "", "for a report: file with lines of the form SECOND,TEXT");

using namespace zinnialedge::utilities::load;

static constexpr int exitWrongAnswers = 1;
static constexpr int exitInvalidInput = 2;
static constexpr int exitNothingServed = 3;

/// Returns the content of a file. Reports a file that can't be read, and returns nothing.
static std::optional<std::string> readFile(std::string const& name, std::string const& path)
{
    auto text = zinnialedge::configuration::readTextFile(path);
    if (!text)
        std::cerr << name << " '" << path << "': the file is not there, or can't be read\n";
    return text;
}

static int report()
{
    auto const csv = readFile("csv", FLAGS_csv);
    auto const marksText = FLAGS_marks.empty() ? std::optional { std::string {} } : readFile("marks", FLAGS_marks);
    if (!csv || !marksText)
        return exitInvalidInput;
    auto const streams = parseRunCsv(*csv);
    if (!streams) {
        std::cerr << "csv '" << FLAGS_csv << "': " << streams.error() << "\n";
        return exitInvalidInput;
    }
    auto const marks = parseMarks(*marksText);
    if (!marks) {
        std::cerr << "marks '" << FLAGS_marks << "': " << marks.error() << "\n";
        return exitInvalidInput;
    }
    printSpanTable(std::cout, *streams, *marks);
    if (!FLAGS_svg.empty()) {
        std::ofstream svg { FLAGS_svg };
        writeSvg(svg, *streams, *marks);
    }
    return 0;
}

static int run()
{
    auto const text = readFile("plan", FLAGS_plan);
    if (!text)
        return exitInvalidInput;
    auto const plan = parseLoadPlan(*text);
    if (!plan) {
        for (auto const& problem : plan.error())
            std::cerr << "plan '" << FLAGS_plan << "': " << problem << "\n";
        return exitInvalidInput;
    }
    auto const result = load_run { *plan }.run();
    printReport(std::cout, *plan, result);
    if (!FLAGS_csv.empty()) {
        std::ofstream csv { FLAGS_csv };
        writeCsv(csv, *plan, result);
    }
    if (result.answerErrorCount > 0)
        return exitWrongAnswers;
    bool const isAnyServed = std::any_of(result.streams.begin(), result.streams.end(), [](auto const& each) { return each.whole + each.partial > 0; });
    return isAnyServed ? 0 : exitNothingServed;
}

int main(int argumentCount, char** arguments)
{
    gflags::SetVersionString(ZINNIALEDGE_VERSION);
    gflags::SetUsageMessage("--plan FILE [--csv FILE] | report --csv FILE [--svg FILE] [--marks FILE]\nExit codes: 0 done, 1 wrong answers, 2 invalid input, 3 nothing was served");
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    if (argumentCount == 1)
        return run();
    if (argumentCount == 2 && std::string { arguments[1] } == "report")
        return report();
    std::cerr << gflags::ProgramUsage() << "\n";
    return exitInvalidInput;
}
