#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace zinnialedge::kernel {

enum class log_level {
    trace,
    debug,
    info,
    warn,
    error,
};

/// One key and value of a log line. An empty value or a value with a space, a quote, a backslash, an equals sign or a line
/// break is written in quotes.
struct log_field {
    std::string_view key;
    std::string value;

    log_field(std::string_view fieldKey, std::string_view fieldValue)
        : key(fieldKey)
        , value(fieldValue)
    {
    }

    template <typename Number>
        requires std::is_arithmetic_v<Number>
    log_field(std::string_view fieldKey, Number fieldValue)
        : key(fieldKey)
        , value(std::to_string(fieldValue))
    {
    }
};

/// Sets up logging to standard output. Must be called once, before any other function of this header. A dedicated thread
/// writes the lines, so that logging never blocks the caller on output.
void openLog(std::string_view process, std::string_view level);
/// Writes the buffered log lines, for `limit` at most: a reader of standard output that stands still must not keep the process from ending. Lines
/// logged afterwards are dropped. The process must then end without running the destructors of static objects.
void closeLog(std::chrono::milliseconds limit);
/// Returns false when no log level has this name.
bool setLogLevel(std::string_view level);
std::string logLevel();
/// Returns the number of log lines dropped since the start of the process because the buffer was full or logging had stopped.
std::uint64_t droppedLogLineCount();
/// Logs one line of the form "event=NAME key=value ...".
void logEvent(log_level, std::string_view event, std::initializer_list<log_field> fields = {});

}
