#include "Kernel/event_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace zinnialedge::kernel {

static log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("zinnialedge"));
}

static std::string upperCase(std::string_view text)
{
    std::string upper { text };
    for (auto& letter : upper) {
        if (letter >= 'a' && letter <= 'z')
            letter = static_cast<char>(letter - 'a' + 'A');
    }
    return upper;
}

void openLog(std::string_view process, std::string_view level)
{
    static log4cplus::Initializer const initializer;
    log4cplus::SharedAppenderPtr const appender { new log4cplus::ConsoleAppender(true, true) };
    auto const pattern = "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p process=" + std::string { process } + " %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    logger().removeAllAppenders();
    logger().addAppender(appender);
    setLogLevel(level);
}

bool setLogLevel(std::string_view level)
{
    auto const parsed = log4cplus::getLogLevelManager().fromString(upperCase(level));
    if (parsed == log4cplus::NOT_SET_LOG_LEVEL)
        return false;
    logger().setLogLevel(parsed);
    return true;
}

std::string logLevel()
{
    return log4cplus::getLogLevelManager().toString(logger().getLogLevel());
}

static int levelNumber(log_level level)
{
    switch (level) {
    case log_level::trace:
        return log4cplus::TRACE_LOG_LEVEL;
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

static void appendValue(std::string& line, std::string const& value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\\") == std::string::npos) {
        line += value;
        return;
    }
    line += '"';
    for (auto const letter : value) {
        if (letter == '"' || letter == '\\')
            line += '\\';
        line += letter == '\n' ? ' ' : letter;
    }
    line += '"';
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    auto const number = levelNumber(level);
    auto target = logger();
    if (!target.isEnabledFor(number))
        return;
    std::string line = "event=" + std::string { event };
    for (auto const& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    target.log(number, line);
}

}
