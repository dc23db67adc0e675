#pragma once

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

/// One key and value of a log line. A value with spaces or quotes is quoted.
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

/// Sets up the log of this process on standard output. Call it once, first. A thread of its own writes the lines; whoever
/// logs never waits for it.
void openLog(std::string_view process, std::string_view level);
/// Writes the lines that wait; later ones are dropped.
void closeLog();
/// False when there is no such level.
bool setLogLevel(std::string_view level);
std::string logLevel();
/// How many lines were left out since the start because too many waited.
std::uint64_t droppedLogLines();
/// Writes one line "event=NAME key=value ...".
void logEvent(log_level, std::string_view event, std::initializer_list<log_field> fields = {});

}
