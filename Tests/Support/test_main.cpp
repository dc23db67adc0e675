#include "Kernel/event_log.h"
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argumentCount, char** arguments)
{
    // It takes values that live as long as the process for leaks; the sanitizer build finds real ones.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    zinnialedge::kernel::openLog("tests", "error");
    return CommandLineTestRunner::RunAllTests(argumentCount, arguments);
}
