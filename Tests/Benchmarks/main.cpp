// Benchmarks of the CPU time, memory and traffic of daemons. They check nothing, and their figures depend on the machine.

#include "Tests/Benchmarks/call_cost.h"
#include "Tests/Benchmarks/control_cost.h"
#include "Tests/Benchmarks/edge_cost.h"
#include "Tests/Benchmarks/membership_cost.h"
#include "Tests/Benchmarks/table_cost.h"
#include <cstdio>
#include <functional>
#include <gflags/gflags.h>
#include <map>
#include <string>

using namespace zinnialedge::benchmarks;

int main(int argumentCount, char** arguments)
{
    gflags::SetUsageMessage("[calls] [edge] [membership] [tables] [control]");
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    std::map<std::string, std::function<void()>> const sections {
        { "calls", measureCallCost },
        { "control", measureControlCost },
        { "edge", measureEdgeCost },
        { "tables", measureTableCost },
        { "membership", measureMembershipCost },
    };
    for (int index = 1; index < argumentCount; ++index) {
        auto const section = sections.find(arguments[index]);
        if (section == sections.end()) {
            std::fprintf(stderr, "unknown section: %s\n", arguments[index]);
            return 2;
        }
        section->second();
    }
    return 0;
}
