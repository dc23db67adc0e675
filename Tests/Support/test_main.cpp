#include "Kernel/event_log.h"
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argumentCount, char** arguments)
{
    // The leak check of CppUTest reports values that live until the process ends. The sanitizer build finds real leaks.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    zinnialedge::kernel::openLog("tests", "error");
    return CommandLineTestRunner::RunAllTests(argumentCount, arguments);
}
