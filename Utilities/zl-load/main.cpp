#include "Utilities/zl-load/load_report.h"
#include "Utilities/zl-load/load_run.h"
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(plan, "", "the JSON file that says what to send");
DEFINE_string(csv, "", "a file for one line per second and stream");

using namespace zinnialedge::utilities::load;

static constexpr int exitWrongAnswers = 1;
static constexpr int exitWrongPlan = 2;

int main(int argumentCount, char** arguments)
{
    gflags::SetVersionString(ZINNIALEDGE_VERSION);
    gflags::SetUsageMessage("--plan FILE [--csv FILE]");
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    std::ifstream file { FLAGS_plan };
    std::stringstream text;
    text << file.rdbuf();
    auto const plan = parseLoadPlan(text.str());
    if (!plan) {
        for (auto const& problem : plan.error())
            std::cerr << "plan '" << FLAGS_plan << "': " << problem << "\n";
        return exitWrongPlan;
    }
    auto const result = load_run { *plan }.run();
    printReport(std::cout, *plan, result);
    if (!FLAGS_csv.empty()) {
        std::ofstream csv { FLAGS_csv };
        writeCsv(csv, *plan, result);
    }
    return result.faultCount > 0 ? exitWrongAnswers : 0;
}
