#include "Libraries/zinnialedge/configuration/text_file.h"
#include "Utilities/zl-load/load_report.h"
#include "Utilities/zl-load/load_run.h"
#include "Utilities/zl-load/run_report.h"
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(plan, "", "JSON file with the load plan");
DEFINE_string(csv, "", "CSV file to write, with one line per second and stream; for a report, the CSV file to read");
DEFINE_string(svg, "", "for a report: SVG file to write the plot to");
DEFINE_string(marks, "", "for a report: file with lines of the form SECOND,TEXT");

using namespace zinnialedge::utilities::load;

static constexpr int exitWrongAnswers = 1;
static constexpr int exitInvalidInput = 2;

/// Returns the content of a file, or an empty string when the file can't be read. The parsers reject an empty string.
static std::string readFile(std::string const& path)
{
    return zinnialedge::configuration::readTextFile(path).value_or(std::string {});
}

static int report()
{
    auto const streams = parseRunCsv(readFile(FLAGS_csv));
    if (!streams) {
        std::cerr << "csv '" << FLAGS_csv << "': " << streams.error() << "\n";
        return exitInvalidInput;
    }
    auto const marks = parseMarks(FLAGS_marks.empty() ? std::string {} : readFile(FLAGS_marks));
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
    auto const plan = parseLoadPlan(readFile(FLAGS_plan));
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
    return result.answerErrorCount > 0 ? exitWrongAnswers : 0;
}

int main(int argumentCount, char** arguments)
{
    gflags::SetVersionString(ZINNIALEDGE_VERSION);
    gflags::SetUsageMessage("--plan FILE [--csv FILE] | report --csv FILE [--svg FILE] [--marks FILE]");
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    if (argumentCount == 1)
        return run();
    if (argumentCount == 2 && std::string { arguments[1] } == "report")
        return report();
    std::cerr << gflags::ProgramUsage() << "\n";
    return exitInvalidInput;
}
